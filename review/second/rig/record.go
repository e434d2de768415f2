package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of one run: what was sent, answered and run, with the time since the
// start of the run in seconds.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Since returns the time since the start of the run.
func (r *Record) Since(at time.Time) time.Duration {
	return at.Sub(r.start)
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() {
	_ = r.file.Close()
}
