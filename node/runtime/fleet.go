package runtime

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"tanagerspread/client/kv"
	"tanagerspread/client/vmlist"
	corecontrol "tanagerspread/core/control"
	"tanagerspread/node/agent"
	"tanagerspread/node/confkv"
	"tanagerspread/node/control"
	"tanagerspread/node/mirror"
	"tanagerspread/node/peer"
	"tanagerspread/node/registry"
	"tanagerspread/node/worker"
)

// Fleet holds the options that connect a node to the platform and to its peers.
type Fleet struct {
	Service kv.Service
	// List reads the VM list, or is nil.
	List  vmlist.Lister
	Parse agent.ParseFunc
	// Source is where the configuration is stored.
	Source confkv.Source
	// PeerListener accepts the connections of peers.
	PeerListener net.Listener
	// PeerConnections bounds the connections that peers open; 0 means the default of the
	// peer server.
	PeerConnections int
	PeerDial        peer.Dialer
	// PeerAddress is the address that is published to peers; it is empty when
	// they read it from the VM list.
	PeerAddress string
	// Registry follows the entries of servers and nodes in the key-value
	// service, which replace the VM list there, or is nil.
	Registry *registry.Options
	// PeerServerTLS and PeerClientTLS are nil for plain connections. With
	// mutual TLS the server side requires and verifies client certificates.
	PeerServerTLS *tls.Config
	PeerClientTLS *tls.Config
}

// fleetComponents holds the agents, the peer protocol, the registry and the
// entry mirror of a node.
type fleetComponents struct {
	agents   *agent.Agents
	client   *peer.Client
	server   *peer.Server
	listener net.Listener
	registry *registry.Registry
	// mirrorFollower updates the mirror that the registry and the agents read.
	// It is nil without a registry.
	mirrorFollower *mirror.Follower
}

func newFleetComponents(loop *control.Loop, options Options) *fleetComponents {
	f := options.Fleet
	components := &fleetComponents{
		client:   peer.NewClient(f.PeerDial, f.PeerClientTLS),
		server:   peer.NewServer(loop),
		listener: f.PeerListener,
	}
	if f.PeerServerTLS != nil {
		components.listener = tls.NewListener(f.PeerListener, f.PeerServerTLS)
	}
	components.server.MaxConnections = f.PeerConnections
	service := f.Service
	if f.Registry != nil {
		service = components.newMirror(loop, options)
	}
	components.agents = agent.New(agent.Options{
		Control:      loop,
		Service:      service,
		VMList:       f.List,
		Peers:        components.client,
		Parse:        f.Parse,
		ConfigSource: f.Source,
		Logger:       options.Logger,
		Address:      options.Listener.Addr().String(),

		PeerAddress: f.PeerAddress,
		Domain:      string(options.Control.Domain),
	})
	return components
}

// newMirror creates the mirror of the entries and the registry that reads it,
// and returns a service whose reads are served from the mirror.
func (s *fleetComponents) newMirror(loop *control.Loop, options Options) kv.Service {
	f := options.Fleet
	if source, ok := f.Service.(kv.EraSource); ok {
		source.OnEra(func(era kv.Era) { worker.Tell(loop, options.Logger, corecontrol.StoreEra{Era: uint64(era)}) })
	}
	entryMirror := mirror.New()
	s.server.Entries = entryMirror
	s.mirrorFollower = mirror.NewFollower(mirror.Options{Mirror: entryMirror, Service: f.Service, Peer: s.client, Logger: options.Logger, ConfigKey: f.Source.Key})
	service := mirror.Service{Service: f.Service, Mirror: entryMirror, MirroredKey: f.Source.Key}
	registryOptions := *f.Registry
	registryOptions.Control = loop
	registryOptions.Service = service
	registryOptions.Logger = options.Logger
	registryOptions.RecoveredAt = entryMirror.RecoveredAt
	registryOptions.FromCopy = entryMirror.FromCopy
	registryOptions.Revision = entryMirror.Revision
	s.registry = registry.New(registryOptions)
	return service
}

// start runs the agents, the peer server, the mirror and the registry until the
// context is cancelled. The returned channel is closed when all have stopped.
func (s *fleetComponents) start(ctx context.Context) <-chan struct{} {
	serverDone := make(chan struct{})
	allDone := make(chan struct{})
	go func() {
		defer close(serverDone)
		_ = s.server.Serve(ctx, s.listener)
	}()
	mirrorDone := make(chan struct{})
	go func() {
		defer close(mirrorDone)
		s.runMirror(ctx)
	}()
	go func() {
		defer close(allDone)
		s.agents.Run(ctx)
		<-mirrorDone
		s.client.Close()
		<-serverDone
	}()
	return allDone
}

// execute passes a command to the mirror or to the agent that handles it.
func (s *fleetComponents) execute(command corecontrol.Command) {
	switch c := command.(type) {
	case corecontrol.RefreshEntries:
		s.mirrorFollower.Refresh()
	case corecontrol.CopyEntries:
		s.mirrorFollower.SetSource(c.Source)
	default:
		s.agents.Submit(command)
	}
}

// runMirror runs the mirror and the registry until the context is cancelled.
func (s *fleetComponents) runMirror(ctx context.Context) {
	if s.registry == nil {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { s.mirrorFollower.Run(ctx) })
	group.Go(func() { s.registry.Run(ctx) })
	group.Wait()
}
