// Package registry follows the entries of servers, nodes and named weights in
// the key-value service and reports them to the control thread. It decides
// nothing.
package registry

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/node/confkv"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/orders"
	"tanagerspread/node/worker"
)

const (
	// callTimeout bounds one read of the service.
	callTimeout = 2 * time.Second
	// retryInterval is the time before a failed read or watch is repeated.
	retryInterval = time.Second
)

// Options configures a registry.
type Options struct {
	Control worker.Teller
	Service kv.Service
	Logger  logr.Logger
	// ServerPrefix and WeightsPrefix are where the entries are.
	ServerPrefix  string
	WeightsPrefix string
	// Regained returns when the entries were reached again after an outage, or
	// zero.
	Regained func() time.Time
	// DecodeServer returns the server of an entry, or code.EntryInvalid.
	DecodeServer func(key string, value []byte) (control.VM, *code.Error)
	// DecodeWeights returns the named weights of an entry, or
	// code.EntryInvalid.
	DecodeWeights func(value []byte) (control.WeightsNamed, *code.Error)
	// Seeds are the addresses of peers that may be asked before the entries of
	// the nodes are known.
	Seeds []string
}

// Registry follows the entries.
type Registry struct {
	options Options
	// mu guards the entries, which several watches fill.
	mu      sync.Mutex
	servers map[string]control.VM
	nodes   map[string]control.VM
	// holder is the node that was last seen to hold the key of the issuer.
	holder string
	// rejected holds the revision of each unusable entry, so that it is logged
	// once.
	rejected map[string]kv.Revision
}

// New returns a registry that does not run yet.
func New(options Options) *Registry {
	return &Registry{
		options:  options,
		servers:  map[string]control.VM{},
		nodes:    map[string]control.VM{},
		rejected: map[string]kv.Revision{},
	}
}

// Run follows the entries until the context ends.
func (r *Registry) Run(ctx context.Context) {
	r.report()
	followers := []follower{
		{registry: r, prefix: r.options.ServerPrefix},
		{registry: r, prefix: confkv.PrefixNodes},
		{registry: r, prefix: orders.KeyIssuer},
		{registry: r, prefix: r.options.WeightsPrefix},
	}
	var group sync.WaitGroup
	for i := range followers {
		group.Go(func() { followers[i].run(ctx) })
	}
	group.Wait()
}

// replace takes over all entries under a prefix.
func (r *Registry) replace(prefix string, entries []kv.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.Key] = true
		r.apply(kv.Change{Entry: entry})
	}
	for _, known := range []map[string]control.VM{r.servers, r.nodes} {
		for key := range known {
			if strings.HasPrefix(key, prefix) && !listed[key] {
				r.apply(kv.Change{Entry: kv.Entry{Key: key}, Deleted: true})
			}
		}
	}
	if prefix == orders.KeyIssuer && len(entries) == 0 {
		r.applyIssuer(kv.Change{Deleted: true})
	}
}

// apply takes over one change. The lock is held.
func (r *Registry) apply(change kv.Change) {
	key := change.Entry.Key
	switch {
	case strings.HasPrefix(key, r.options.ServerPrefix):
		r.applyServer(change)
	case strings.HasPrefix(key, confkv.PrefixNodes):
		r.applyNode(change)
	case strings.HasPrefix(key, r.options.WeightsPrefix):
		r.applyWeights(change)
	case key == orders.KeyIssuer:
		r.applyIssuer(change)
	}
}

// report tells the control thread all known servers and nodes.
func (r *Registry) report() {
	r.mu.Lock()
	message := control.VMList{RecoveredAt: r.options.Regained()}
	known := map[string]bool{}
	for _, vm := range r.servers {
		message.VMs = append(message.VMs, vm)
	}
	for _, vm := range r.nodes {
		known[vm.PeerAddress] = true
		message.VMs = append(message.VMs, vm)
	}
	r.mu.Unlock()
	for _, seed := range r.options.Seeds {
		if !known[seed] {
			message.VMs = append(message.VMs, control.VM{ID: "seed " + seed, Role: fleet.RoleEntry, PeerAddress: seed})
		}
	}
	sort.Slice(message.VMs, func(i, j int) bool { return message.VMs[i].ID < message.VMs[j].ID })
	worker.Tell(r.options.Control, r.options.Logger, message)
}

func (r *Registry) applyServer(change kv.Change) {
	delete(r.servers, change.Entry.Key)
	if change.Deleted {
		return
	}
	vm, err := r.options.DecodeServer(change.Entry.Key, change.Entry.Value)
	if err != nil {
		r.reject(change.Entry, err)
		return
	}
	r.servers[change.Entry.Key] = vm
}

func (r *Registry) applyNode(change kv.Change) {
	delete(r.nodes, change.Entry.Key)
	if change.Deleted {
		return
	}
	var session confkv.Session
	if err := json.Unmarshal(change.Entry.Value, &session); err != nil || session.Node == "" || session.PeerAddress == "" {
		r.reject(change.Entry, code.Wrap(code.EntryInvalid, "the entry of the node cannot be read", err))
		return
	}
	r.nodes[change.Entry.Key] = control.VM{
		ID: session.Node, Address: session.Address, Role: fleet.RoleEntry, PeerAddress: session.PeerAddress,
		Domain: fleet.Domain(session.Domain),
	}
}

func (r *Registry) applyWeights(change kv.Change) {
	if change.Deleted {
		return
	}
	named, err := r.options.DecodeWeights(change.Entry.Value)
	if err != nil {
		r.reject(change.Entry, err)
		return
	}
	worker.Tell(r.options.Control, r.options.Logger, control.Message(named))
}

// applyIssuer reports the holder of the issuer's key.
func (r *Registry) applyIssuer(change kv.Change) {
	if !change.Deleted {
		r.holder = orders.IssuerNode(change.Entry)
	}
	seen := control.IssuerSeen{Held: !change.Deleted, Node: r.holder}
	worker.Tell(r.options.Control, r.options.Logger, control.Message(seen))
}

func (r *Registry) reject(entry kv.Entry, err *code.Error) {
	if r.rejected[entry.Key] == entry.Revision {
		return
	}
	r.rejected[entry.Key] = entry.Revision
	eventlog.Write(r.options.Logger, event.EntryRejected, err, "key", entry.Key, "revision", uint64(entry.Revision), "code", int(err.Code))
}
