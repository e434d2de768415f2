package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
)

// Queue is a writer that never blocks: it hands lines to one goroutine and
// drops them when that one falls behind.
type Queue struct {
	lines     chan []byte
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
}

// NewQueue returns a queue of the given number of lines before out. Close must
// be called to write what is left.
func NewQueue(out io.Writer, lines int) *Queue {
	q := &Queue{lines: make(chan []byte, lines), done: make(chan struct{})}
	go q.run(out)
	return q
}

func (q *Queue) run(out io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if _, err := out.Write(line); err != nil {
			// There is nowhere to report that the log cannot be written.
			q.dropped.Add(1)
		}
	}
}

// Write queues one line. It reports the line as written also when it is
// dropped, so that logging never changes what the process does.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (q *Queue) Dropped() int64 {
	return q.dropped.Load()
}

// Close writes the queued lines. Write must not be called afterwards.
func (q *Queue) Close() {
	q.closeOnce.Do(func() { close(q.lines) })
	<-q.done
}
