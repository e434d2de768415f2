package control

import (
	"sort"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/fleet"
)

// updateStores replaces the block stores by those of the VM list.
func (s *State) updateStores(now time.Time, m VMList) {
	listed := map[fleet.ServerID]bool{}
	for _, vm := range m.VMs {
		if vm.Role == fleet.RoleStore {
			listed[fleet.ServerID(vm.ID)] = true
			s.updateStore(now, vm)
		}
	}
	s.storeList = s.storeList[:0]
	for id, store := range s.stores {
		if !listed[id] {
			s.fireStoreEvent(store, "remove", now)
			delete(s.stores, id)
			continue
		}
		s.storeList = append(s.storeList, store)
	}
	sort.Slice(s.storeList, func(i, j int) bool { return s.storeList[i].ID < s.storeList[j].ID })
}

// updateStore updates a block store from its entry in the VM list. A store with
// another address is a new one.
func (s *State) updateStore(now time.Time, vm VM) {
	id := fleet.ServerID(vm.ID)
	store, ok := s.stores[id]
	if !ok || store.Address != vm.Address {
		store = fleet.NewStore(id)
		store.Chart = s.charts.store.Start(now)
		s.stores[id] = store
	}
	store.Address = vm.Address
	store.Domain = vm.Domain
	if vm.Leaving != store.LeavingByList {
		store.LeavingByList = vm.Leaving
		if vm.Leaving {
			s.fireStoreEvent(store, "leave", now)
		} else {
			s.fireStoreEvent(store, "return", now)
		}
	}
}

// storeReport updates the estimates and the state of a block store after a
// finished transfer.
func (s *State) storeReport(now time.Time, m StoreReport) {
	store, ok := s.stores[m.Store]
	if !ok {
		return
	}
	if m.Unreachable {
		s.fireStoreEvent(store, "fail", now)
		return
	}
	store.ObserveTransfer(m.Transfer)
	if m.Full {
		s.fireStoreEvent(store, "fill", now)
	}
}

func (s *State) fireStoreEvent(store *fleet.Store, event chart.Event, now time.Time) {
	// An event that the chart refuses changes nothing, for example a failed
	// transfer of a leaving store.
	_ = s.charts.store.Fire(&store.Chart, store, event, now)
}

func (s *State) expireStores(now time.Time) {
	for _, store := range s.storeList {
		_, _ = s.charts.store.Expire(&store.Chart, store, now)
	}
}
