package control

import (
	"fmt"
	"io/fs"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/membership"
	"tanagerspread/core/order"
)

// machines holds the compiled chart of each kind of object.
type machines struct {
	request     *chart.Machine[*active]
	once        *chart.Machine[*active]
	call        *chart.Machine[*active]
	callOnce    *chart.Machine[*active]
	attempt     *chart.Machine[*active]
	server      *chart.Machine[*fleet.Server]
	store       *chart.Machine[*fleet.Store]
	cacheStore  *chart.Machine[*fleet.CacheStore]
	issuer      *chart.Machine[*State]
	order       *chart.Machine[*order.Order]
	rollout     *chart.Machine[*order.Rollout]
	node        *chart.Machine[*State]
	blockImport *chart.Machine[*transfer]
	blockExport *chart.Machine[*transfer]
	peer        *chart.Machine[*membership.Peer]
	// configuration and session belong to the node itself.
	configuration *chart.Machine[*State]
	session       *chart.Machine[*State]
}

func (s *State) loadCharts(files fs.FS) error {
	var err error
	if s.charts.request, err = load(files, "request", s.requestBindings(requestTags)); err != nil {
		return err
	}
	if s.charts.once, err = load(files, "request-once", s.requestBindings(onceTags)); err != nil {
		return err
	}
	if s.charts.call, err = load(files, "call", s.requestBindings(requestTags)); err != nil {
		return err
	}
	if s.charts.callOnce, err = load(files, "call-once", s.requestBindings(requestTags)); err != nil {
		return err
	}
	if s.charts.attempt, err = load(files, "attempt", s.attemptBindings()); err != nil {
		return err
	}
	if s.charts.server, err = load(files, "server", s.serverBindings()); err != nil {
		return err
	}
	if s.charts.store, err = load(files, "store", chart.Bindings[*fleet.Store]{Tags: []chart.Tag{fleet.TagReadable, fleet.TagWritable}}); err != nil {
		return err
	}
	if s.charts.cacheStore, err = load(files, "cache-store", s.cacheBindings()); err != nil {
		return err
	}
	if err = s.loadOrderCharts(files); err != nil {
		return err
	}
	if s.charts.node, err = load(files, "node", nodeBindings()); err != nil {
		return err
	}
	if err = s.loadTransferCharts(); err != nil {
		return err
	}
	return s.loadFleetCharts(files)
}

func load[T any](files fs.FS, name string, bindings chart.Bindings[T]) (*chart.Machine[T], error) {
	def, err := chart.Load(files, name)
	if err != nil {
		return nil, err
	}
	machine, err := chart.NewMachine(def, bindings)
	if err != nil {
		return nil, fmt.Errorf("bind: %w", err)
	}
	return machine, nil
}

func (s *State) requestBindings(tags []chart.Tag) chart.Bindings[*active] {
	return chart.Bindings[*active]{
		Tags: tags,
		Guards: map[string]func(*active, time.Time) bool{
			"may_retry": s.mayRetry,
			"may_retry_and_none_ran": func(a *active, now time.Time) bool {
				return s.noneRan(a, now) && s.mayRetry(a, now)
			},
			"none_ran":   s.noneRan,
			"may_redial": s.mayRedial,
			"may_resend": s.mayResend,
			"may_repeat": s.mayRepeat,
			"may_resend_and_none_ran": func(a *active, now time.Time) bool {
				return s.noneRan(a, now) && s.mayResend(a, now)
			},
		},
		Actions: map[string]func(*active, time.Time){
			"begin_attempt":   s.beginAttempt,
			"end_attempt":     s.endAttempt,
			"mark_dispatched": s.markDispatched,
			"mark_not_run":    s.markNotRun,
			"spend_retry":     s.spendRetry,
			"spend_repeat":    s.spendRepeat,
		},
	}
}

func (s *State) attemptBindings() chart.Bindings[*active] {
	return chart.Bindings[*active]{
		Tags: attemptTags,
		Actions: map[string]func(*active, time.Time){
			"credit_server": s.creditServer,
			"blame_server":  s.blameServer,
		},
	}
}

func (s *State) serverBindings() chart.Bindings[*fleet.Server] {
	return chart.Bindings[*fleet.Server]{
		Tags: []chart.Tag{fleet.TagReceivesWork, fleet.TagOneAtATime, fleet.TagGradual, fleet.TagRests, fleet.TagLeaves},
		Guards: map[string]func(*fleet.Server, time.Time) bool{
			"failures_reached_limit": func(server *fleet.Server, _ time.Time) bool { return server.FailuresReachedLimit() },
			"evidence_is_newer":      func(server *fleet.Server, _ time.Time) bool { return server.EvidenceIsNewer() },
			"slots_restored":         func(server *fleet.Server, _ time.Time) bool { return server.Slots >= s.options.ServerSlots },
			"named_leaving":          func(server *fleet.Server, _ time.Time) bool { return server.ListedLeaving || server.RuledLeaving },
		},
		Actions: map[string]func(*fleet.Server, time.Time){
			"start_recovery": func(server *fleet.Server, _ time.Time) { server.StartRecovery() },
			"grow_slots":     func(server *fleet.Server, _ time.Time) { server.GrowSlots() },
		},
	}
}

func nodeBindings() chart.Bindings[*State] {
	return chart.Bindings[*State]{
		Tags: nodeTags,
		Guards: map[string]func(*State, time.Time) bool{
			"nothing_in_progress": func(s *State, _ time.Time) bool {
				return len(s.requests) == 0 && s.records.Len() == 0
			},
			"has_rules": func(s *State, _ time.Time) bool { return s.rules != nil },
		},
		Actions: map[string]func(*State, time.Time){
			"close_session": (*State).closeSession,
			"announce_stopped": func(s *State, _ time.Time) {
				s.options.Checker.Check(len(s.requests) == 0, invariant.DrainInterruptsNothing, "%d requests in progress", len(s.requests))
			},
		},
	}
}

// fireRequest moves a request and reports whether its chart allowed it.
func (s *State) fireRequest(a *active, event chart.Event, now time.Time) bool {
	if err := a.machine.Fire(&a.position, a, event, now); err != nil {
		return false
	}
	a.limitWait(now)
	return true
}

// limitWait shortens the timeout of the state to the caller's deadline.
func (a *active) limitWait(now time.Time) {
	if a.position.Deadline.IsZero() || a.Deadline.IsZero() {
		return
	}
	if a.position.Is(tagKeepsRecord) {
		return
	}
	if a.Deadline.Before(a.position.Deadline) {
		a.position.Deadline = a.Deadline
	}
	if a.position.Deadline.Before(now) {
		a.position.Deadline = now
	}
}
