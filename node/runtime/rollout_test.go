package runtime_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
)

// TestRolloutUnderLoad guards against a rollout during which a request gets no
// server, fails, or uses blocks of another weight version.
func TestRolloutUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startCacheSite(t)
		prompt, _ := promptOfBlocks(1)
		rules := testRules()
		model := rules.Models[testModel]
		model.Weights = 2
		rules.Models[testModel] = model
		s.tell(control.Configure{Version: 2, Rules: rules})
		for range 150 {
			s.send(prompt)
			time.Sleep(time.Second)
			s.tell(control.VMList{VMs: s.listVMs()})
		}
		for _, vm := range s.listVMs() {
			if vm.Role == "engine" && vm.Weights != 2 {
				t.Errorf("engine %s has version %d", vm.ID, vm.Weights)
			}
		}
		s.checkBlocks()
	})
}

// listVMs returns the current VM list of the platform.
func (s *cacheSite) listVMs() []control.VM {
	var vms []control.VM
	list, err := s.VMs.List(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	for _, vm := range list {
		vms = append(vms, control.VM{
			ID: vm.ID, Address: vm.Address, Role: fleet.Role(vm.Role), Serves: vm.Serves, Weights: vm.Weights,
		})
	}
	return vms
}
