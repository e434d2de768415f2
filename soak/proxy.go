package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is what a proxy does to the bytes that pass.
type Mode int32

// The modes of a proxy.
const (
	// Pass forwards bytes at once.
	Pass Mode = iota
	// Delay forwards bytes late.
	Delay
	// Blackhole keeps connections open and forwards nothing.
	Blackhole
	// DropResponses forwards requests and drops answers.
	DropResponses
	modeCount
)

// proxyDelay is the lateness of bytes in the mode Delay.
const proxyDelay = 80 * time.Millisecond

// Proxy is a loopback proxy before one address.
type Proxy struct {
	target   string
	listener net.Listener
	mode     atomic.Int32
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// NewProxy returns a proxy that listens on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// SetMode changes the mode for open and new connections.
func (p *Proxy) SetMode(mode Mode) {
	p.mode.Store(int32(mode))
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Without lingering, the close is a reset.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close ends the proxy and its connections.
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
	if err != nil {
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
		p.conns[conn] = true
	}
}

// forward forwards bytes in one direction until either end closes.
func (p *Proxy) forward(to, from net.Conn, responses bool) {
	defer p.closeConns(to, from)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.shouldForward(responses) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// shouldForward waits as the mode says and reports whether bytes go on.
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
