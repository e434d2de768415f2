package runtime

import (
	"context"
	"crypto/tls"
	"net"

	"tanagerspread/client/kv"
	"tanagerspread/client/vmlist"
	corecontrol "tanagerspread/core/control"
	"tanagerspread/node/agent"
	"tanagerspread/node/confkv"
	"tanagerspread/node/control"
	"tanagerspread/node/peer"
	"tanagerspread/node/registry"
)

// Fleet is the part of the options that connects a node to the platform and
// to its peers.
type Fleet struct {
	Service kv.Service
	// List is the VM list, or nil.
	List  vmlist.Lister
	Parse agent.Parse
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
	side.agents = agent.New(agent.Options{
		Control: loop,
		Service: f.Service,
		List:    f.List,
		Peers:   side.client,
		Parse:   f.Parse,
		Source:  f.Source,
		Logger:  options.Logger,
		Address: options.Listener.Addr().String(),

		PeerAddress: f.PeerAddress,
		Domain:      string(options.Control.Domain),
	})
	if f.Registry != nil {
		follow := *f.Registry
		follow.Control = loop
		follow.Service = f.Service
		follow.Logger = options.Logger
		follow.ConfigRead = side.agents.ConfigRead
		side.registry = registry.New(follow)
	}
	return side
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
		if s.registry != nil {
			s.registry.Run(ctx)
		}
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

// do hands a command to the registry or to its agent.
func (s *fleetSide) do(command corecontrol.Command) {
	if _, ok := command.(corecontrol.RefreshEntries); ok {
		if s.registry != nil {
			s.registry.Refresh()
		}
		return
	}
	s.agents.Do(command)
}
