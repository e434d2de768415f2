// Package registry follows the entries of servers, nodes, the order issuer, named
// weights and the record of the isolated organisations in the key-value service and
// reports them to the control thread. It makes no decisions.
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
	// retryInterval is the time after a failed read or watch before the next one.
	retryInterval = time.Second
)

// Options configures a registry.
type Options struct {
	Control worker.Teller
	Service kv.Service
	Logger  logr.Logger
	// ServerPrefix and WeightsPrefix are the key prefixes of the entries of
	// servers and of named weights.
	ServerPrefix  string
	WeightsPrefix string
	// RecoveredAt returns when the source of the entries was last reached again
	// after it had been unreachable, or zero.
	RecoveredAt func() time.Time
	// FromCopy reports whether an entry with a revision may have been replaced before
	// the service came back from a copy.
	FromCopy func(kv.Revision) bool
	// Revision returns the revision of the entries.
	Revision func() kv.Revision
	// DecodeServer returns the server of an entry, or code.EntryInvalid.
	DecodeServer func(key string, value []byte) (control.VM, *code.Error)
	// DecodeWeights returns the named weights of an entry, or
	// code.EntryInvalid.
	DecodeWeights func(value []byte) (control.WeightsNamed, *code.Error)
	// EvacuationPrefix is the key prefix of the failure domains to whose servers nothing
	// may be sent. DecodeEvacuation returns the domain of a key, or code.EntryInvalid.
	EvacuationPrefix string
	DecodeEvacuation func(key string) (fleet.Domain, *code.Error)
	// Seeds are the addresses of peers to contact before the entries of the nodes
	// have been read.
	Seeds []string
}

// Registry follows the entries and reports them.
type Registry struct {
	options Options
	// mu guards the fields below, which the followers of all prefixes update.
	mu      sync.Mutex
	servers map[string]control.VM
	nodes   map[string]control.VM
	// evacuations has the domains whose evacuation was requested, and whether it still is.
	evacuations map[fleet.Domain]bool
	// issuer is the last node that held the issuer's key.
	issuer string
	// rejected has the keys of the entries that could not be decoded, which are logged
	// once until they are removed or usable.
	rejected map[string]bool
}

// New returns a registry. Run starts it.
func New(options Options) *Registry {
	return &Registry{
		options:  options,
		servers:  map[string]control.VM{},
		nodes:    map[string]control.VM{},
		rejected: map[string]bool{},

		evacuations: map[fleet.Domain]bool{},
	}
}

// Run follows the entries until the context is cancelled.
func (r *Registry) Run(ctx context.Context) {
	r.reportVMs()
	followers := []follower{
		{registry: r, prefix: r.options.ServerPrefix},
		{registry: r, prefix: confkv.PrefixNodes},
		{registry: r, prefix: orders.KeyIssuer},
		{registry: r, prefix: r.options.WeightsPrefix},
		{registry: r, prefix: orders.PrefixMarks},
		{registry: r, prefix: r.options.EvacuationPrefix},
		{registry: r, prefix: confkv.KeyIsolation},
	}
	var group sync.WaitGroup
	for i := range followers {
		group.Go(func() { followers[i].run(ctx) })
	}
	group.Wait()
}

// replace applies the list of all entries under a prefix. It deletes the servers
// and nodes under the prefix that are not listed, and reports the issuer's key as
// free when it is not listed. Named weights are not deleted.
func (r *Registry) replace(prefix string, entries []kv.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.Key] = true
		r.apply(kv.Change{Entry: entry}, true)
	}
	for _, vms := range []map[string]control.VM{r.servers, r.nodes} {
		for key := range vms {
			if strings.HasPrefix(key, prefix) && !listed[key] {
				r.apply(kv.Change{Entry: kv.Entry{Key: key}, Deleted: true}, true)
			}
		}
	}
	for domain, active := range r.evacuations {
		if key := r.options.EvacuationPrefix + string(domain); active && strings.HasPrefix(key, prefix) && !listed[key] {
			r.applyEvacuation(kv.Change{Entry: kv.Entry{Key: key}, Deleted: true})
		}
	}
	if prefix == orders.KeyIssuer && len(entries) == 0 {
		r.applyIssuer(kv.Change{Deleted: true})
	}
	if prefix == confkv.KeyIsolation && !listed[confkv.KeyIsolation] {
		r.applyIsolation(kv.Change{Deleted: true})
	}
}

// apply applies one change, or an entry of a list of all entries when listed is true.
// The caller holds mu.
func (r *Registry) apply(change kv.Change, listed bool) {
	key := change.Entry.Key
	switch {
	case strings.HasPrefix(key, r.options.ServerPrefix):
		r.applyServer(change)
	case strings.HasPrefix(key, confkv.PrefixNodes):
		r.applyNode(change)
	case strings.HasPrefix(key, r.options.WeightsPrefix):
		r.applyWeights(change, listed)
	case key == orders.KeyIssuer:
		r.applyIssuer(change)
	case strings.HasPrefix(key, orders.PrefixMarks):
		r.applyMark(change)
	case strings.HasPrefix(key, r.options.EvacuationPrefix):
		r.applyEvacuation(change)
	case key == confkv.KeyIsolation:
		r.applyIsolation(change)
	}
}

// applyEvacuation reports that a failure domain is to be evacuated, or no longer.
func (r *Registry) applyEvacuation(change kv.Change) {
	domain, err := r.options.DecodeEvacuation(change.Entry.Key)
	if err != nil {
		r.logRejected(change.Entry, err)
		return
	}
	r.evacuations[domain] = !change.Deleted
	r.reportEvacuations()
}

// reportEvacuations reports the state of all evacuations. The caller holds mu, so that no
// earlier state follows a later one.
func (r *Registry) reportEvacuations() {
	for domain, active := range r.evacuations {
		worker.Tell(r.options.Control, r.options.Logger, control.Message(control.EvacuationSeen{Domain: domain, Active: active}))
	}
}

// reportVMs reports all servers and nodes to the control thread, including seeds
// that have no entry yet.
func (r *Registry) reportVMs() {
	r.mu.Lock()
	message := control.VMList{RecoveredAt: r.options.RecoveredAt(), StoreEra: uint64(r.options.Revision().Era())}
	registered := map[string]bool{}
	// A report is lost when the queue of the control thread is full.
	r.reportEvacuations()
	for _, vm := range r.servers {
		message.VMs = append(message.VMs, vm)
	}
	for _, vm := range r.nodes {
		registered[vm.PeerAddress] = true
		message.VMs = append(message.VMs, vm)
	}
	r.mu.Unlock()
	for _, seed := range r.options.Seeds {
		if !registered[seed] {
			message.VMs = append(message.VMs, control.VM{ID: "seed " + seed, Role: fleet.RoleEntryVM, PeerAddress: seed})
		}
	}
	sort.Slice(message.VMs, func(i, j int) bool { return message.VMs[i].ID < message.VMs[j].ID })
	worker.Tell(r.options.Control, r.options.Logger, message)
}

func (r *Registry) applyServer(change kv.Change) {
	delete(r.servers, change.Entry.Key)
	if change.Deleted {
		delete(r.rejected, change.Entry.Key)
		return
	}
	vm, err := r.options.DecodeServer(change.Entry.Key, change.Entry.Value)
	if err != nil {
		r.logRejected(change.Entry, err)
		return
	}
	delete(r.rejected, change.Entry.Key)
	vm.Revision = uint64(change.Entry.Revision)
	vm.FromCopy = r.options.FromCopy(change.Entry.Revision)
	r.servers[change.Entry.Key] = vm
}

func (r *Registry) applyNode(change kv.Change) {
	delete(r.nodes, change.Entry.Key)
	if change.Deleted {
		delete(r.rejected, change.Entry.Key)
		return
	}
	var session confkv.Session
	if err := json.Unmarshal(change.Entry.Value, &session); err != nil || session.Node == "" || session.PeerAddress == "" {
		r.logRejected(change.Entry, code.Wrap(code.EntryInvalid, "the session entry of the node cannot be decoded or lacks its identifier or peer address", err))
		return
	}
	delete(r.rejected, change.Entry.Key)
	r.nodes[change.Entry.Key] = control.VM{
		ID: session.Node, Address: session.Address, Role: fleet.RoleEntryVM, PeerAddress: session.PeerAddress,
		Domain: fleet.Domain(session.Domain),
	}
}

// applyWeights reports the named weights of an entry. A deletion is not
// reported.
func (r *Registry) applyWeights(change kv.Change, listed bool) {
	if change.Deleted {
		return
	}
	weights, err := r.options.DecodeWeights(change.Entry.Value)
	if err != nil {
		r.logRejected(change.Entry, err)
		return
	}
	weights.Listed = listed
	worker.Tell(r.options.Control, r.options.Logger, control.Message(weights))
}

// applyMark reports the mark of recently named weights, or its end.
func (r *Registry) applyMark(change kv.Change) {
	mark, ok := orders.MarkedWeights(change.Entry.Key)
	if !ok {
		r.logRejected(change.Entry, code.New(code.EntryInvalid, "the key is not that of a version"))
		return
	}
	mark.Marked = !change.Deleted
	mark.FromCopy = r.options.FromCopy(change.Entry.Revision)
	worker.Tell(r.options.Control, r.options.Logger, control.Message(mark))
}

// applyIssuer reports the holder of the issuer's key, or the last holder when
// the key is free.
func (r *Registry) applyIssuer(change kv.Change) {
	if !change.Deleted {
		r.issuer = orders.IssuerNode(change.Entry)
	}
	seen := control.IssuerSeen{Held: !change.Deleted, Node: r.issuer}
	worker.Tell(r.options.Control, r.options.Logger, control.Message(seen))
}

// applyIsolation reports the record of the isolated organisations, or that there is none.
// A record that cannot be decoded is reported as one without content, so that a node that
// knows the isolated organisations replaces it.
func (r *Registry) applyIsolation(change kv.Change) {
	seen := control.IsolationSeen{}
	if !change.Deleted {
		record, err := confkv.DecodeIsolation(change.Entry)
		if err != nil {
			r.logRejected(change.Entry, err)
			record.Revision = uint64(change.Entry.Revision)
		}
		seen = record
	}
	worker.Tell(r.options.Control, r.options.Logger, control.Message(seen))
}

// logRejected logs an entry that could not be decoded, unless an earlier revision of it
// was logged.
func (r *Registry) logRejected(entry kv.Entry, err *code.Error) {
	if r.rejected[entry.Key] {
		return
	}
	r.rejected[entry.Key] = true
	eventlog.Write(r.options.Logger, event.EntryRejected, err, "key", entry.Key, "revision", uint64(entry.Revision), "code", int(err.Code))
}
