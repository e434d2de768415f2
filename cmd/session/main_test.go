// Package session_test runs whole sessions through the shipped binaries: the
// stand-ins of a small site and three nodes are processes of their own on
// loopback, operators use tanagerctl, and callers use net/http.
package session_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// The packages of the programs under test.
const (
	packageNode    = "tanagerspread/cmd/tanagerspread"
	packageCtl     = "tanagerspread/cmd/tanagerctl"
	packageStandin = "tanagerspread/standin/cmd/standin"
)

// binaryDirectory is the directory of the programs under test.
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
