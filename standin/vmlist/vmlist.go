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

// version is the list as it became true at one time.
type version struct {
	since time.Time
	vms   map[string]vmlist.VM
}

// List is the list of VMs. The mutex guards all fields.
type List struct {
	mu  sync.Mutex
	lag time.Duration
	// versions are ordered from oldest to newest; the first one is the one
	// that callers see or have seen last.
	versions []version
	outage   bool
	calls    int
}

var _ vmlist.Lister = (*List)(nil)

// New returns a list that shows each change after lag. The first VMs are
// shown at once.
func New(lag time.Duration, vms ...vmlist.VM) *List {
	first := version{vms: make(map[string]vmlist.VM, len(vms))}
	for _, vm := range vms {
		first.vms[vm.ID] = vm
	}
	return &List{lag: lag, versions: []version{first}}
}

// Set adds or replaces a VM.
func (l *List) Set(vm vmlist.VM) {
	l.change(func(vms map[string]vmlist.VM) { vms[vm.ID] = vm })
}

// Remove removes a VM.
func (l *List) Remove(id string) {
	l.change(func(vms map[string]vmlist.VM) { delete(vms, id) })
}

// SetState changes the state of a VM that is in the list.
func (l *List) SetState(id, state string) {
	l.change(func(vms map[string]vmlist.VM) {
		if vm, ok := vms[id]; ok {
			vm.State = state
			vms[id] = vm
		}
	})
}

// SetServes changes what a VM in the list serves.
func (l *List) SetServes(id, serves string, weights int) {
	l.change(func(vms map[string]vmlist.VM) {
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

// SetOutage starts or ends an outage.
func (l *List) SetOutage(out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = out
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
	if l.outage {
		return nil, code.New(code.VMListAway, "the VM list is away")
	}
	l.forget()
	shown := l.versions[0].vms
	vms := make([]vmlist.VM, 0, len(shown))
	for _, vm := range shown {
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

func (l *List) change(apply func(map[string]vmlist.VM)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget()
	newest := l.versions[len(l.versions)-1].vms
	next := make(map[string]vmlist.VM, len(newest)+1)
	for id, vm := range newest {
		next[id] = vm
	}
	apply(next)
	l.versions = append(l.versions, version{since: time.Now(), vms: next})
}

// forget drops the versions that callers no longer see.
func (l *List) forget() {
	visible := time.Now().Add(-l.lag)
	for len(l.versions) > 1 && !l.versions[1].since.After(visible) {
		l.versions = l.versions[1:]
	}
}
