package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const deployedSettings = `node: "front-a-1"
zone: "a"
ip: "127.0.0.1"
listen: {front: "127.0.0.1:1", ready: "127.0.0.1:2", control: "127.0.0.1:3"}
port_range: [7700, 7715]
limits: {memory_mb: 134}
platform: {address: "127.0.0.1:4"}
something_new: [1, 2]
`

// TestCheckDeployed guards against an invalid settings file that is accepted, a
// fault that is not printed, and a field of a newer platform that is rejected.
func TestCheckDeployed(t *testing.T) {
	good := writeSettings(t, deployedSettings)
	noAddress := writeSettings(t, strings.Replace(deployedSettings, `ready: "127.0.0.1:2", `, "", 1))
	hostName := writeSettings(t, strings.Replace(deployedSettings, `"127.0.0.1:4"`, `"store.example:4"`, 1))
	broken := writeSettings(t, "node: [")
	badTuning := writeSettings(t, "[prices]\nread-tokens = 1\n")
	for _, c := range []struct {
		args string
		exit int
		want string
	}{
		{"--deployed --check --deployed-settings " + good, exitStopped, ""},
		{"--deployed --check --tuning ../../deploy/node.ini --deployed-settings " + good, exitStopped, ""},
		{"--deployed --deployed-settings " + noAddress, exitFaults, "listen.ready: 1802"},
		{"--deployed --deployed-settings " + hostName, exitFaults, "platform.address: 1805"},
		{"--deployed --deployed-settings " + broken, exitFaults, "file: 1803"},
		{"--deployed --deployed-settings " + filepath.Join(t.TempDir(), "missing"), exitFaults, "file: 1806"},
		{"--deployed --check --tuning " + badTuning + " --deployed-settings " + good, exitFaults, "[prices] read-tokens: 1801"},
	} {
		var out strings.Builder
		if exit := run(strings.Fields(c.args), &out, &out); exit != c.exit || !strings.Contains(out.String(), c.want) {
			t.Errorf("%q: got exit code %d and %q, want %d and %q", c.args, exit, out.String(), c.exit, c.want)
		}
	}
}

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
