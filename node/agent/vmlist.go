package agent

import (
	"context"

	"tanagerspread/client/vmlist"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/worker"
)

// pollVMList reads the VM list every vmListInterval. While the service of the
// list is unreachable, the last list stays in use.
func (a *Agents) pollVMList(ctx context.Context) {
	for {
		a.readVMList(ctx)
		if !worker.Sleep(ctx, vmListInterval) {
			return
		}
	}
}

func (a *Agents) readVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	list, err := a.options.VMList.List(ctx)
	if err != nil {
		eventlog.Write(a.options.Logger, event.VMListFailed, err, "code", int(err.Code))
		return
	}
	message := control.VMList{}
	for _, vm := range list {
		message.VMs = append(message.VMs, toControlVM(vm))
	}
	a.tell(message)
}

func toControlVM(vm vmlist.VM) control.VM {
	return control.VM{
		ID:          vm.ID,
		Address:     vm.Address,
		Domain:      fleet.Domain(vm.Domain),
		Role:        fleet.Role(vm.Role),
		Serves:      vm.Serves,
		Weights:     vm.Weights,
		Leaving:     vm.State == vmlist.StateLeaving,
		PeerAddress: vm.PeerAddress,
	}
}
