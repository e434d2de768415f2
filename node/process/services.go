package process

import (
	"fmt"
	"net"

	"tanagerspread/client/kv"
	"tanagerspread/client/vmlist"
	"tanagerspread/client/wire"
	"tanagerspread/node/rules"
	"tanagerspread/node/runtime"
	"tanagerspread/node/settings"
)

// services holds the clients of the platform's services.
type services struct {
	fleet  *runtime.Fleet
	kv     *kv.Client
	vmList *vmlist.Client
}

// newServices opens the peer listener and creates the clients. The clients open
// connections on demand, so that a node starts while a service is unreachable.
func newServices(options Options) (*services, error) {
	s := options.Settings
	listener, err := options.Listen("tcp", s.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	p := &services{
		kv:     kv.NewClient(wire.Options{Address: s.KeyValue}),
		vmList: vmlist.NewClient(wire.Options{Address: s.VMList}),
	}
	p.fleet = &runtime.Fleet{
		Service:      p.kv,
		List:         p.vmList,
		Parse:        rules.Load,
		PeerListener: listener,
		PeerDial:     (&net.Dialer{}).DialContext,
	}
	if err := p.configureTLS(s); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *services) configureTLS(s *settings.Settings) error {
	var err error
	if p.fleet.PeerServerTLS, err = s.PeerTLS.Config(); err != nil {
		return fmt.Errorf("peer TLS: %w", err)
	}
	if p.fleet.PeerClientTLS, err = s.PeerTLS.ClientConfig(); err != nil {
		return fmt.Errorf("peer TLS: %w", err)
	}
	return nil
}

func (p *services) close() {
	// The process is about to exit, so an error on closing the listener has no
	// effect.
	_ = p.fleet.PeerListener.Close()
	p.kv.Close()
	p.vmList.Close()
}
