// Package vmlist provides a small stand-in for the platform's VM list, which shows
// changes with a lag.
package vmlist

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"tanagerspread/client/vmlist"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
)

// snapshot is the content of the list from changedAt until the next change.
type snapshot struct {
	changedAt time.Time
	vms       map[string]vmlist.VM
}

// List is the list of VMs. The mutex guards all fields.
type List struct {
	mu  sync.Mutex
	lag time.Duration
	// snapshots are ordered from oldest to newest. After pruneSnapshots, the first
	// one is visible to callers.
	snapshots   []snapshot
	unreachable bool
	calls       int
}

var _ vmlist.Lister = (*List)(nil)

// New returns a list that shows each change after lag. The VMs passed to New are
// visible at once.
func New(lag time.Duration, vms ...vmlist.VM) *List {
	first := snapshot{vms: make(map[string]vmlist.VM, len(vms))}
	for _, vm := range vms {
		first.vms[vm.ID] = vm
	}
	return &List{lag: lag, snapshots: []snapshot{first}}
}

// Set adds or replaces a VM.
func (l *List) Set(vm vmlist.VM) {
	l.update(func(vms map[string]vmlist.VM) { vms[vm.ID] = vm })
}

// Remove removes a VM.
func (l *List) Remove(id string) {
	l.update(func(vms map[string]vmlist.VM) { delete(vms, id) })
}

// SetState changes the state of a VM that is in the list.
func (l *List) SetState(id, state string) {
	l.update(func(vms map[string]vmlist.VM) {
		if vm, ok := vms[id]; ok {
			vm.State = state
			vms[id] = vm
		}
	})
}

// SetServes changes the model or service and the weight version of a VM that is in
// the list.
func (l *List) SetServes(id, serves string, weights int) {
	l.update(func(vms map[string]vmlist.VM) {
		if vm, ok := vms[id]; ok {
			vm.Serves = serves
			vm.Weights = weights
			vms[id] = vm
		}
	})
}

// SetLag changes the delay after which changes are visible.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetUnreachable makes List fail with code.VMListAway while it is set.
func (l *List) SetUnreachable(unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = unreachable
}

// Calls returns the number of calls of List, failed ones included.
func (l *List) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// List returns the VMs as they were one lag ago, sorted by identifier. It returns
// code.VMListAway while the list is unreachable.
func (l *List) List(_ context.Context) ([]vmlist.VM, *code.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.unreachable {
		return nil, code.New(code.VMListAway, "the VM list is away")
	}
	l.pruneSnapshots()
	visible := l.snapshots[0].vms
	vms := make([]vmlist.VM, 0, len(visible))
	for _, vm := range visible {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms, nil
}

// Handler returns the HTTP route of the list.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+vmlist.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		vms, err := l.List(r.Context())
		if err != nil {
			wire.ReplyError(w, err)
			return
		}
		wire.ReplyWithETag(w, r, vmlist.Reply{VMs: vms})
	})
	return mux
}

// update records a change as a new snapshot.
func (l *List) update(apply func(map[string]vmlist.VM)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pruneSnapshots()
	newest := l.snapshots[len(l.snapshots)-1].vms
	updated := make(map[string]vmlist.VM, len(newest)+1)
	for id, vm := range newest {
		updated[id] = vm
	}
	apply(updated)
	l.snapshots = append(l.snapshots, snapshot{changedAt: time.Now(), vms: updated})
}

// pruneSnapshots removes the snapshots that are older than the visible one.
func (l *List) pruneSnapshots() {
	cutoff := time.Now().Add(-l.lag)
	for len(l.snapshots) > 1 && !l.snapshots[1].changedAt.After(cutoff) {
		l.snapshots = l.snapshots[1:]
	}
}
