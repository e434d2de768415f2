// Package vmlist is a small stand-in for the platform's lagging list of VMs.
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

// snapshot is the list as it became true at one time.
type snapshot struct {
	changedAt time.Time
	vms       map[string]vmlist.VM
}

// List is the list of VMs. The mutex guards all fields.
type List struct {
	mu  sync.Mutex
	lag time.Duration
	// snapshots are ordered from oldest to newest; the first one is the one
	// that callers see or have seen last.
	snapshots   []snapshot
	unreachable bool
	calls       int
}

var _ vmlist.Lister = (*List)(nil)

// New returns a list that shows each change after lag. The first VMs are
// shown at once.
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

// SetServes changes what a VM in the list serves.
func (l *List) SetServes(id, serves string, weights int) {
	l.update(func(vms map[string]vmlist.VM) {
		if vm, ok := vms[id]; ok {
			vm.Serves = serves
			vm.Weights = weights
			vms[id] = vm
		}
	})
}

// SetLag changes how long the list is behind.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetUnreachable starts or ends an outage.
func (l *List) SetUnreachable(unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = unreachable
}

// Calls returns how often the list was fetched.
func (l *List) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// List returns the VMs as of the lag ago in the order of their identifiers,
// or code.VMListAway.
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

// pruneSnapshots drops the versions that callers no longer see.
func (l *List) pruneSnapshots() {
	cutoff := time.Now().Add(-l.lag)
	for len(l.snapshots) > 1 && !l.snapshots[1].changedAt.After(cutoff) {
		l.snapshots = l.snapshots[1:]
	}
}
