package ctl_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"tanagerspread/client/kv"
	"tanagerspread/client/vmlist"
	"tanagerspread/ctl"
	"tanagerspread/node/confkv"
	standinkv "tanagerspread/standin/kv"
)

// newRulesClients returns the clients of two sites with one node each: the
// accepting node acknowledges every version, the unreachable one none.
func newRulesClients(t *testing.T) (accepting, unreachable ctl.Clients) {
	t.Helper()
	store := standinkv.NewStore(standinkv.Options{})
	data, err := json.Marshal(confkv.Session{Node: "n1", Version: 99})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(context.Background(), kv.Write{Key: confkv.PrefixNodes + "n1", Value: data}); err != nil {
		t.Fatal(err)
	}
	clientsOf := func(node string) ctl.Clients {
		return ctl.Clients{
			KeyValue: func(string) kv.Service { return store },
			VMList:   func(string) vmlist.Lister { return vmListStub{{ID: node, Role: "entry"}} },
		}
	}
	return clientsOf("n1"), clientsOf("n2")
}

// TestOperatorsPage guards against a command or an exit code that is missing on
// the operators' page.
func TestOperatorsPage(t *testing.T) {
	data, err := os.ReadFile("../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	_, page, _ := strings.Cut(string(data), "## tanagerctl")
	commands := 0
	for _, group := range []string{"", "rules ", "config "} {
		_, help := run(ctl.Clients{}, strings.Fields(group+"--help")...)
		_, help, _ = strings.Cut(help, "Available commands:")
		for _, line := range strings.Split(strings.TrimSpace(help), "\n") {
			name := group + strings.Fields(line)[0]
			commands++
			if !strings.Contains(page, "\n| `"+name) && name != "rules" && name != "events" {
				t.Errorf("the page does not describe %s", name)
			}
		}
	}
	if commands < 10 {
		t.Errorf("the help lists %d commands, want at least 10", commands)
	}
	for exit := ctl.ExitOK; exit <= ctl.ExitConflict; exit++ {
		if !strings.Contains(page, fmt.Sprintf("\n| %d | ", exit)) {
			t.Errorf("the page does not describe exit code %d", exit)
		}
	}
}

// TestRulesInForce guards against an exit code or output that reports an apply as
// accepted when it is only committed or in conflict, and against JSON output that
// is not valid.
func TestRulesInForce(t *testing.T) {
	accepting, unreachable := newRulesClients(t)
	bad := filepath.Join(t.TempDir(), "bad.rules")
	if err := os.WriteFile(bad, []byte("[classes]\na = priority=0 queue=1\nb = priority=0 queue=1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	const service = " --key-value 127.0.0.1:1"
	apply := "rules apply --vm-list 127.0.0.1:2" + service
	for _, c := range []struct {
		clients ctl.Clients
		args    string
		exit    int
		want    string
	}{
		{accepting, "rules show" + service, ctl.ExitFailed, ""},
		{accepting, apply + " --base 0 --author ann " + bad, ctl.ExitFaults, "line 3: [classes] b"},
		{accepting, apply + " --base 0 example/derwent.rules", ctl.ExitUsage, ""},
		{accepting, apply + " --base 0 --author ann --apply-id a1 example/derwent.rules", ctl.ExitOK, "version 1 is accepted (apply id a1)"},
		{accepting, apply + " --base 0 --author ann --apply-id a1 example/derwent.rules", ctl.ExitOK, "version 1 is accepted (apply id a1)"},
		{accepting, apply + " --base 0 --author bob --apply-id b1 example/ulan.rules --output json", ctl.ExitConflict, "version 1 by ann with apply id a1 is in place"},
		{unreachable, apply + " --base 1 --author bob --apply-id b2 --wait 1ms example/ulan.rules", ctl.ExitNotAccepted, "version 2 is committed (apply id b2)"},
		{accepting, "rules show" + service, ctl.ExitOK, "; version 2, applied by bob"},
		{accepting, "rules show --version 1" + service, ctl.ExitOK, "hobart-council"},
		{accepting, "rules show --version 7" + service, ctl.ExitFailed, ""},
		{accepting, "rules history" + service, ctl.ExitOK, "ann"},
		{accepting, "rules history --last 1 --output json" + service, ctl.ExitOK, `"author": "bob"`},
		{accepting, "rules history", ctl.ExitUsage, ""},
	} {
		exit, out := run(c.clients, strings.Fields(c.args)...)
		if exit != c.exit || !strings.Contains(out, c.want) {
			t.Errorf("%s: got exit code %d and %q", c.args, exit, out)
		}
		if strings.Contains(c.args, "json") && !json.Valid([]byte(out)) {
			t.Errorf("%s: the output is not JSON: %q", c.args, out)
		}
	}
}
