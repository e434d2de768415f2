package control

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/event"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/order"
)

// expireLease finishes the term when the lease may have expired and another
// node may hold it.
func (s *State) expireLease(now time.Time) {
	if issuer := &s.orders.issuer; issuer.Lease != "" && !issuer.LeaseSafe(now) {
		s.fireIssuerEvent("lapse", now)
	}
}

// inTerm reports whether the node holds the key of the issuer.
func (s *State) inTerm() bool {
	return !s.orders.issuer.ClaimedAt.IsZero()
}

// mayIssue reports whether the node may send orders now.
func (s *State) mayIssue(now time.Time) bool {
	return s.orders.issuer.Chart.Is(tagMayIssue) && s.orders.issuer.LeaseSafe(now)
}

func (s *State) fireIssuerEvent(event chart.Event, now time.Time) {
	// The chart refuses a late result, which changes nothing.
	_ = s.charts.issuer.Fire(&s.orders.issuer.Chart, s, event, now)
}

// issuerResult handles the result of a call of the key-value service. A result
// of an earlier attempt is ignored.
func (s *State) issuerResult(now time.Time, m IssuerResult) {
	issuer := &s.orders.issuer
	if m.Attempt != issuer.Attempt {
		return
	}
	if m.Err != nil {
		s.issuerStepFailed(now, m)
		return
	}
	switch m.Step {
	case IssuerRead:
		s.fireIssuerEvent(keyEvent(m.Held), now)
	case IssuerGrant:
		if issuer.Chart.Is(tagAwaitsLease) {
			issuer.Lease = m.Lease
			issuer.ConfirmLease(m.AskedAt)
			s.fireIssuerEvent("granted", now)
		}
	case IssuerClaim:
		s.issuerClaimed(now, m)
	case IssuerRenew:
		issuer.ConfirmLease(m.AskedAt)
		s.fireIssuerEvent("confirmed", now)
	}
}

func (s *State) issuerClaimed(now time.Time, m IssuerResult) {
	if m.Held {
		s.fireIssuerEvent("taken", now)
		return
	}
	s.orders.issuer.Revision = m.Revision
	s.fireIssuerEvent("claimed", now)
}

func keyEvent(held bool) chart.Event {
	if held {
		return "taken"
	}
	return "free"
}

// issuerStepFailed handles a failed call: the chart gives up the attempt to
// become issuer, or waits for the next renewal. When the lease has expired at the
// service, the term finishes at once.
func (s *State) issuerStepFailed(now time.Time, m IssuerResult) {
	if m.Err.Code == code.LeaseLapsed {
		s.fireIssuerEvent("lapse", now)
		return
	}
	s.fireIssuerEvent("fail", now)
}

func (s *State) sendIssuerStep(step IssuerStep) {
	s.command(IssuerCommand{
		Step: step, Attempt: s.orders.issuer.Attempt, Node: s.options.Node, Lease: s.orders.issuer.Lease,
	})
}

func (s *State) readKey(*State, time.Time) {
	s.orders.issuer.Attempt++
	s.orders.issuer.Lease = ""
	s.sendIssuerStep(IssuerRead)
}

func (s *State) startTerm(_ *State, now time.Time) {
	s.orders.issuer.ClaimedAt = now
	if !s.orderParameters().OnDemand {
		s.orders.issuer.OtherHolderSeenAt = now
	}
	s.syncEngines(now)
	s.markNamedWeights(now)
	s.logEvent(event.IssuerWaiting, "revision", s.orders.issuer.Revision)
}

func (s *State) chooseFence(_ *State, now time.Time) {
	issuer := &s.orders.issuer
	before := issuer.HighestFencing
	issuer.ChooseFencingNumber()
	s.options.Checker.Check(issuer.FencingNumber > before, invariant.FencingIncreases, "%d after %d", issuer.FencingNumber, before)
	s.logEvent(event.IssuerStarted, "fencing", issuer.FencingNumber)
	s.syncEngines(now)
}

// finishTerm removes the engines and their orders from the control state. The
// next issuer waits until no order can be in flight and reads all states from
// the engines again.
func (s *State) finishTerm(_ *State, _ time.Time) {
	if s.inTerm() {
		s.logEvent(event.IssuerStopped, "fencing", s.orders.issuer.FencingNumber)
	}
	s.orders.issuer.FinishTerm()
	s.orders.engines = map[fleet.ServerID]*order.Engine{}
	s.orders.engineList = nil
	s.orders.rollouts = map[string]*order.Rollout{}
	s.orders.models = nil
}

// mayIssueFirstOrder reports whether the first order of the term may be sent:
// no order of an earlier issuer can be in flight, and each live engine was asked
// for the highest fencing number that it has seen.
func (s *State) mayIssueFirstOrder(_ *State, now time.Time) bool {
	if !s.orders.issuer.EarlierOrdersFinished(now) {
		return false
	}
	for _, engine := range s.orders.engineList {
		if engine.Live && !engine.Polled {
			return false
		}
	}
	return true
}

// mayContend reports whether the node may try to become the issuer. A stopping
// node does not, since it could issue only few orders before it leaves.
func (s *State) mayContend(*State, time.Time) bool {
	return s.nodeChart.Is(tagReady) && s.needsIssuer()
}

// mayHoldLease reports whether the node may remain the issuer.
func (s *State) mayHoldLease(*State, time.Time) bool {
	return s.nodeChart.Is(tagMayHoldIssuerLease) && s.needsIssuer()
}

// needsIssuer reports whether a node has to issue orders.
func (s *State) needsIssuer() bool {
	return s.rules != nil && (!s.orderParameters().OnDemand || s.orderNeeded())
}

func (s *State) logEvent(e event.Event, fields ...any) {
	s.command(LogEvent{Event: e, Fields: append([]any{"node", s.options.Node}, fields...)})
}
