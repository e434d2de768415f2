// Package soak runs the real programs as separate processes against stand-ins
// on loopback, injects faults from outside the processes, and checks what
// callers and servers observe.
package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tanagerspread/standin/deployed"
)

const (
	plainServerCount = 3
	modelServerCount = 3
	portsPerNode     = 4
	// streamEvents is the number of events in each stream.
	streamEvents = 6
	soakHost     = "soak.example"
	soakTenant   = "tenant"
	validKey     = "key-kept"
	// soakLatencyTarget is the target latency of the routes.
	soakLatencyTarget = 300 * time.Millisecond
	// soakMaxConcurrency is the number of calls that a server runs at once.
	soakMaxConcurrency = 16
	// logTailLines is the number of lines of the log of a node in a report. CI keeps
	// no files of a failed run.
	logTailLines = 20
)

// siteOptions are the properties of a site that differ between runs.
type siteOptions struct {
	nodes int
	// memoryMB and descriptors are the memory limit in MiB and the limit on file
	// descriptors in the settings of each node.
	memoryMB    int
	descriptors int
	// wrapServer wraps the handler of each server, or is nil.
	wrapServer func(http.Handler) http.Handler
	// serverConcurrency is the number of calls that a server runs at once;
	// 0 means soakMaxConcurrency.
	serverConcurrency int
	// unreadLogs makes the nodes write their logs to a pipe that nobody reads.
	unreadLogs bool
}

// soakOptions are the options of the runs of seeds.
var soakOptions = siteOptions{nodes: 3, memoryMB: 300, descriptors: 4100}

// site is the key-value store, the backend servers and the nodes of one run.
type site struct {
	options siteOptions
	dir     string
	binary  string
	store   *deployed.Store
	plan    *deployed.Plan
	servers []*server
	nodes   []*node
	// storeProxies has, for each node, the proxy between it and the store.
	storeProxies   []*Proxy
	ports          portAllocator
	configVersion  int
	weightsVersion int
	closeFuncs     []func()
}

// server is a backend server that the nodes reach through a proxy.
type server struct {
	*deployed.Server
	proxy *Proxy
}

// crashTime is how long a server is down after a crash.
const crashTime = time.Second

// crash breaks all connections of the server and refuses new ones for crashTime.
func (s *server) crash() {
	s.proxy.SetDown(true)
	s.proxy.Reset()
	time.AfterFunc(crashTime, func() { s.proxy.SetDown(false) })
}

// node is a node of the site, which runs as a process of its own.
type node struct {
	name          string
	settingsFile  string
	callerAddress string
	readyAddress  string
	// operatorAddress is the address of the metrics and the dumps.
	operatorAddress string
	logFile         *os.File

	mu      sync.Mutex
	process *os.Process
}

// startSite starts the store, the servers and the nodes on loopback addresses
// and writes their entries and settings.
func startSite(binary, dir string, options siteOptions) (*site, error) {
	s := &site{options: options, dir: dir, binary: binary, store: deployed.NewStore(), plan: &deployed.Plan{}, weightsVersion: 1}
	s.store.SetEra(1)
	storeAddress, err := s.startHTTPServer(s.store.Handler())
	if err != nil {
		return nil, err
	}
	s.writeConfiguration(validKey)
	s.store.SetWeightVersion(s.weightsVersion)
	for i := range plainServerCount + modelServerCount {
		events := 0
		if i >= plainServerCount {
			events = streamEvents
		}
		if err := s.addServer(fmt.Sprintf("i-%d", i), events); err != nil {
			return nil, err
		}
	}
	for i := range options.nodes {
		if err := s.addNode(fmt.Sprintf("node-%d", i), storeAddress); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// startHTTPServer serves the handler on a free loopback port until the site is
// closed and returns the address.
func (s *site) startHTTPServer(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	s.closeFuncs = append(s.closeFuncs, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// configStep is the difference between two versions of the configuration.
const configStep = 2

// writeConfiguration writes the next version of the configuration, in which the
// keys are valid.
func (s *site) writeConfiguration(keys ...string) {
	s.configVersion += configStep
	s.store.Configure(deployed.Configuration{
		Version: s.configVersion, Host: soakHost, Timeout: callDeadline, TargetLatency: soakLatencyTarget, Tenant: soakTenant, Keys: keys,
	})
}

func (s *site) addServer(id string, events int) error {
	srv := &server{Server: deployed.NewServer(id, events)}
	srv.Plan = s.plan
	srv.CloseAfterEvents = 2
	srv.CrashPart = crashPart
	srv.Crash = func() { srv.crash() }
	handler := srv.Handler()
	if s.options.wrapServer != nil {
		handler = s.options.wrapServer(handler)
	}
	address, err := s.startHTTPServer(handler)
	if err != nil {
		return err
	}
	if srv.proxy, err = NewProxy(address); err != nil {
		return err
	}
	s.closeFuncs = append(s.closeFuncs, srv.proxy.Close)
	s.servers = append(s.servers, srv)
	s.writeServerEntry(srv, "ready")
	return nil
}

// writeServerEntry writes the entry of a server with a state to the store.
func (s *site) writeServerEntry(srv *server, state string) {
	concurrency := s.options.serverConcurrency
	if concurrency == 0 {
		concurrency = soakMaxConcurrency
	}
	s.store.RegisterServer(srv.Server, srv.proxy.Address(), state, concurrency)
}

func (s *site) addNode(name, storeAddress string) error {
	proxy, err := NewProxy(storeAddress)
	if err != nil {
		return err
	}
	s.closeFuncs = append(s.closeFuncs, proxy.Close)
	s.storeProxies = append(s.storeProxies, proxy)
	ports, err := s.ports.allocate(portsPerNode)
	if err != nil {
		return err
	}
	n := &node{name: name, callerAddress: loopbackAddress(ports[0]), readyAddress: loopbackAddress(ports[1]),
		operatorAddress: loopbackAddress(ports[3]), settingsFile: filepath.Join(s.dir, name+".yaml")}
	text := fmt.Sprintf(`node: %q
zone: "a"
ip: "127.0.0.1"
listen: {front: %q, ready: %q, control: %q}
port_range: [%d, %d]
limits: {memory_mb: %d, fd_limit: %d}
bounds: {lease_ms: 3000, grace_s: 15, version_ms: 12000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 50, fencing_required: true}
platform: {address: %q}
`, name, n.callerAddress, n.readyAddress, loopbackAddress(ports[2]), ports[3], ports[3],
		s.options.memoryMB, s.options.descriptors, proxy.Address())
	if err := os.WriteFile(n.settingsFile, []byte(text), 0o600); err != nil {
		return err
	}
	if n.logFile, err = s.openLog(name); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	return n.start(s.binary)
}

// openLog returns the file or pipe that the node writes its log to.
func (s *site) openLog(name string) (*os.File, error) {
	if !s.options.unreadLogs {
		return os.Create(filepath.Join(s.dir, name+".log"))
	}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	s.closeFuncs = append(s.closeFuncs, func() { _ = reader.Close() })
	return writer, nil
}

func loopbackAddress(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// start starts the process of a node.
func (n *node) start(binary string) error {
	process, err := os.StartProcess(binary, []string{binary, "--deployed", "--deployed-settings", n.settingsFile}, &os.ProcAttr{
		Files: []*os.File{nil, n.logFile, n.logFile},
	})
	if err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = process
	return nil
}

// signal sends a signal to the current process of the node.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// The process may have exited already.
	_ = n.process.Signal(sig)
}

// wait waits until the current process has exited.
func (n *node) wait() {
	n.mu.Lock()
	process := n.process
	n.mu.Unlock()
	// The process may have been waited for already.
	_, _ = process.Wait()
}

// logTails returns the last lines of the logs of all nodes.
func (s *site) logTails() string {
	var tails strings.Builder
	for _, n := range s.nodes {
		fmt.Fprintf(&tails, "%s:\n", n.name)
		// An unreadable log leaves the tail empty; the test has failed already.
		text, _ := os.ReadFile(n.logFile.Name())
		lines := strings.SplitAfter(string(text), "\n")
		for _, line := range lines[max(0, len(lines)-logTailLines):] {
			tails.WriteString(line)
		}
	}
	return tails.String()
}

// close kills the nodes, also paused ones, and closes the proxies and servers.
func (s *site) close() {
	for _, n := range s.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
		n.wait()
		_ = n.logFile.Close()
	}
	for _, closeFunc := range s.closeFuncs {
		closeFunc()
	}
}
