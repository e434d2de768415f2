package rig

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
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
	// dark is closed by Wake, nil while the target can be reached. deaf listens
	// meanwhile.
	dark chan struct{}
	deaf *os.File
}

// NewProxy returns a proxy on a free loopback port. The site closes it.
func (s *Site) NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, conns: map[*net.TCPConn]bool{}}
	s.closers = append(s.closers, func() {
		_ = p.Wake()
		p.mu.Lock()
		_ = p.listener.Close()
		p.mu.Unlock()
		p.Reset()
	})
	go p.accept(listener)
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

// Darken makes the target silent, as a machine without power: open connections carry
// nothing more and stay open, and new ones get no answer.
func (p *Proxy) Darken() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dark != nil {
		return nil
	}
	p.dark = make(chan struct{})
	address := p.listener.Addr().(*net.TCPAddr)
	if err := p.listener.Close(); err != nil {
		return err
	}
	// A queue of new connections that is full drops all further ones without an answer.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	p.deaf = os.NewFile(uintptr(fd), "deaf")
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	dark := p.dark
	for range 2 {
		go func() {
			conn, err := net.DialTimeout("tcp", address.String(), 100*time.Millisecond)
			if err == nil {
				<-dark
				_ = conn.Close()
			}
		}()
	}
	return nil
}

// Wake ends Darken. The connections from before are reset.
func (p *Proxy) Wake() error {
	p.mu.Lock()
	if p.dark == nil {
		p.mu.Unlock()
		return nil
	}
	close(p.dark)
	p.dark = nil
	_ = p.deaf.Close()
	listener, err := net.Listen("tcp", p.listener.Addr().String())
	if err == nil {
		p.listener = listener
		go p.accept(listener)
	}
	p.mu.Unlock()
	p.Reset()
	return err
}

func (p *Proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
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
	go p.forward(server, client, false)
	p.forward(client, server, true)
}

func (p *Proxy) forward(to, from *net.TCPConn, fromTarget bool) {
	_, _ = io.Copy(writer{p, to}, from)
	if dark := p.darkness(); fromTarget && dark != nil {
		// The end of the target is not seen while it is silent.
		<-dark
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = from.Close()
	_ = to.Close()
	delete(p.conns, to)
	delete(p.conns, from)
}

// writer writes to one end of a connection while the target can be reached.
type writer struct {
	proxy *Proxy
	conn  *net.TCPConn
}

func (w writer) Write(data []byte) (int, error) {
	if dark := w.proxy.darkness(); dark != nil {
		<-dark
		return 0, net.ErrClosed
	}
	return w.conn.Write(data)
}

// darkness returns the channel that Wake closes, nil while the target can be reached.
func (p *Proxy) darkness() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dark
}
