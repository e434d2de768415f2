package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode specifies how a proxy handles the bytes that it receives.
type Mode int32

// The modes of a proxy.
const (
	// Pass forwards bytes without delay.
	Pass Mode = iota
	// Delay forwards bytes after proxyDelay.
	Delay
	// Blackhole drops all bytes and leaves connections open.
	Blackhole
	// DropResponses forwards requests and drops responses.
	DropResponses
	modeCount
)

// proxyDelay is the delay before each write in the mode Delay.
const proxyDelay = 80 * time.Millisecond

// Proxy is a TCP proxy on loopback that forwards to one address.
type Proxy struct {
	target   string
	listener net.Listener
	mode     atomic.Int32
	// down is true while new connections are closed at once.
	down atomic.Bool
	mu   sync.Mutex
	// conns has the open connections; those that are true are silent.
	conns map[net.Conn]bool
}

// NewProxy returns a proxy that listens on a free loopback port and forwards to
// the target.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetMode sets the mode of open and new connections.
func (p *Proxy) SetMode(mode Mode) {
	p.mode.Store(int32(mode))
}

// SetDown sets whether new connections are closed at once, as those to a process that has
// ended.
func (p *Proxy) SetDown(down bool) {
	p.down.Store(down)
}

// SilenceConnections drops all further bytes of the open connections and leaves them
// open. New connections work.
func (p *Proxy) SilenceConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		p.conns[conn] = true
	}
}

// Reset closes all open connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// With a linger time of 0, Close sends a reset.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close closes the listener and resets all open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		clientConn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(clientConn)
	}
}

func (p *Proxy) serve(clientConn net.Conn) {
	targetConn, err := net.DialTimeout("tcp", p.target, time.Second)
	if err == nil && p.down.Load() {
		_ = targetConn.Close()
	}
	if err != nil || p.down.Load() {
		_ = clientConn.Close()
		return
	}
	p.track(clientConn, targetConn)
	go p.forward(targetConn, clientConn, false)
	p.forward(clientConn, targetConn, true)
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = false
	}
}

// silent reports whether a connection is silent.
func (p *Proxy) silent(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[conn]
}

// forward forwards bytes in one direction until either end closes.
func (p *Proxy) forward(to, from net.Conn, responses bool) {
	defer p.closeConns(to, from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.shouldForward(responses) && !p.silent(from) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// shouldForward applies the delay of the mode and reports whether the mode
// forwards bytes in this direction.
func (p *Proxy) shouldForward(responses bool) bool {
	switch Mode(p.mode.Load()) {
	case Delay:
		<-time.After(proxyDelay)
	case Blackhole:
		return false
	case DropResponses:
		return !responses
	}
	return true
}

func (p *Proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(p.conns, conn)
	}
}
