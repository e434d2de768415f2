// Package rig starts nodes as separate processes on loopback addresses, against the
// project's stand-in of the metadata store and small servers, as a deployment of the
// users does. It holds what the cases of the review share.
package rig

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"tanagerspread/standin/deployed"
)

// The names of a deployment: one plain service and one service of model servers, as on the
// users' sheets.
const (
	Host         = "site.example"
	Tenant       = "tenant-a"
	Key          = "key-a"
	Model        = "m0"
	PlainService = "desk"
	ModelService = "models"
)

// Bounds of the deployment dsw-sandfleet that the cases use.
const (
	ContactTime   = 3 * time.Second
	HeartbeatTime = 1200 * time.Millisecond
)

// Options describe a site.
type Options struct {
	// Nodes is the number of nodes, MemoryMB the memory of each machine.
	Nodes    int
	MemoryMB int
	// Dir is a temporary folder for settings and logs.
	Dir string
	// Root is the root of the repository, from which nodes are started.
	Root   string
	Record *Record
}

// Site is the store, the servers and the nodes of one run.
type Site struct {
	options Options
	Store   *deployed.Store
	Nodes   []*Node
	record  *Record
	closers []func()

	storeAddress string
}

// Node is one node, a process of its own.
type Node struct {
	Name         string
	Address      string
	readyAddress string
	settings     string
	log          string
	command      *exec.Cmd
	exited       chan struct{}
}

// Start starts the store and writes the first configuration. Servers and nodes are added
// afterwards.
func Start(options Options) (*Site, error) {
	s := &Site{options: options, Store: deployed.NewStore(), record: options.Record}
	s.Store.SetEra(1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.Store.Handler()}
	go func() { _ = server.Serve(listener) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	s.storeAddress = listener.Addr().String()
	s.configure(1)
	return s, nil
}

// configure writes a configuration with the four kinds of routes of the users' sheets.
func (s *Site) configure(version int) {
	route := func(name, kind, service string, timeout, target, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout,
			"target_latency_ms": target, "service": service, "max_attempts": attempts, "resumable": resumable,
			"priority": 1, "gap_aim_ms": 400, "sticky": service == ModelService,
		}
	}
	s.Store.Put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("review", "streaming", ModelService, 10000, 1000, 2, true),
			route("caption", "streaming", ModelService, 5000, 500, 1, false),
			route("lodge", "non_idempotent", PlainService, 600, 120, 1, false),
			route("lookup", "idempotent", PlainService, 600, 120, 2, false),
		},
		"services": []map[string]any{
			{"name": PlainService, "max_conns": 100},
			{"name": ModelService, "max_conns": 360, "engine": map[string]any{"kv_capacity_tokens": 64955, "kv_token_bytes": 18432, "link_mbps": 370000, "max_inflight": 16}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": Tenant, "api_keys": []string{Key}, "isolated": false}},
	})
}

const settingsText = `node: %q
role: "node"
machine_class: "front"
serves: ["front", "control"]
ip: "127.0.0.1"
zone: "hobart-a"
region: "tas-south"
zones: {hobart-a: "tas-south"}
listen: {front: %q, ready: %q, control: %q}
port_range: [%d, %d]
seeds: [%s]
bootstrap: true
in_tolerance: false
limits: {cpu_share: 0.4, cores: 1, memory_mb: %d, fd_limit: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "platform"]
fault_tolerance: {machines: 1, zones: 0, regions: 0}
bounds: {seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8,
  loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, strict_revoke: false,
  revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_slack: 54, recovery_s: 12, transit_ms: 120,
  reuse_window_s: 20, fencing_required: true, lease_ms: 3000, thaw_slack_ms: 300, version_ms: 12000, version_all_ms: 17000}
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
`

// startTries is how often the nodes are started with new ports. Another process may take a
// port that was free.
const startTries = 3

// StartNodes writes the settings of all nodes, starts them and waits until all are ready.
func (s *Site) StartNodes() error {
	var err error
	for range startTries {
		if err = s.tryNodes(); err == nil {
			return nil
		}
		s.endNodes()
	}
	return err
}

func (s *Site) tryNodes() error {
	ports, err := freePorts(4 * s.options.Nodes)
	if err != nil {
		return err
	}
	address := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	var seeds []string
	for i := range min(3, s.options.Nodes) {
		seeds = append(seeds, fmt.Sprintf("%q", address(ports[4*i+2])))
	}
	for i := range s.options.Nodes {
		p := ports[4*i : 4*i+4]
		n := &Node{Name: fmt.Sprintf("front-hobart-a-%d", i+1), Address: address(p[0]), readyAddress: address(p[1])}
		n.settings = filepath.Join(s.options.Dir, n.Name+".yaml")
		n.log = filepath.Join(s.options.Dir, n.Name+".log")
		text := fmt.Sprintf(settingsText, n.Name, n.Address, n.readyAddress, address(p[2]), p[3], p[3], strings.Join(seeds, ", "), s.options.MemoryMB, s.storeAddress)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		s.Nodes = append(s.Nodes, n)
		if err := s.StartNode(n); err != nil {
			return err
		}
	}
	return s.awaitReady(10 * time.Second)
}

// StartNode starts the process of a node with the command of the deploy file.
func (s *Site) StartNode(n *Node) error {
	log, err := os.OpenFile(n.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.command = exec.Command("target/tanagerspread", "--deployed", "--tuning", "deploy/node.ini")
	n.command.Dir = s.options.Root
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.options.Dir, "TANAGERSPREAD_CONFIG=" + n.settings}
	n.command.Stdout, n.command.Stderr = log, log
	processes.mu.Lock()
	err = n.command.Start()
	if err == nil {
		processes.started = append(processes.started, n.command.Process)
	}
	processes.mu.Unlock()
	if err != nil {
		return err
	}
	s.record.Printf("%s started", n.Name)
	exited := make(chan struct{})
	n.exited = exited
	command := n.command
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process of a node.
func (n *Node) Signal(signal syscall.Signal) {
	_ = n.command.Process.Signal(signal)
}

// Exited is closed when the process of a node has ended.
func (n *Node) Exited() <-chan struct{} { return n.exited }

// PeakMemoryKB returns the largest resident set that the process of a node had so far.
func (n *Node) PeakMemoryKB() (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			return strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		}
	}
	return 0, fmt.Errorf("the status of process %d has no VmHWM", n.command.Process.Pid)
}

// Ready reports whether a node answers the readiness check of the platform with 200.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.readyAddress + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (s *Site) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, n := range s.Nodes {
			ready = ready && n.Ready()
		}
		if ready {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("the nodes are not ready after %s", limit)
		}
	}
}

// endNodes ends the processes of all nodes.
func (s *Site) endNodes() {
	for _, n := range s.Nodes {
		if n.exited != nil {
			_ = n.command.Process.Kill()
			<-n.exited
		}
	}
	s.Nodes = nil
}

// Close ends all processes and listeners that the site started.
func (s *Site) Close() {
	s.endNodes()
	for _, closeOne := range s.closers {
		closeOne()
	}
}

// freePorts returns ports that are free at the moment.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
