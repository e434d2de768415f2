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

// expireLease ends the term when the lease may have been taken over.
func (s *State) expireLease(now time.Time) {
	if issuer := &s.orders.issuer; issuer.Lease != "" && !issuer.LeaseSafe(now) {
		s.fireIssuer("lapse", now)
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

func (s *State) fireIssuer(event chart.Event, now time.Time) {
	// A late result that the chart refuses changes nothing.
	_ = s.charts.issuer.Fire(&s.orders.issuer.Chart, s, event, now)
}

// issuerResult goes on after a call of the key-value service.
func (s *State) issuerResult(now time.Time, m IssuerResult) {
	issuer := &s.orders.issuer
	if m.Attempt != issuer.Attempt {
		return
	}
	if m.Err != nil {
		s.issuerFailed(now, m)
		return
	}
	switch m.Step {
	case IssuerLook:
		s.fireIssuer(lookEvent(m.Held), now)
	case IssuerGrant:
		if issuer.Chart.Is(tagAwaitsLease) {
			issuer.Lease = m.Lease
			issuer.ConfirmLease(m.Asked)
			s.fireIssuer("granted", now)
		}
	case IssuerClaim:
		s.claimed(now, m)
	case IssuerRenew:
		issuer.ConfirmLease(m.Asked)
		s.fireIssuer("confirmed", now)
	}
}

func (s *State) claimed(now time.Time, m IssuerResult) {
	if m.Held {
		s.fireIssuer("taken", now)
		return
	}
	s.orders.issuer.Revision = m.Revision
	s.fireIssuer("claimed", now)
}

func lookEvent(held bool) chart.Event {
	if held {
		return "taken"
	}
	return "free"
}

// issuerFailed gives up an attempt, or waits for the next renewal. A lease
// that the service no longer knows ends the term at once.
func (s *State) issuerFailed(now time.Time, m IssuerResult) {
	if m.Err.Code == code.LeaseLapsed {
		s.fireIssuer("lapse", now)
		return
	}
	s.fireIssuer("fail", now)
}

func (s *State) issuerStep(step IssuerStep) {
	s.command(IssuerCommand{
		Step: step, Attempt: s.orders.issuer.Attempt, Node: s.options.Node, Lease: s.orders.issuer.Lease,
	})
}

func (s *State) readKey(*State, time.Time) {
	s.orders.issuer.Attempt++
	s.orders.issuer.Lease = ""
	s.issuerStep(IssuerLook)
}

func (s *State) beginTerm(_ *State, now time.Time) {
	s.orders.issuer.ClaimedAt = now
	if !s.terms().OnDemand {
		s.orders.issuer.OtherHolderSeenAt = now
	}
	s.syncEngines(now)
	s.log(event.IssuerWaiting, "revision", s.orders.issuer.Revision)
}

func (s *State) chooseFence(_ *State, now time.Time) {
	issuer := &s.orders.issuer
	before := issuer.HighestFencing
	issuer.ChooseFencingNumber()
	s.options.Checker.Check(issuer.FencingNumber > before, invariant.FencingIncreases, "%d after %d", issuer.FencingNumber, before)
	s.log(event.IssuerStarted, "fencing", issuer.FencingNumber)
	s.syncEngines(now)
}

// endTerm forgets the engines and their orders. The next holder waits until
// no order can be in flight and reads all states from the engines again.
func (s *State) endTerm(_ *State, _ time.Time) {
	if s.inTerm() {
		s.log(event.IssuerStopped, "fencing", s.orders.issuer.FencingNumber)
	}
	s.orders.issuer.FinishTerm()
	s.orders.engines = map[fleet.ServerID]*order.Engine{}
	s.orders.list = nil
	s.orders.rollouts = map[string]*order.Rollout{}
	s.orders.models = nil
}

// settled reports whether the first order of the term may be sent: orders of
// earlier holders have ended and each live engine was asked what it has seen.
func (s *State) settled(_ *State, now time.Time) bool {
	if !s.orders.issuer.EarlierOrdersFinished(now) {
		return false
	}
	for _, e := range s.orders.list {
		if e.Live && !e.Polled {
			return false
		}
	}
	return true
}

// mayHold reports whether the node may become or stay the issuer.
func (s *State) mayHold(*State, time.Time) bool {
	return s.life.Is(tagReady) && s.rules != nil && (!s.terms().OnDemand || s.orderNeeded())
}

func (s *State) log(e event.Event, fields ...any) {
	s.command(LogEvent{Event: e, Fields: append([]any{"node", s.options.Node}, fields...)})
}
