package control

import (
	"slices"
	"testing"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/event"
)

// sendCall places a call to an engine and sends it.
func sendCall(t *testing.T, s *State, now time.Time) Dispatch {
	t.Helper()
	d, ok := placeCall(s, now, "a", "review").(Dispatch)
	if !ok || handleFirst(s, now, Connected{Request: "a", Attempt: d.Attempt}) != (Proceed{}) {
		t.Fatalf("the call is not sent: %+v", d)
	}
	return d
}

// stopsOf returns the attempts that a message stops.
func stopsOf(s *State, now time.Time, m Message) []StopAttempt {
	var stops []StopAttempt
	for _, command := range s.Handle(now, m).Commands {
		if stop, ok := command.(StopAttempt); ok {
			stops = append(stops, stop)
		}
	}
	return stops
}

// TestNoSendOnOldWeightsAfterDial guards against a call that is placed before the limit
// and sent after it, because the connection took long to open.
func TestNoSendOnOldWeightsAfterDial(t *testing.T) {
	s := forwardState(t, 1)
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	limit := testStart.Add(testWeightsLimit - maxStartWait)
	d, ok := placeCall(s, limit.Add(-time.Millisecond), "a", "review").(Dispatch)
	if !ok {
		t.Fatal("a call before the limit is not dispatched")
	}
	refusal, ok := handleFirst(s, limit, Connected{Request: "a", Attempt: d.Attempt}).(Refusal)
	if !ok || refusal.Err.Code != code.DialRefused {
		t.Fatalf("at the limit: got %+v, want a denied send", refusal)
	}
	if got := handleFirst(s, limit, AttemptDone{Request: "a", Attempt: d.Attempt, Outcome: DialFailed}); got != nil || s.servers["m0"].Failures != 0 {
		t.Errorf("got %+v and %d failures, want the call queued and none", got, s.servers["m0"].Failures)
	}
}

// TestEngineToldStartLimit guards against an engine with old weights that may begin a
// call as late as its caller waits, and against limits for other servers.
func TestEngineToldStartLimit(t *testing.T) {
	s := forwardState(t, 1)
	workUntil := func(route string) time.Time {
		d, ok := placeCall(s, testStart, "a", route).(Dispatch)
		if !ok {
			t.Fatalf("the call on route %s is not dispatched", route)
		}
		s.Handle(testStart, Abandon{Request: "a"})
		return d.Forward.WorkUntil
	}
	if got := workUntil("review"); !got.IsZero() {
		t.Errorf("an engine with the newest weights works until %v", got)
	}
	s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
	if got := workUntil("review"); !got.Equal(testStart.Add(testWeightsLimit - refusalTime)) {
		t.Errorf("an engine with old weights works until %v", got)
	}
	if got := workUntil("lookup"); !got.IsZero() {
		t.Errorf("a plain service works until %v", got)
	}
}

// TestLateStartStopped guards against an engine with old weights that holds a call for
// longer than the limit, also a call that was sent before the newer weights were named,
// and against an opened circuit of an engine whose attempt the node ended itself.
func TestLateStartStopped(t *testing.T) {
	for _, c := range []struct {
		sent    time.Duration
		trigger Message
	}{
		{-time.Second, Tick{}},
		{8 * time.Second, Tick{}},
		{8 * time.Second, WeightsNamed{Model: "m", Weights: 3}},
	} {
		s := forwardState(t, 1)
		named := testStart.Add(2 * time.Second)
		limit := named.Add(testWeightsLimit)
		if c.sent > 0 {
			s.Handle(named, WeightsNamed{Model: "m", Weights: 2})
		}
		d := sendCall(t, s, named.Add(c.sent))
		s.requests["a"].chart.TimeoutAt = limit.Add(time.Minute)
		s.requests["a"].Deadline = limit.Add(time.Minute)
		if c.sent < 0 {
			s.Handle(named, WeightsNamed{Model: "m", Weights: 2})
		}
		s.Handle(named.Add(9*time.Second), VMList{VMs: append(forwardServers(1, 1), VM{
			ID: "m9", Address: "m9", Role: "engine", Serves: "models", Model: "m", Weights: 3, MaxConcurrency: 64,
		})})
		if got := stopsOf(s, limit.Add(-time.Millisecond), Tick{}); got != nil {
			t.Errorf("%+v: stopped before the limit: %+v", c, got)
		}
		got := stopsOf(s, limit, c.trigger)
		if len(got) != 1 || got[0].Request != "a" || got[0].Attempt != d.Attempt {
			t.Fatalf("%+v: stopped %+v at the limit, want the attempt", c, got)
		}
		if again := stopsOf(s, limit.Add(time.Second), Tick{}); again != nil {
			t.Errorf("%+v: stopped again: %+v", c, again)
		}
		out := s.Handle(limit, AttemptDone{Request: "a", Attempt: d.Attempt, Outcome: Lost, Cause: got[0].Cause})
		logged := slices.ContainsFunc(out.Commands, func(c Command) bool {
			log, ok := c.(LogEvent)
			return ok && log.Event.Number == event.AttemptStopped.Number
		})
		next, ok := replyTo(t, out, "a").(Dispatch)
		if !ok || next.Server != "m9" || !logged {
			t.Errorf("%+v: got %+v, logged %v; want the call repeated at the other engine", c, next, logged)
		}
		if server := s.servers["m0"]; server.Failures != 0 || s.requests["a"].dispatches != 1 {
			t.Errorf("%+v: %d failures, %d dispatches", c, server.Failures, s.requests["a"].dispatches)
		}
	}
}

// TestFirstPartBeatsStop guards against an attempt that is stopped although its response
// has begun, and against a call that is repeated although its response arrived together
// with the stop.
func TestFirstPartBeatsStop(t *testing.T) {
	limit := testStart.Add(testWeightsLimit)
	begun := func(stopFirst bool) *State {
		s := forwardState(t, 2)
		s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
		d := sendCall(t, s, testStart.Add(8*time.Second))
		s.requests["a"].Deadline = limit.Add(time.Minute)
		if stopFirst && len(stopsOf(s, limit, Tick{})) != 1 {
			t.Fatal("the attempt is not stopped")
		}
		s.Handle(limit, FirstToken{Request: "a", Attempt: d.Attempt})
		return s
	}
	if got := stopsOf(begun(false), limit, Tick{}); got != nil {
		t.Errorf("an attempt with a first part is stopped: %+v", got)
	}
	s := begun(true)
	if got, ok := handleFirst(s, limit, AttemptDone{Request: "a", Attempt: 1, Outcome: Succeeded}).(Deliver); !ok {
		t.Errorf("a complete response after a stop: got %+v, want it delivered", got)
	}
	if got := stopsOf(s, limit.Add(time.Second), Tick{}); got != nil {
		t.Errorf("a finished attempt is stopped: %+v", got)
	}
}

// TestStreamCutAtLimitNoCrash guards against an engine that counts as crashed because it
// stopped a call when it was told to.
func TestStreamCutAtLimitNoCrash(t *testing.T) {
	for after, faulty := range map[time.Duration]bool{-time.Millisecond: true, 0: false, stopReportTime: true} {
		s := forwardState(t, 2)
		s.Handle(testStart, WeightsNamed{Model: "m", Weights: 2})
		d := sendCall(t, s, testStart.Add(8*time.Second))
		fingerprint := s.requests["a"].fingerprint
		s.Handle(testStart.Add(9*time.Second), FirstToken{Request: "a", Attempt: d.Attempt})
		s.Handle(d.Forward.WorkUntil.Add(after), AttemptDone{Request: "a", Attempt: d.Attempt, Outcome: Lost, ConnectionBroken: true})
		failures, suspect := s.servers[d.Server].Failures, s.quarantine.IsSuspect(fingerprint)
		if (failures > 0) != faulty || suspect != faulty {
			t.Errorf("%d failures of the engine, call suspect %v, %s after the time it was told", failures, suspect, after)
		}
	}
}

// TestUnknownAgeLimitsStart guards against a call that an engine holds without a limit
// because its node does not know how old the newer weights are.
func TestUnknownAgeLimitsStart(t *testing.T) {
	for _, reported := range []bool{false, true} {
		s := runningState(t, 1)
		sendCall(t, s, testStart)
		s.requests["a"].chart.TimeoutAt = testStart.Add(time.Hour)
		learned := testStart.Add(time.Second)
		s.Handle(learned, WeightsNamed{Model: "m", Weights: 2, Listed: true})
		limit := testStart.Add(testWeightsLimit)
		if reported {
			const age = 3 * time.Second
			s.Handle(learned, peerReports(2, age, learned))
			limit = learned.Add(testWeightsLimit - age)
		}
		if got := stopsOf(s, limit.Add(-time.Millisecond), Tick{}); got != nil {
			t.Errorf("reported %v: stopped before the limit: %+v", reported, got)
		}
		if got := stopsOf(s, limit, Tick{}); len(got) != 1 {
			t.Errorf("reported %v: stopped %+v at the limit, want the attempt", reported, got)
		}
	}
}
