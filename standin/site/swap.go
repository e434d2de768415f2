package site

import (
	platform "tanagerspread/client/engine"
	"tanagerspread/standin/engine"
)

// listSwaps makes the VM list show what an engine serves after an order.
func (s *Site) listSwaps(options engine.Options, id string) engine.Options {
	options.OnSwap = func(desired platform.Desired) {
		s.VMs.SetServes(id, desired.Model, desired.Weights)
	}
	return options
}
