package site

import (
	platform "tanagerspread/client/engine"
	"tanagerspread/standin/engine"
)

// withVMListUpdates makes the VM list show what an engine serves after an order.
func (s *Site) withVMListUpdates(options engine.Options, id string) engine.Options {
	options.Swapped = func(desired platform.Desired) {
		s.VMs.SetServes(id, desired.Model, desired.Weights)
	}
	return options
}
