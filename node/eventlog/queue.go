package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
)

// Queue is a writer that never blocks. One goroutine writes the queued lines to
// the output; lines that arrive while the queue is full are dropped.
type Queue struct {
	lines     chan []byte
	dropped   atomic.Int64
	closing   chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// NewQueue returns a queue that holds the given number of lines for out. Close
// must be called to write the lines that are still queued.
func NewQueue(out io.Writer, lines int) *Queue {
	q := &Queue{lines: make(chan []byte, lines), closing: make(chan struct{}), done: make(chan struct{})}
	go q.run(out)
	return q
}

func (q *Queue) run(out io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(out, line)
		case <-q.closing:
			q.flush(out)
			return
		}
	}
}

// flush writes the lines that are queued.
func (q *Queue) flush(out io.Writer) {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(out, line)
		default:
			return
		}
	}
}

func (q *Queue) writeLine(out io.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		// The failure cannot be logged, so it is only counted.
		q.dropped.Add(1)
	}
}

// Write queues a copy of the line. It returns len(line) and no error even when
// the line is dropped, so that logging never affects the process.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or failed to be written.
func (q *Queue) Dropped() int64 {
	return q.dropped.Load()
}

// Close waits until the queued lines are written. Lines that are written afterwards, by
// goroutines that outlive the queue, are lost.
func (q *Queue) Close() {
	q.closeOnce.Do(func() { close(q.closing) })
	<-q.done
}
