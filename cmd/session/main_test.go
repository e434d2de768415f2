// Package session_test runs end-to-end sessions with the shipped binaries. The
// stand-ins of a small site and three nodes run as separate processes on
// loopback. The tests act as operators with tanagerctl and as callers with
// net/http.
package session_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// Import paths of the programs under test.
const (
	packageNode    = "tanagerspread/cmd/tanagerspread"
	packageCtl     = "tanagerspread/cmd/tanagerctl"
	packageStandin = "tanagerspread/standin/cmd/standin"
)

// binaryDirectory contains the programs under test, which TestMain builds.
var binaryDirectory string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "session")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	build := exec.Command("go", "build", "-o", directory+"/", packageNode, packageCtl, packageStandin)
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	binaryDirectory = directory
	return m.Run()
}

func binaryPath(name string) string {
	return filepath.Join(binaryDirectory, name)
}
