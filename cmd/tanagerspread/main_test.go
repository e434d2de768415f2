package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestArguments guards against a fault in the settings that is not printed by the
// start of a node or by --check-settings, and against a wrong exit code.
func TestArguments(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.ini")
	if err := os.WriteFile(bad, []byte("[node]\nid = n1\nlisten = host:1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string]int{
		"--check-settings ../../ctl/example/node.ini": exitStopped,
		"--check-settings " + bad:                     exitFaults,
		"--settings " + bad:                           exitFaults,
		"--version":                                   exitStopped,
		"--help":                                      exitStopped,
		"":                                            exitUsage,
		"--colour":                                    exitUsage,
	} {
		var out strings.Builder
		if exit := run(strings.Fields(args), &out, &out); exit != want {
			t.Errorf("%q: got exit code %d, want %d", args, exit, want)
		}
		if want != exitFaults {
			continue
		}
		for _, fault := range []string{"[node] domain: 1802", "[node] admin-listen: 1802", "line 3: [node] listen: 1805"} {
			if !strings.Contains(out.String(), fault) {
				t.Errorf("%q does not print %s:\n%s", args, fault, out.String())
			}
		}
	}
}
