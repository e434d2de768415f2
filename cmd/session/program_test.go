package session_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// waitTimeout limits each wait. It is far longer than any wait takes on a
	// busy machine; a test that reaches it fails.
	waitTimeout = 60 * time.Second
	// pollInterval is the time between two checks of an awaited condition.
	pollInterval = 20 * time.Millisecond
)

// program is a process that was started by a test.
type program struct {
	command *exec.Cmd
	output  bytes.Buffer
	// exited is closed after the process has exited and its output is complete.
	exited chan struct{}
}

// start starts a program. Standard output is written to out, or to the field
// output when out is nil. The process is killed at the end of the test.
func start(t *testing.T, out io.Writer, name string, args ...string) *program {
	t.Helper()
	p := &program{command: exec.Command(binaryPath(name), args...), exited: make(chan struct{})}
	p.command.Stderr = &p.output
	p.command.Stdout = out
	if out == nil {
		p.command.Stdout = &p.output
	}
	p.command.WaitDelay = waitTimeout
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("output of %s %v:\n%s", name, args, p.output.String())
		}
	})
	return p
}

// signal sends a signal to the process. It has no effect on a process that has
// exited.
func (p *program) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatal(err)
	}
}

// exitCode waits until the process exits and returns its exit code.
func (p *program) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		t.Fatalf("process %d has not exited", p.command.Process.Pid)
	}
	return p.command.ProcessState.ExitCode()
}

// runTanagerctl runs tanagerctl and returns its exit code, standard output and
// standard error.
func runTanagerctl(t *testing.T, args ...string) (int, string, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	var out, errOut strings.Builder
	command := exec.CommandContext(ctx, binaryPath("tanagerctl"), args...)
	command.Stdout, command.Stderr = &out, &errOut
	if err := command.Run(); command.ProcessState == nil {
		t.Fatal(err)
	}
	return command.ProcessState.ExitCode(), out.String(), errOut.String()
}

// await polls until the condition holds, and fails the test after waitTimeout.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if condition() {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("timed out waiting until %s", what)
}
