package egress

import (
	"context"
	"io"
	"time"

	"tanagerspread/core/code"
)

// gapReader bounds the wait for each read of a response body by cancelling
// the request's context.
type gapReader struct {
	body  io.Reader
	timer *time.Timer
	gap   time.Duration
}

// newGapReader returns a reader over body and a function that stops its
// timer.
func newGapReader(body io.Reader, gap time.Duration, cancel context.CancelCauseFunc) (*gapReader, func()) {
	cause := code.New(code.BackendSilent, "the backend server stopped sending")
	timer := time.AfterFunc(gap, func() { cancel(cause) })
	return &gapReader{body: body, timer: timer, gap: gap}, func() { timer.Stop() }
}

// Read reads from the body and restarts the timer.
func (r *gapReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.timer.Reset(r.gap)
	return n, err
}
