package site

import (
	engineclient "tanagerspread/client/engine"
	"tanagerspread/standin/engine"
)

// withVMListUpdates returns options with which the engine updates its entry in the
// VM list after a swap of its model or weights.
func (s *Site) withVMListUpdates(options engine.Options, id string) engine.Options {
	options.OnSwap = func(desired engineclient.Desired) {
		s.VMs.SetServes(id, desired.Model, desired.Weights)
	}
	return options
}
