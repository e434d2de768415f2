package session_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tanagerspread/client/vmlist"
	"tanagerspread/core/control"
)

const (
	// nodeCount is the number of nodes of a session.
	nodeCount = 3
	// maxStartAttempts limits the starts of one node. A start fails when another
	// process takes the free port before the node opens it.
	maxStartAttempts = 5
	derwentRules     = "../../ctl/example/derwent.rules"
)

// testSite is a running site of stand-ins with its nodes.
type testSite struct {
	t *testing.T
	// KV, VMList and Switches are addresses from the output of the stand-in.
	KV       string `json:"kv"`
	VMList   string `json:"vm_list"`
	Switches string `json:"switches"`
	VMs      []struct {
		Role string `json:"role"`
	} `json:"vms"`
	nodes []*node
	// certificates is nil when the nodes do not use TLS.
	certificates *certificates
	transcript   transcript
}

// node is a running node with the addresses of its listeners.
type node struct {
	*program
	id            string
	callerAddress string
	adminAddress  string
	peerAddress   string
}

// startSite starts a site with three nodes and applies no rules. The nodes use TLS
// unless c is nil.
func startSite(t *testing.T, c *certificates) *testSite {
	t.Helper()
	site := &testSite{t: t, certificates: c}
	reader, writer := io.Pipe()
	start(t, writer, "standin", "site", "--scale-down", "10", "--list-lag", "0s", "--switches", "127.0.0.1:0")
	if err := json.NewDecoder(reader).Decode(site); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	t.Cleanup(func() { _ = reader.Close() })
	for number := range nodeCount {
		site.nodes = append(site.nodes, site.startNode(number+1))
	}
	return site
}

// startSiteWithRules starts a site, applies the example rules and waits until all
// nodes are ready.
func startSiteWithRules(t *testing.T, c *certificates) *testSite {
	t.Helper()
	site := startSite(t, c)
	site.applyRules(0, "first-start", derwentRules)
	site.awaitReady()
	return site
}

func (site *testSite) applyRules(base int, id, file string) {
	site.t.Helper()
	exit, out, errOut := runTanagerctl(site.t, site.applyArgs(base, "entries office", id, file)...)
	if exit != 0 {
		site.t.Fatalf("rules apply: exit code %d\n%s%s", exit, out, errOut)
	}
}

func (site *testSite) applyArgs(base int, author, id, file string) []string {
	return []string{
		"rules", "apply", "--key-value", site.KV, "--vm-list", site.VMList, "--wait", waitTimeout.String(),
		"--base", fmt.Sprint(base), "--author", author, "--apply-id", id, file,
	}
}

// startNode adds a node with free ports to the VM list, starts it and waits until
// its admin listener responds.
func (site *testSite) startNode(number int) *node {
	site.t.Helper()
	for range maxStartAttempts {
		n := &node{id: fmt.Sprintf("node-%d", number), callerAddress: freeAddress(site.t), adminAddress: freeAddress(site.t), peerAddress: freeAddress(site.t)}
		site.setVM(n)
		n.program = start(site.t, nil, "tanagerspread", "--settings", site.writeSettings(n))
		var running bool
		await(site.t, n.id+" answers", func() bool {
			_, err := site.status(n)
			running = err == nil
			return running || isClosed(n.exited)
		})
		if running {
			site.transcript.replace(n.callerAddress, n.id)
			site.transcript.replace(n.adminAddress, n.id+"-admin")
			return n
		}
	}
	site.t.Fatalf("node %d did not start", number)
	return nil
}

func isClosed(exited chan struct{}) bool {
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func (site *testSite) writeSettings(n *node) string {
	site.t.Helper()
	text := fmt.Sprintf("[node]\nid = %s\ndomain = hobart-a\nlisten = %s\nadmin-listen = %s\npeer-listen = %s\ndrain-delay = 100ms\n"+
		"[platform]\nkey-value = %s\nvm-list = %s\n", n.id, n.callerAddress, n.adminAddress, n.peerAddress, site.KV, site.VMList)
	if site.certificates != nil {
		text += site.certificates.tlsSettings()
	}
	path := filepath.Join(site.t.TempDir(), "node.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		site.t.Fatal(err)
	}
	return path
}

// httpClient returns an HTTP client without keep-alive connections, so that a
// request to a node that has exited fails.
func (site *testSite) httpClient() *http.Client {
	transport := &http.Transport{DisableKeepAlives: true}
	if site.certificates != nil {
		transport.TLSClientConfig = site.certificates.clientConfig("operator")
	}
	return &http.Client{Transport: transport, Timeout: waitTimeout}
}

func (site *testSite) url(address, path string) string {
	if site.certificates != nil {
		return "https://" + address + path
	}
	return "http://" + address + path
}

func (site *testSite) status(n *node) (control.Status, error) {
	var status control.Status
	response, err := site.httpClient().Get(site.url(n.adminAddress, "/status"))
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// awaitReady waits until all nodes that have not exited are ready and all backend
// servers are available to them.
func (site *testSite) awaitReady() {
	site.t.Helper()
	servers := 0
	for _, vm := range site.VMs {
		if vm.Role == "engine" || vm.Role == "service" {
			servers++
		}
	}
	for _, n := range site.nodes {
		if isClosed(n.exited) {
			continue
		}
		await(site.t, n.id+" is ready", func() bool {
			status, err := site.status(n)
			return err == nil && status.State == "ready" && status.Available == servers
		})
	}
}

// awaitState waits until the status of a node has the given state.
func (site *testSite) awaitState(n *node, state string) {
	site.t.Helper()
	await(site.t, n.id+" is "+state, func() bool {
		status, err := site.status(n)
		return err == nil && status.State == state
	})
}

func (site *testSite) setVM(n *node) {
	site.t.Helper()
	body, err := json.Marshal(vmlist.VM{
		ID: n.id, Address: n.callerAddress, PeerAddress: n.peerAddress, AdminAddress: n.adminAddress,
		Domain: "hobart-a", Role: "entry", State: vmlist.StateLive,
	})
	if err != nil {
		site.t.Fatal(err)
	}
	site.callSwitch(http.MethodPut, "/vms", body)
}

// callSwitch calls a switch, a route of the stand-ins that changes the running site
// or returns its counters. It returns the body of the response.
func (site *testSite) callSwitch(method, path string, body []byte) []byte {
	site.t.Helper()
	request, err := http.NewRequestWithContext(site.t.Context(), method, "http://"+site.Switches+path, bytes.NewReader(body))
	if err != nil {
		site.t.Fatal(err)
	}
	response, err := (&http.Client{Timeout: waitTimeout}).Do(request)
	if err != nil {
		site.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode >= http.StatusBadRequest {
		site.t.Fatalf("%s: status %d, error %v, %s", path, response.StatusCode, err, data)
	}
	return data
}

// counters holds the counters of the stand-ins that the tests use.
type counters struct {
	Manifests   int `json:"manifests"`
	ServiceRuns int `json:"service_runs"`
	Running     int `json:"running"`
}

func (site *testSite) counters() counters {
	site.t.Helper()
	var c counters
	if err := json.Unmarshal(site.callSwitch(http.MethodGet, "/counters", nil), &c); err != nil {
		site.t.Fatal(err)
	}
	return c
}

// clearEngineCaches clears the caches of the engines after a block store has
// received the prompt.
func (site *testSite) clearEngineCaches() {
	site.t.Helper()
	await(site.t, "a store has the prompt", func() bool {
		return site.counters().Manifests > 0
	})
	site.callSwitch(http.MethodPost, "/engines/clear-cache", nil)
}

// recordCommand runs tanagerctl against the site, records the command and its
// output in the transcript, and returns the standard output.
func (site *testSite) recordCommand(args ...string) string {
	site.t.Helper()
	all := append([]string{"--vm-list", site.VMList}, args...)
	if site.certificates != nil {
		all = append(all, site.certificates.operatorOptions()...)
	}
	exit, out, errOut := runTanagerctl(site.t, all...)
	site.transcript.addCommand(strings.Join(args, " "), exit, out, errOut)
	return out
}
