package eventlog_test

import (
	"strings"
	"testing"

	"tanagerspread/node/eventlog"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	text    strings.Builder
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.text.Write(p)
}

// TestQueueDropsLines guards against a Write that blocks on a slow output, and
// against dropped lines that are not counted.
func TestQueueDropsLines(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	q := eventlog.NewQueue(out, 2)
	line := []byte("line\n")
	for range 10 {
		if n, err := q.Write(line); n != len(line) || err != nil {
			t.Fatalf("write: %d, %v", n, err)
		}
	}
	line[0] = 'x'
	dropped := q.Dropped()
	close(out.release)
	q.Close()
	written := strings.Count(out.text.String(), "line\n")
	if written < 2 || int64(written)+dropped != 10 {
		t.Errorf("%d lines written and %d dropped of 10", written, dropped)
	}
}

// TestWriteAfterClose guards against a process that panics as it ends, because a call is
// still in progress that logs its failure.
func TestWriteAfterClose(t *testing.T) {
	out := &strings.Builder{}
	q := eventlog.NewQueue(out, 2)
	_, _ = q.Write([]byte("before\n"))
	q.Close()
	for range 5 {
		if _, err := q.Write([]byte("after\n")); err != nil {
			t.Fatal(err)
		}
	}
	if out.String() != "before\n" {
		t.Errorf("written %q, want the line before the close", out)
	}
}
