// Package rig starts nodes as separate processes on loopback addresses, together
// with stand-ins of the platform's store, servers and clients, and keeps a record of
// what was sent, answered and run.
package rig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the record of a run. Its methods may be called by any goroutine.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes one line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The record is for readers; the result of a case does not depend on it.
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Site is one small deployment.
type Site struct {
	Record *Record
	Store  *Store
	Nodes  []*Node

	dir         string
	root        string
	storeAddr   string
	serversHTTP []*http.Server
	closers     []func()
	used        map[int]bool
}

// newSite starts the store. root is the repository, from which nodes are started.
func newSite(root string, record *Record) (*Site, error) {
	dir, err := os.MkdirTemp("", "case-*")
	if err != nil {
		return nil, err
	}
	s := &Site{Record: record, Store: newStore(), dir: dir, root: root, used: map[int]bool{}}
	s.storeAddr, err = s.Serve(s.Store.Handler())
	return s, err
}

// Serve serves a handler on a free loopback port until Close.
func (s *Site) Serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.serversHTTP = append(s.serversHTTP, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *Site) port() int {
	for {
		port := 20000 + rand.IntN(12000)
		if s.used[port] {
			continue
		}
		listener, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		s.used[port] = true
		return port
	}
}

// Node is one node process and what the platform knows of it.
type Node struct {
	Name  string
	Front string
	Ready string

	site     *Site
	settings string
	log      *os.File
	mu       sync.Mutex
	process  *os.Process
}

// AddNode writes the settings of a node and starts it.
func (s *Site) AddNode(zone string, memoryMB int) (*Node, error) {
	name := fmt.Sprintf("front-%s-%d", zone, len(s.Nodes)+1)
	front, ready, control, last := s.port(), s.port(), s.port(), s.port()
	n := &Node{Name: name, Front: fmt.Sprintf("127.0.0.1:%d", front), Ready: fmt.Sprintf("127.0.0.1:%d", ready), site: s}
	n.settings = filepath.Join(s.dir, name+".yaml")
	text := fmt.Sprintf(settingsText, name, zone, front, ready, control, last, last, memoryMB, s.storeAddr)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if n.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
		return nil, err
	}
	s.Nodes = append(s.Nodes, n)
	return n, n.Start()
}

const settingsText = `node: %q
role: "node"
machine_class: "front"
serves: ["front", "control"]
ip: "127.0.0.1"
zone: %q
region: "visayas"
zones: {cebu-north: "visayas", cebu-south: "visayas", bohol: "visayas", negros-oriental: "visayas"}
listen: {front: "127.0.0.1:%d", ready: "127.0.0.1:%d", control: "127.0.0.1:%d"}
port_range: [%d, %d]
seeds: []
bootstrap: true
in_tolerance: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: %d, fd_limit: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
bounds: {seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, strict_revoke: false, revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 52, recovery_s: 12, transit_ms: 120, reuse_window_s: 20, fencing_required: true, lease_ms: 3000, thaw_slack_ms: 300, version_ms: 12000, version_all_ms: 17000}
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`

// Start starts the process as deploy/system.toml does.
func (n *Node) Start() error {
	process, err := os.StartProcess(filepath.Join(n.site.root, "target/tanagerspread"),
		[]string{"target/tanagerspread", "--deployed", "--tuning", "deploy/node.ini"},
		&os.ProcAttr{
			Dir:   n.site.root,
			Env:   []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.site.dir, "LANG=C", "TANAGERSPREAD_CONFIG=" + n.settings},
			Files: []*os.File{nil, n.log, n.log},
		})
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = process
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.process.Signal(sig)
}

// Wait waits until the process has ended and returns its state.
func (n *Node) Wait() string {
	n.mu.Lock()
	process := n.process
	n.mu.Unlock()
	state, err := process.Wait()
	if err != nil {
		return err.Error()
	}
	return state.String()
}

// Resident returns the resident memory of the process in bytes, as the platform
// measures it.
func (n *Node) Resident() int64 {
	n.mu.Lock()
	pid := n.process.Pid
	n.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// AwaitReady waits until all nodes are ready.
func (s *Site) AwaitReady() error {
	for _, n := range s.Nodes {
		if err := n.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the node answers its readiness check with 200.
func (n *Node) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + n.Ready + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.Name)
}

// close kills the nodes and closes the stand-ins.
func (s *Site) close() {
	for _, n := range s.Nodes {
		n.Signal(syscall.SIGCONT)
		n.Signal(syscall.SIGKILL)
		n.Wait()
		_ = n.log.Close()
	}
	for _, server := range s.serversHTTP {
		_ = server.Close()
	}
	for _, closeFunc := range s.closers {
		closeFunc()
	}
	_ = os.RemoveAll(s.dir)
}

// Route is a route of the configuration.
type Route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"path_prefix"`
	Kind        string `json:"kind"`
	TimeoutMS   int    `json:"timeout_ms"`
	TargetMS    int    `json:"target_latency_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	AuthExempt  bool   `json:"auth_exempt"`
	Sticky      bool   `json:"sticky,omitempty"`
	Resumable   bool   `json:"resumable,omitempty"`
	GapAimMS    int    `json:"gap_aim_ms,omitempty"`
}

// Host is the host of all routes, Key the API key of the only tenant.
const (
	Host   = "desk.example"
	Key    = "key-of-tenant"
	Tenant = "tenant"
)

// TenantEntry is a tenant of the configuration.
type TenantEntry struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Isolated bool     `json:"isolated,omitempty"`
}

// Configure writes a configuration, as the operator does. Without tenants it has one.
func (s *Site) Configure(version int, routes []Route, services []map[string]any, tenants ...TenantEntry) {
	if len(tenants) == 0 {
		tenants = []TenantEntry{{Name: Tenant, APIKeys: []string{Key}}}
	}
	s.Store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	})
}

// Zones are the zones of the deployment.
var Zones = []string{"cebu-north", "cebu-south", "bohol", "negros-oriental"}

// PlainService returns the configuration of a service without engines.
func PlainService(name string, maxConns int) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false}
}

// ServeBehindProxy serves a handler on a free loopback port behind a proxy.
func (s *Site) ServeBehindProxy(handler http.Handler) (*Proxy, error) {
	address, err := s.Serve(handler)
	if err != nil {
		return nil, err
	}
	return s.NewProxy(address)
}
