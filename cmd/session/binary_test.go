package session_test

import (
	"debug/buildinfo"
	"debug/elf"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// cLibraryPrefix is the prefix of the C library's name in a dynamically linked
// binary.
const cLibraryPrefix = "libc."

// shippedBinaries are the names of the shipped binaries.
var shippedBinaries = []string{"tanagerspread", "tanagerctl"}

// TestBinaries guards against a shipped binary that is built without cgo or
// linked statically, and against one that imports os/exec and could start
// processes.
func TestBinaries(t *testing.T) {
	for _, name := range shippedBinaries {
		if err := checkDynamicallyLinked(binaryPath(name)); err != nil {
			t.Error(err)
		}
	}
	for _, imported := range goList(t, "-deps", packageNode, packageCtl) {
		if imported == "os/exec" {
			t.Error("a shipped binary imports os/exec")
		}
	}
}

// checkDynamicallyLinked returns an error unless the binary was built with cgo
// and links the C library dynamically.
func checkDynamicallyLinked(path string) error {
	info, err := buildinfo.ReadFile(path)
	if err != nil {
		return err
	}
	for _, setting := range info.Settings {
		if setting.Key == "CGO_ENABLED" && setting.Value != "1" {
			return fmt.Errorf("%s is built with CGO_ENABLED=%s", path, setting.Value)
		}
	}
	file, err := elf.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	libraries, err := file.ImportedLibraries()
	if err != nil {
		return err
	}
	isCLibrary := func(library string) bool { return strings.HasPrefix(library, cLibraryPrefix) }
	if !slices.ContainsFunc(libraries, isCLibrary) {
		return fmt.Errorf("%s links %v, not the C library", path, libraries)
	}
	return nil
}

// TestNoReverseProxy guards against the use of the standard library's reverse
// proxy in any package of the listed modules, including tests.
func TestNoReverseProxy(t *testing.T) {
	const imports = `{{join .Imports " "}} {{join .TestImports " "}} {{join .XTestImports " "}}`
	patterns := []string{"-f", "{{.ImportPath}} " + imports}
	for _, module := range []string{"chart", "cmd", "core", "ctl", "node", "platform", "standin"} {
		patterns = append(patterns, "tanagerspread/"+module+"/...")
	}
	packages := goList(t, patterns...)
	if len(packages) < len(patterns) {
		t.Fatalf("go list returned only %d packages", len(packages))
	}
	for _, line := range packages {
		if fields := strings.Fields(line); slices.Contains(fields[1:], "net/http/httputil") {
			t.Errorf("%s imports net/http/httputil", fields[0])
		}
	}
}

// goList runs go list and returns its output lines.
func goList(t *testing.T, args ...string) []string {
	t.Helper()
	command := exec.CommandContext(t.Context(), "go", append([]string{"list"}, args...)...)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSpace(string(output)), "\n")
}

// checkNoChildren fails the test when the process has a child process.
func checkNoChildren(t *testing.T, p *program) {
	t.Helper()
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", p.command.Process.Pid))
	if err != nil || len(tasks) == 0 {
		t.Fatalf("cannot list the threads of process %d: %v", p.command.Process.Pid, err)
	}
	for _, path := range tasks {
		// A read error means that the thread has exited and has no children.
		if children, err := os.ReadFile(path); err == nil && len(children) > 0 {
			t.Errorf("%s lists child processes %s", path, children)
		}
	}
}
