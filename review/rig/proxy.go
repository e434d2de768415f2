package rig

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards connections to one address and can reset them, refuse new ones and
// delay bytes.
type Proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	conns    map[*net.TCPConn]bool
	down     bool
}

// NewProxy returns a proxy on a free loopback port. The site closes it.
func (s *Site) NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, conns: map[*net.TCPConn]bool{}}
	s.closers = append(s.closers, func() {
		_ = listener.Close()
		p.Reset()
	})
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetDown sets whether new connections are reset at once, as at a port without a listener.
func (p *Proxy) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Reset resets all open connections and returns their number.
func (p *Proxy) Reset() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := len(p.conns) / 2
	for conn := range p.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	clear(p.conns)
	return count
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	dialed, err := net.DialTimeout("tcp", p.target, time.Second)
	p.mu.Lock()
	if err != nil || p.down {
		p.mu.Unlock()
		_ = client.SetLinger(0)
		_ = client.Close()
		if err == nil {
			_ = dialed.Close()
		}
		return
	}
	server := dialed.(*net.TCPConn)
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	go p.forward(server, client)
	p.forward(client, server)
}

func (p *Proxy) forward(to, from *net.TCPConn) {
	_, _ = io.Copy(to, from)
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = from.Close()
	_ = to.Close()
	delete(p.conns, to)
	delete(p.conns, from)
}
