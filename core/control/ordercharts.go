package control

import (
	"io/fs"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/event"
	"tanagerspread/core/order"
)

// loadOrderCharts loads the charts of the issuer, the orders and the rollouts.
func (s *State) loadOrderCharts(files fs.FS) error {
	var err error
	if s.charts.issuer, err = loadMachine(files, "issuer", s.issuerBindings()); err != nil {
		return err
	}
	if s.charts.order, err = loadMachine(files, "order", s.orderBindings()); err != nil {
		return err
	}
	s.charts.rollout, err = loadMachine(files, "rollout", s.rolloutBindings())
	return err
}

func (s *State) issuerBindings() chart.Bindings[*State] {
	return chart.Bindings[*State]{
		Tags: issuerTags,
		Guards: map[string]func(*State, time.Time) bool{
			"may_contend": s.mayContend,
			"may_hold":    s.mayHoldLease,
			"settled":     s.mayIssueFirstOrder,
		},
		Actions: map[string]func(*State, time.Time){
			"read_key":      s.readKey,
			"grant_lease":   func(*State, time.Time) { s.sendIssuerStep(IssuerGrant) },
			"claim_key":     func(*State, time.Time) { s.sendIssuerStep(IssuerClaim) },
			"renew_lease":   func(*State, time.Time) { s.sendIssuerStep(IssuerRenew) },
			"begin_term":    s.startTerm,
			"choose_fence":  s.chooseFence,
			"end_term":      s.finishTerm,
			"contend_again": func(_ *State, now time.Time) { s.scheduleContention(now, contentionRetryDelay) },
		},
	}
}

func (s *State) orderBindings() chart.Bindings[*order.Order] {
	return chart.Bindings[*order.Order]{
		Tags: orderTags,
		Guards: map[string]func(*order.Order, time.Time) bool{
			"overdue":         func(o *order.Order, now time.Time) bool { return o.Overdue(now) },
			"deadline_passed": func(o *order.Order, now time.Time) bool { return !now.Before(o.Deadline) },
			"resend_ends":     func(o *order.Order, now time.Time) bool { return !o.Engine.Live || !now.Before(o.ResendUntil) },
		},
		Actions: map[string]func(*order.Order, time.Time){
			"send":            s.sendOrder,
			"read_back":       s.readEngineOfOrder,
			"update":          s.updateOrder,
			"extend_deadline": s.extendOrderDeadline,
			"note_unaccepted": s.recordOrderUnaccepted,
			"note_done":       s.recordOrderDone,
			"note_failed":     s.recordOrderFailed,
			"note_refused":    s.recordOrderRefused,
		},
	}
}

func (s *State) rolloutBindings() chart.Bindings[*order.Rollout] {
	return chart.Bindings[*order.Rollout]{
		Actions: map[string]func(*order.Rollout, time.Time){
			"note_started":  s.rolloutLogger(event.RolloutStarted),
			"note_stalled":  s.rolloutLogger(event.RolloutStalled),
			"note_complete": s.rolloutLogger(event.RolloutComplete),
		},
	}
}

// rolloutLogger returns a chart action that logs an event with the progress of
// the rollout.
func (s *State) rolloutLogger(e event.Event) func(*order.Rollout, time.Time) {
	return func(r *order.Rollout, _ time.Time) {
		c := r.Counts
		s.logEvent(e, "model", r.Model, "weights", r.Wanted.Weights, "live", c.Live, "done", c.Met, "out", c.Out)
	}
}
