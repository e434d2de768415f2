package ctl_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tanagerspread/client/vmlist"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/request"
	"tanagerspread/ctl"
	"tanagerspread/node/admin"
)

// fakeControl stands in for the control thread of one node. Tell closes drained.
type fakeControl struct {
	name    string
	drained chan struct{}
}

func (f fakeControl) Ask(_ context.Context, question control.Question) (control.Decision, *code.Error) {
	switch q := question.(type) {
	case control.AskStatus:
		return control.Status{Node: f.name, State: "ready", Version: 4}, nil
	case control.Explain:
		e := control.Explanation{Node: f.name, Request: q.Request}
		if q.Request == request.ID("known-"+f.name) {
			e.Decisions = []control.JournalEntry{{Action: "refuse", Code: code.QueueFull, Rule: "classes/check", AskedBy: "R. Okafor"}}
		}
		return e, nil
	case control.DumpState:
		return control.Dump{Node: f.name, Version: 4}, nil
	}
	return nil, code.New(code.Internal, "")
}

func (f fakeControl) Tell(control.Message) bool {
	close(f.drained)
	return true
}

func serveAdmin(t *testing.T, name string) (string, fakeControl) {
	f := fakeControl{name: name, drained: make(chan struct{})}
	server := httptest.NewServer(admin.Handler(admin.Options{Control: f}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), f
}

func run(clients ctl.Clients, args ...string) (int, string) {
	var out, errOut strings.Builder
	exit := ctl.Run(args, &out, &errOut, clients)
	return exit, out.String()
}

type vmListStub []vmlist.VM

func (l vmListStub) List(context.Context) ([]vmlist.VM, *code.Error) { return l, nil }

// TestNodes guards against a command that calls another node than the specified
// one, and against an exit code that hides an unreachable node.
func TestNodes(t *testing.T) {
	address1, _ := serveAdmin(t, "n1")
	address2, control2 := serveAdmin(t, "n2")
	clients := ctl.Clients{VMList: func(string) vmlist.Lister {
		return vmListStub{{Role: "entry", AdminAddress: address1}, {Role: "engine", AdminAddress: "127.0.0.1:1"}, {Role: "entry", AdminAddress: address2}}
	}}
	for _, c := range []struct {
		args string
		exit int
		want string
	}{
		{"status --vm-list 127.0.0.1:9", ctl.ExitOK, "n2  ready version 4"},
		{"status --nodes " + address1 + " --nodes 127.0.0.1:1", ctl.ExitFailed, "127.0.0.1:1 unreachable"},
		{"status --nodes host:1", ctl.ExitUsage, ""},
		{"status", ctl.ExitUsage, ""},
		{"status --nodes " + address1 + " --cert c.pem --key k.pem", ctl.ExitUsage, ""},
		{"status --nodes " + address1 + " --ca c.pem --cert c.pem", ctl.ExitUsage, ""},
		{"dump n2 --vm-list 127.0.0.1:9", ctl.ExitOK, `"Node": "n2"`},
		{"dump n3 --vm-list 127.0.0.1:9", ctl.ExitFailed, ""},
		{"dump", ctl.ExitUsage, ""},
		{"explain known-n2 --vm-list 127.0.0.1:9", ctl.ExitOK, "rule classes/check, asked for by: R. Okafor"},
		{"explain absent --vm-list 127.0.0.1:9", ctl.ExitFailed, ""},
		{"drain n2 --vm-list 127.0.0.1:9", ctl.ExitOK, address2},
	} {
		exit, out := run(clients, strings.Fields(c.args)...)
		if exit != c.exit || !strings.Contains(out, c.want) {
			t.Errorf("%s: got exit code %d and %q", c.args, exit, out)
		}
	}
	<-control2.drained
}

// TestOutputJSON guards against a command that prints invalid JSON with
// --output json.
func TestOutputJSON(t *testing.T) {
	address, _ := serveAdmin(t, "n1")
	bad, odd, inForce := filepath.Join(t.TempDir(), "bad.rules"), filepath.Join(t.TempDir(), "odd.json"), filepath.Join(t.TempDir(), "in-force.json")
	for path, text := range map[string]string{odd: `{"version":2,"services":[{"name":"idle"}]}`, inForce: `{"version":2}`} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(bad, []byte("[classes]\na = priority=0 queue=1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string]int{
		"rules check " + bad:                                  ctl.ExitFaults,
		"rules check example/derwent.rules":                   ctl.ExitOK,
		"rules diff example/derwent.rules example/ulan.rules": ctl.ExitOK,
		"rules diff example/derwent.rules absent.rules":       ctl.ExitFailed,
		"config check " + inForce:                             ctl.ExitOK,
		"config check " + odd:                                 ctl.ExitOK,
		"config check " + odd + " --against " + inForce:       ctl.ExitFaults,
		"config check " + odd + " --against " + bad:           ctl.ExitFailed,
		"config check":                                        ctl.ExitUsage,
		"charts node":                                         ctl.ExitOK, "charts absent": ctl.ExitUsage, "codes": ctl.ExitOK, "events": ctl.ExitOK,
		"status --nodes " + address: ctl.ExitOK, "dump " + address: ctl.ExitOK, "drain " + address: ctl.ExitOK,
		"explain known-n1 --nodes " + address: ctl.ExitOK,
	} {
		exit, out := run(ctl.Clients{}, strings.Fields(args+" --output json")...)
		if exit != want {
			t.Errorf("%s: unexpected exit code %d", args, exit)
		}
		if (want == ctl.ExitOK || want == ctl.ExitFaults) && !json.Valid([]byte(out)) {
			t.Errorf("%s: the output is not valid JSON: %q", args, out)
		}
	}
}
