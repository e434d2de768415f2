package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/request"
	"tanagerspread/node/egress"
	"tanagerspread/platform"
	"tanagerspread/standin/pipe"
)

// noObserver counts nothing.
type noObserver struct{}

func (noObserver) ObserveOutcome(*code.Error)                                         {}
func (noObserver) ObserveCallDuration(config.RouteKind, time.Duration, time.Duration) {}

// stopControl is a control thread that records the outcome of the last of its attempts.
type stopControl struct {
	ControlThread
	done control.AttemptDone
	// repeats is the number of attempts that it allows after a failed one.
	repeats int
}

func (c *stopControl) Tell(control.Message) bool { return true }

func (c *stopControl) Ask(_ context.Context, question control.Question) (control.Decision, *code.Error) {
	switch q := question.(type) {
	case control.Admit:
		return control.Admitted{Deadline: q.Request.Deadline, Route: &config.Route{}}, nil
	case control.Place:
		return dispatchOf(1), nil
	case control.AttemptDone:
		c.done = q
		if q.Outcome == control.Succeeded {
			return control.Deliver{}, nil
		}
		if c.repeats--; c.repeats >= 0 {
			return dispatchOf(q.Attempt + 1), nil
		}
		return control.Refusal{Err: asOutcomeUnknown(q.Cause)}, nil // The first attempt was sent.
	}
	return control.Proceed{}, nil
}

func dispatchOf(attempt request.AttemptID) control.Dispatch {
	return control.Dispatch{
		Attempt: attempt, Server: "i-1", Address: "server:1", Forward: &control.Forwarding{ModelEngine: true},
		DialTimeout: time.Minute, HeaderTimeout: time.Minute, GapTimeout: 2 * time.Minute,
	}
}

// TestStopAgainstFirstEvent guards against a stop that cuts a response which has begun,
// against a first event that reaches the caller although the attempt was stopped and is
// repeated, and against a stop that ends an attempt as if the caller had gone.
func TestStopAgainstFirstEvent(t *testing.T) {
	const first, second = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	for _, stopStep := range []int{1, 2} {
		stopFirst := stopStep == 1
		synctest.Test(t, func(t *testing.T) {
			done, w, aborted := playStopped([]string{streamHeaders, first, second}, stopStep)
			if !stopFirst && (done.Outcome != control.Succeeded || w.Body.String() != first+second || aborted) {
				t.Errorf("stopped after the first event: %+v, body %q", done, w.Body)
			}
			if stopFirst && (done.Outcome != control.Lost || done.Cause.Code != code.OutdatedWeights || w.Code != http.StatusGatewayTimeout || aborted) {
				t.Errorf("stopped before the first event: %+v, status %d, body %q, aborted %t", done, w.Code, w.Body, aborted)
			}
		})
	}
}

// TestCommentIsNoFirstPart guards against an attempt that can no longer be stopped
// because its server, which has not begun the call, sent a comment or an empty line.
func TestCommentIsNoFirstPart(t *testing.T) {
	for _, noise := range []string{"\n", ": wait\n\n"} {
		synctest.Test(t, func(t *testing.T) {
			if done, _, _ := playStopped([]string{streamHeaders, noise, "id: 1\ndata: x\n\n"}, 2); done.Outcome != control.Lost {
				t.Errorf("%q: outcome %v, the call began after the stop", noise, done.Outcome)
			}
		})
	}
}

// streamHeaders is the head of a stream that belongs to the attempt.
const streamHeaders = "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: a\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"

// playStopped plays an attempt whose server sends the parts, and stops it before it
// begins, before the part with the index stopStep, and after it has ended. It returns what
// the control thread and the caller received.
func playStopped(parts []string, stopStep int) (done control.AttemptDone, w *httptest.ResponseRecorder, aborted bool) {
	decisions := &stopControl{}
	w, aborted = playAttempts(decisions, [][]string{parts}, func(step int, stop func()) {
		if step == stopStep {
			stop()
		}
	})
	return decisions.done, w, aborted
}

// playAttempts plays a call. The server sends the parts of one response to each attempt
// and calls before ahead of each part, with a function that stops the first attempt.
func playAttempts(decisions *stopControl, responses [][]string, before func(step int, stop func())) (w *httptest.ResponseRecorder, aborted bool) {
	network := pipe.NewNetwork()
	listener := network.Listen("server:1")
	front := NewFrontend(Options{
		Control: decisions, Egress: egress.NewClient(network.Dial), Logger: logr.Discard(), Observer: noObserver{},
		Protocol: platform.Protocol{}, MaxBodyBytes: 1 << 10,
	})
	stop := func() {
		front.StopAttempt(control.StopAttempt{Request: "a", Attempt: 1, Cause: code.New(code.OutdatedWeights, "stopped")})
	}
	stop()
	go func() {
		for _, parts := range responses {
			serveInSteps(listener, parts, func(step int) {
				synctest.Wait()
				before(step, stop)
				synctest.Wait()
			})
		}
	}()
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.Header.Set("Request-Attempt-Id", "a")
	w = httptest.NewRecorder()
	func() {
		defer func() { aborted = recover() != nil }()
		front.Handler().ServeHTTP(w, r)
	}()
	stop()
	return w, aborted
}

// serveInSteps answers one request with the parts of a response and calls before ahead of
// each part.
func serveInSteps(listener net.Listener, parts []string, before func(step int)) {
	conn, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	for step, part := range parts {
		before(step)
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
	}
}

// TestFirstEventAfterStop guards against an event that was read when the attempt was
// stopped and is delivered although the attempt is repeated.
func TestFirstEventAfterStop(t *testing.T) {
	cause := code.New(code.OutdatedWeights, "stopped")
	f := NewFrontend(Options{})
	for _, stopFirst := range []bool{false, true} {
		running, end := f.startAttempt(t.Context(), attemptKey{"a", 1})
		stop := func() { f.StopAttempt(control.StopAttempt{Request: "a", Attempt: 1, Cause: cause}) }
		if stopFirst {
			stop()
		}
		err := running.firstPart()
		stop()
		if stopped := errors.Is(err, cause); stopped != stopFirst || (running.ctx.Err() != nil) != stopFirst {
			t.Errorf("stopped first %v: first part %v, context %v", stopFirst, err, running.ctx.Err())
		}
		end()
		if _, found := f.attempts.Load(attemptKey{"a", 1}); found {
			t.Error("an ended attempt can be stopped")
		}
	}
}
