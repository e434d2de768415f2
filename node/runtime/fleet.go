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
)

// Fleet is the part of the options that connects a node to the platform and
// to its peers.
type Fleet struct {
	Service kv.Service
	// List is the VM list, or nil.
	List  vmlist.Lister
	Parse agent.ParseFunc
	// Source is where the configuration is stored.
	Source confkv.Source
	// PeerListener accepts the connections of peers.
	PeerListener net.Listener
	PeerDial     peer.Dialer
	// PeerAddress is published to peers; it is empty when they learn it from
	// the VM list.
	PeerAddress string
	// Registry follows the entries of servers and nodes in the key-value
	// service, where they take the place of the VM list, or is nil.
	Registry *registry.Options
	// PeerServerTLS and PeerClientTLS are nil for plain connections. For
	// mutual TLS the server side requires and checks client certificates.
	PeerServerTLS *tls.Config
	PeerClientTLS *tls.Config
}

// fleetSide runs the agents and the peer protocol of a node.
type fleetSide struct {
	agents   *agent.Agents
	client   *peer.Client
	server   *peer.Server
	listener net.Listener
	registry *registry.Registry
	// entries keeps the mirror that the registry and the agents read, when there
	// is a registry.
	entries *mirror.Follower
}

func newFleetSide(loop *control.Loop, options Options) *fleetSide {
	f := options.Fleet
	side := &fleetSide{
		client:   peer.NewClient(f.PeerDial, f.PeerClientTLS),
		server:   peer.NewServer(loop),
		listener: f.PeerListener,
	}
	if f.PeerServerTLS != nil {
		side.listener = tls.NewListener(f.PeerListener, f.PeerServerTLS)
	}
	service := f.Service
	if f.Registry != nil {
		service = side.mirror(loop, options)
	}
	side.agents = agent.New(agent.Options{
		Control:      loop,
		Service:      service,
		VMList:       f.List,
		Peers:        side.client,
		Parse:        f.Parse,
		ConfigSource: f.Source,
		Logger:       options.Logger,
		Address:      options.Listener.Addr().String(),

		PeerAddress: f.PeerAddress,
		Domain:      string(options.Control.Domain),
	})
	return side
}

// mirror sets up the mirror and the registry over it, and returns the service
// that reads the mirror.
func (s *fleetSide) mirror(loop *control.Loop, options Options) kv.Service {
	f := options.Fleet
	copied := mirror.New()
	s.server.Entries = copied
	s.entries = mirror.NewFollower(mirror.Options{Mirror: copied, Service: f.Service, Peer: s.client, Logger: options.Logger})
	service := mirror.Service{Service: f.Service, Mirror: copied, MirroredKey: f.Source.Key}
	follow := *f.Registry
	follow.Control = loop
	follow.Service = service
	follow.Logger = options.Logger
	follow.RecoveredAt = copied.RecoveredAt
	s.registry = registry.New(follow)
	return service
}

// start runs the agents and the peer server until the context ends. The
// returned channel is closed when all of them have ended.
func (s *fleetSide) start(ctx context.Context) <-chan struct{} {
	served := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.server.Serve(ctx, s.listener)
	}()
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		s.follow(ctx)
	}()
	go func() {
		defer close(done)
		s.agents.Run(ctx)
		<-followed
		s.client.Close()
		<-served
	}()
	return done
}

// do hands a command to the mirror or to its agent.
func (s *fleetSide) do(command corecontrol.Command) {
	switch c := command.(type) {
	case corecontrol.RefreshEntries:
		s.entries.Refresh()
	case corecontrol.CopyEntries:
		s.entries.SetSource(c.Source)
	default:
		s.agents.Submit(command)
	}
}

// follow runs the mirror and the registry until the context ends.
func (s *fleetSide) follow(ctx context.Context) {
	if s.registry == nil {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { s.entries.Run(ctx) })
	group.Go(func() { s.registry.Run(ctx) })
	group.Wait()
}
