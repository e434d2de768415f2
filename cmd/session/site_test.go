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
	// startTries bounds the starts of one node. A free port may be taken by
	// another process before the node opens it.
	startTries = 5
	derwent    = "../../ctl/example/derwent.rules"
)

// world is a running site with its nodes.
type world struct {
	t *testing.T
	// KV, VMList and Switches are addresses that the stand-in printed.
	KV       string `json:"kv"`
	VMList   string `json:"vm_list"`
	Switches string `json:"switches"`
	VMs      []struct {
		Role string `json:"role"`
	} `json:"vms"`
	nodes []*node
	// certificates is nil in a site without TLS.
	certificates *certificates
	transcript   transcript
}

// node is one running node.
type node struct {
	*program
	id        string
	callers   string
	operators string
	peers     string
}

// open starts a site with three nodes that have no rules yet.
func open(t *testing.T, c *certificates) *world {
	t.Helper()
	w := &world{t: t, certificates: c}
	reader, writer := io.Pipe()
	start(t, writer, "standin", "site", "--scale-down", "10", "--list-lag", "0s", "--switches", "127.0.0.1:0")
	if err := json.NewDecoder(reader).Decode(w); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	t.Cleanup(func() { _ = reader.Close() })
	for number := range nodeCount {
		w.nodes = append(w.nodes, w.startNode(number+1))
	}
	return w
}

// openWithRules starts a site whose nodes serve with the example rules.
func openWithRules(t *testing.T, c *certificates) *world {
	t.Helper()
	w := open(t, c)
	w.mustApply(0, "first-start", derwent)
	w.awaitReady()
	return w
}

func (w *world) mustApply(base int, id, file string) {
	w.t.Helper()
	exit, out, errOut := ctl(w.t, w.applyArguments(base, "entries office", id, file)...)
	if exit != 0 {
		w.t.Fatalf("rules apply: exit code %d\n%s%s", exit, out, errOut)
	}
}

func (w *world) applyArguments(base int, author, id, file string) []string {
	return []string{
		"rules", "apply", "--key-value", w.KV, "--vm-list", w.VMList, "--wait", patience.String(),
		"--base", fmt.Sprint(base), "--author", author, "--apply-id", id, file,
	}
}

// startNode starts a node on free ports and adds it to the VM list.
func (w *world) startNode(number int) *node {
	w.t.Helper()
	for range startTries {
		n := &node{id: fmt.Sprintf("node-%d", number), callers: freeAddress(w.t), operators: freeAddress(w.t), peers: freeAddress(w.t)}
		w.setVM(n)
		n.program = start(w.t, nil, "tanagerspread", "--settings", w.settings(n))
		var running bool
		await(w.t, n.id+" answers", func() bool {
			_, err := w.status(n)
			running = err == nil
			return running || isClosed(n.ended)
		})
		if running {
			w.transcript.name(n.callers, n.id)
			w.transcript.name(n.operators, n.id+"-admin")
			return n
		}
	}
	w.t.Fatalf("node %d did not start", number)
	return nil
}

func isClosed(ended chan struct{}) bool {
	select {
	case <-ended:
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

func (w *world) settings(n *node) string {
	w.t.Helper()
	text := fmt.Sprintf("[node]\nid = %s\ndomain = hobart-a\nlisten = %s\nadmin-listen = %s\npeer-listen = %s\ndrain-delay = 100ms\n"+
		"[platform]\nkey-value = %s\nvm-list = %s\n", n.id, n.callers, n.operators, n.peers, w.KV, w.VMList)
	if w.certificates != nil {
		text += w.certificates.settings()
	}
	path := filepath.Join(w.t.TempDir(), "node.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return path
}

// client returns an HTTP client without kept connections, so that a node
// that ended is noticed.
func (w *world) client() *http.Client {
	transport := &http.Transport{DisableKeepAlives: true}
	if w.certificates != nil {
		transport.TLSClientConfig = w.certificates.client("operator")
	}
	return &http.Client{Transport: transport, Timeout: patience}
}

func (w *world) url(address, path string) string {
	if w.certificates != nil {
		return "https://" + address + path
	}
	return "http://" + address + path
}

func (w *world) status(n *node) (control.Status, error) {
	var status control.Status
	response, err := w.client().Get(w.url(n.operators, "/status"))
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// awaitReady waits until all nodes that have not ended serve and know all backend servers.
func (w *world) awaitReady() {
	w.t.Helper()
	servers := 0
	for _, vm := range w.VMs {
		if vm.Role == "engine" || vm.Role == "service" {
			servers++
		}
	}
	for _, n := range w.nodes {
		if isClosed(n.ended) {
			continue
		}
		await(w.t, n.id+" is ready", func() bool {
			status, err := w.status(n)
			return err == nil && status.State == "ready" && status.Available == servers
		})
	}
}

// awaitState waits until a node is in a state.
func (w *world) awaitState(n *node, state string) {
	w.t.Helper()
	await(w.t, n.id+" is "+state, func() bool {
		status, err := w.status(n)
		return err == nil && status.State == state
	})
}

func (w *world) setVM(n *node) {
	w.t.Helper()
	body, err := json.Marshal(vmlist.VM{
		ID: n.id, Address: n.callers, PeerAddress: n.peers, AdminAddress: n.operators,
		Domain: "hobart-a", Role: "entry", State: vmlist.StateLive,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.turn(http.MethodPut, "/vms", body)
}

// turn uses a switch of the stand-ins and returns the body of the response.
func (w *world) turn(method, path string, body []byte) []byte {
	w.t.Helper()
	request, err := http.NewRequestWithContext(w.t.Context(), method, "http://"+w.Switches+path, bytes.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	response, err := (&http.Client{Timeout: patience}).Do(request)
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode >= http.StatusBadRequest {
		w.t.Fatalf("%s: status %d, error %v, %s", path, response.StatusCode, err, answer)
	}
	return answer
}

// counters tells what happens in the stand-ins.
type counters struct {
	Manifests   int `json:"manifests"`
	ServiceRuns int `json:"service_runs"`
	Running     int `json:"running"`
}

func (w *world) counters() counters {
	w.t.Helper()
	var c counters
	if err := json.Unmarshal(w.turn(http.MethodGet, "/counters", nil), &c); err != nil {
		w.t.Fatal(err)
	}
	return c
}

// loseCache lets the engines lose their memory once a store holds the prompt.
func (w *world) loseCache() {
	w.t.Helper()
	await(w.t, "a store holds the prompt", func() bool {
		return w.counters().Manifests > 0
	})
	w.turn(http.MethodPost, "/engines/clear-cache", nil)
}

// operate runs tanagerctl against the site and records it.
func (w *world) operate(args ...string) string {
	w.t.Helper()
	all := append([]string{"--vm-list", w.VMList}, args...)
	if w.certificates != nil {
		all = append(all, w.certificates.operator()...)
	}
	exit, out, errOut := ctl(w.t, all...)
	w.transcript.command(strings.Join(args, " "), exit, out, errOut)
	return out
}
