// Package agent connects the control thread to the key-value service, the VM list
// and the peers. An agent is a goroutine outside the control thread: it executes
// commands of the control thread from a bounded channel, or watches a service, and
// sends the results to the control thread as messages. All decisions are made by
// the control thread.
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
	"tanagerspread/node/confkv"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/peer"
	"tanagerspread/node/worker"
)

const (
	// serviceTimeout bounds one call of a platform service. It is shorter than
	// the timeouts of the session chart, so that a result arrives while the
	// chart is still in the state that expects it.
	serviceTimeout = 4 * time.Second
	// vmListInterval is the time between two reads of the VM list.
	vmListInterval = 2 * time.Second
	// retryInterval is the time before a failed watch or write is repeated.
	retryInterval = time.Second
	// commandQueueSize is the maximum number of commands that wait for one agent.
	commandQueueSize = 16
	// peerQueueSize is the maximum number of messages to peers that wait. An urgent digest
	// is one message for each of its targets.
	peerQueueSize = 256
	// workQueueSize is the maximum number of queued messages about prefill work.
	workQueueSize = 64
	// workSenders is the number of messages about prefill work that are sent
	// concurrently.
	workSenders = 4
	// peerWorkers is the number of peer calls that run concurrently.
	peerWorkers = 12
)

// ParseFunc parses a rules file. Its error specifies the rule that is wrong.
type ParseFunc func(text []byte) (*config.Rules, *code.Error)

// Options configures the agents of one node.
type Options struct {
	Control worker.Teller
	Service kv.Service
	// VMList is the client of the VM list, or nil when the registry replaces the
	// list.
	VMList vmlist.Lister
	Peers  *peer.Client
	Parse  ParseFunc
	// ConfigSource is where the configuration is stored; the zero value means
	// confkv.DefaultSource.
	ConfigSource confkv.Source
	Logger       logr.Logger
	// Address is the address at which the node serves callers, PeerAddress the
	// one at which it serves its peers. PeerAddress is empty when the peers read
	// it from the VM list.
	Address     string
	PeerAddress string
	// Domain is the failure domain that is published with PeerAddress.
	Domain string
}

// Agents runs the agents of one node and queues their commands.
type Agents struct {
	options         Options
	configCommands  chan control.Command
	sessionCommands chan control.SessionCommand
	peerCommands    chan control.Command
	workCommands    chan control.SendWork
	// lastParsed caches the rules file that was parsed last.
	lastParsed atomic.Pointer[parsedRules]
	// quarantineWrites queues the quarantined fingerprints and prompt parts that are to be
	// stored.
	quarantineWrites chan quarantineWrite
	// firstQuarantineRead is closed after the first read of the quarantined
	// fingerprints, whether or not it succeeded.
	firstQuarantineRead     chan struct{}
	firstQuarantineReadOnce sync.Once
}

// New returns agents; Run starts them.
func New(options Options) *Agents {
	if options.ConfigSource.Decode == nil {
		options.ConfigSource = confkv.DefaultSource()
	}
	return &Agents{
		options:         options,
		configCommands:  make(chan control.Command, commandQueueSize),
		sessionCommands: make(chan control.SessionCommand, commandQueueSize),
		peerCommands:    make(chan control.Command, peerQueueSize),
		workCommands:    make(chan control.SendWork, workQueueSize),

		quarantineWrites:    make(chan quarantineWrite, quarantineQueueSize),
		firstQuarantineRead: make(chan struct{}),
	}
}

// Run runs the agents, each in goroutines of its own, until the context is cancelled.
func (a *Agents) Run(ctx context.Context) {
	tasks := []func(context.Context){a.watchConfig, a.runConfigCommands, a.runSessionCommands, a.watchQuarantine, a.runQuarantineWrites}
	if a.options.VMList != nil {
		tasks = append(tasks, a.pollVMList)
	}
	for range peerWorkers {
		tasks = append(tasks, a.runPeerCommands)
	}
	for range workSenders {
		tasks = append(tasks, a.runWorkCommands)
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

// Submit queues a command for its agent without blocking. When the queue is
// full, the command is dropped, and the control thread issues it again after a
// timeout. Submit returns false for a command of another package.
func (a *Agents) Submit(command control.Command) bool {
	switch c := command.(type) {
	case control.ReadConfig, control.WriteConfig, control.WriteIsolation:
		worker.Enqueue(a.options.Logger, a.configCommands, command)
	case control.SessionCommand:
		worker.Enqueue(a.options.Logger, a.sessionCommands, c)
	case control.SendDigest:
		for _, target := range c.Targets {
			worker.Enqueue(a.options.Logger, a.peerCommands, control.Command(control.SendDigest{Targets: []control.PeerTarget{target}, Digest: c.Digest}))
		}
	case control.SendWork:
		for _, target := range c.Targets {
			worker.Enqueue(a.options.Logger, a.workCommands, control.SendWork{Targets: []control.PeerTarget{target}, Node: c.Node, Work: c.Work, Waiting: c.Waiting})
		}
	case control.FetchConfig:
		worker.Enqueue(a.options.Logger, a.peerCommands, command)
	case control.PublishQuarantine:
		for _, entry := range c.Entries {
			if entry.Stored {
				worker.Enqueue(a.options.Logger, a.quarantineWrites, quarantineWrite{entry: entry, expiresAt: entry.ExpiresAt})
			}
		}
		for _, part := range c.Parts {
			worker.Enqueue(a.options.Logger, a.quarantineWrites, quarantineWrite{part: part, expiresAt: c.PartsExpireAt})
		}
	default:
		return false
	}
	return true
}

func (a *Agents) tell(message control.Message) {
	worker.Tell(a.options.Control, a.options.Logger, message)
}

func (a *Agents) logCallFailure(call string, err *code.Error) {
	eventlog.Write(a.options.Logger, event.ServiceCallFailed, err, "call", call, "code", int(err.Code))
}
