// Package agent holds the traffic goroutines that connect the control thread
// to the platform's services and to the peers. An agent carries out commands
// from a bounded channel and reports results as messages; it decides nothing.
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/client/kv"
	"tanagerspread/client/vmlist"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/quarantine"
	"tanagerspread/node/confkv"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/peer"
	"tanagerspread/node/worker"
)

const (
	// serviceTimeout bounds one call of a platform service. It is shorter
	// than the timeouts of the session chart, so that a result arrives before
	// its state is left.
	serviceTimeout = 4 * time.Second
	// pollInterval is the time between two reads of the VM list.
	pollInterval = 2 * time.Second
	// retryInterval is the time before a failed watch is armed again.
	retryInterval = time.Second
	// commandQueue bounds the commands that wait for one agent.
	commandQueue = 16
	// workQueue bounds the messages about prompt work that wait.
	workQueue = 64
	// workWorkers is the number of messages about prompt work that are sent at
	// a time.
	workWorkers = 4
	// peerWorkers is the number of peer calls that run at a time.
	peerWorkers = 12
)

// Parse turns a rules file into rules, or returns an error that says which
// rule is wrong.
type Parse func(text []byte) (*config.Rules, *code.Error)

// Options configures the agents of one node.
type Options struct {
	Control worker.Teller
	Service kv.Service
	// List is the VM list, or nil when the registry takes its place.
	List  vmlist.Lister
	Peers *peer.Client
	Parse Parse
	// Source is where the configuration is stored; the zero value is the
	// product's own place.
	Source confkv.Source
	Logger logr.Logger
	// Address is where the node serves callers, PeerAddress where it serves
	// its peers. The latter is empty when peers learn it from the VM list.
	Address     string
	PeerAddress string
	// Domain is published with PeerAddress.
	Domain string
}

// Agents are the agents of one node.
type Agents struct {
	options  Options
	reads    chan control.Command
	sessions chan control.SessionCommand
	peers    chan control.Command
	work     chan control.SendWork
	// parsed caches the rules that were parsed last.
	parsed atomic.Pointer[parsed]
	// quarantined holds the fingerprints that are to be stored.
	quarantined chan quarantine.Entry
	// quarantineRead is closed after the first attempt to read the quarantined
	// fingerprints.
	quarantineRead chan struct{}
	quarantineOnce sync.Once
}

// New returns agents that do not run yet.
func New(options Options) *Agents {
	if options.Source.Decode == nil {
		options.Source = confkv.DefaultSource()
	}
	return &Agents{
		options:  options,
		reads:    make(chan control.Command, commandQueue),
		sessions: make(chan control.SessionCommand, commandQueue),
		peers:    make(chan control.Command, commandQueue),
		work:     make(chan control.SendWork, workQueue),

		quarantined:    make(chan quarantine.Entry, quarantineQueue),
		quarantineRead: make(chan struct{}),
	}
}

// Run runs the agents until the context ends.
func (a *Agents) Run(ctx context.Context) {
	tasks := []func(context.Context){a.watchConfig, a.runReads, a.runSession, a.watchQuarantine, a.storeQuarantine}
	if a.options.List != nil {
		tasks = append(tasks, a.pollList)
	}
	for range peerWorkers {
		tasks = append(tasks, a.runPeers)
	}
	for range workWorkers {
		tasks = append(tasks, a.runWork)
	}
	done := make(chan struct{})
	for _, task := range tasks {
		go func() {
			defer func() { done <- struct{}{} }()
			task(ctx)
		}()
	}
	for range tasks {
		<-done
	}
}

// Do hands a command to its agent. It does not block: a command that finds
// its queue full is dropped, and the control thread issues it again after a
// timeout. It reports false for a command that belongs to no agent.
func (a *Agents) Do(command control.Command) bool {
	switch c := command.(type) {
	case control.ReadConfig, control.WriteConfig:
		worker.Enqueue(a.options.Logger, a.reads, command)
	case control.SessionCommand:
		worker.Enqueue(a.options.Logger, a.sessions, c)
	case control.SendDigest:
		for _, target := range c.Targets {
			worker.Enqueue(a.options.Logger, a.peers, control.Command(control.SendDigest{Targets: []control.PeerTarget{target}, Digest: c.Digest}))
		}
	case control.SendWork:
		for _, target := range c.Targets {
			worker.Enqueue(a.options.Logger, a.work, control.SendWork{Targets: []control.PeerTarget{target}, Node: c.Node, Work: c.Work})
		}
	case control.FetchConfig:
		worker.Enqueue(a.options.Logger, a.peers, command)
	case control.PublishQuarantine:
		for _, entry := range c.Entries {
			if entry.Kind == quarantine.Quarantined {
				worker.Enqueue(a.options.Logger, a.quarantined, entry)
			}
		}
	default:
		return false
	}
	return true
}

func (a *Agents) tell(message control.Message) {
	worker.Tell(a.options.Control, a.options.Logger, message)
}

func (a *Agents) failed(call string, err *code.Error) {
	eventlog.Write(a.options.Logger, event.ServiceCallFailed, err, "call", call, "code", int(err.Code))
}
