package control

import (
	"tanagerspread/core/fleet"
	"tanagerspread/core/order"
)

// updateServing chooses the weight version for new requests of each model
// from the VM list. A request keeps its version to the end, because its cache
// keys are bound to it.
func (s *State) updateServing() {
	if s.rules == nil {
		return
	}
	counts := map[string]map[int]int{}
	for _, server := range s.ordered {
		if server.Role != fleet.RoleEngine || server.Chart.Is(fleet.TagLeaves) {
			continue
		}
		if counts[server.Serves] == nil {
			counts[server.Serves] = map[int]int{}
		}
		counts[server.Serves][server.Weights]++
	}
	serving := make(map[string]int, len(s.rules.Models))
	for name, model := range s.rules.Models {
		serving[name] = order.ServingWeights(model.Weights, s.orders.serving[name], counts[name])
	}
	s.orders.serving = serving
}

// noteAdapters remembers the adapter of each weight version that the rules
// have named. A new adapter must come with a new weight version, so that
// requests of the old version keep the old adapter.
func (s *State) noteAdapters() {
	for name, model := range s.rules.Models {
		if s.orders.adapters[name] == nil {
			s.orders.adapters[name] = map[int]string{}
		}
		s.orders.adapters[name][model.Weights] = model.Adapter
	}
}

// sameWeights reports whether a server has the weights of a request.
func (s *State) sameWeights(a *active, server *fleet.Server) bool {
	if server.Role != fleet.RoleEngine {
		return true
	}
	if a.Call != nil {
		return server.Weights == a.attempt.weights
	}
	return server.Weights == a.scope.Weights
}
