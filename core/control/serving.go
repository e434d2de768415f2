package control

import (
	"tanagerspread/core/fleet"
	"tanagerspread/core/order"
)

// updateServing chooses the weight version for new requests of each model by the
// engines in the VM list. A request keeps its version until it finishes, because
// its cache keys are bound to the version.
func (s *State) updateServing() {
	if s.rules == nil {
		return
	}
	counts := map[string]map[int]int{}
	for _, server := range s.serverList {
		if server.Role != fleet.RoleEngine || server.Chart.Is(fleet.TagLeaving) {
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

// recordAdapters records the adapter of the weight version that the rules name
// for each model. A new adapter must come with a new weight version, so that
// requests of the old version keep the old adapter.
func (s *State) recordAdapters() {
	for name, model := range s.rules.Models {
		if s.orders.adapters[name] == nil {
			s.orders.adapters[name] = map[int]string{}
		}
		s.orders.adapters[name][model.Weights] = model.Adapter
	}
}

// sameWeights reports whether a server has the weights that a request is bound
// to. It returns true for servers that are not engines.
func (s *State) sameWeights(req *activeRequest, server *fleet.Server) bool {
	if server.Role != fleet.RoleEngine {
		return true
	}
	if req.Call != nil {
		return server.Weights == req.attempt.weights
	}
	return server.Weights == req.scope.Weights
}
