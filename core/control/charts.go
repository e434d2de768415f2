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

// chartMachines holds the compiled chart of each kind of object.
type chartMachines struct {
	request     *chart.Machine[*activeRequest]
	requestOnce *chart.Machine[*activeRequest]
	call        *chart.Machine[*activeRequest]
	callOnce    *chart.Machine[*activeRequest]
	attempt     *chart.Machine[*activeRequest]
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
	// configuration, session and isolation are the charts of the node's own
	// configuration and session entry and of the record of isolated organisations.
	configuration *chart.Machine[*State]
	session       *chart.Machine[*State]
	isolation     *chart.Machine[*State]
}

func (s *State) loadCharts(files fs.FS) error {
	var err error
	if s.charts.request, err = loadMachine(files, "request", s.requestBindings(requestTags)); err != nil {
		return err
	}
	if s.charts.requestOnce, err = loadMachine(files, "request-once", s.requestBindings(onceTags)); err != nil {
		return err
	}
	if s.charts.call, err = loadMachine(files, "call", s.requestBindings(requestTags)); err != nil {
		return err
	}
	if s.charts.callOnce, err = loadMachine(files, "call-once", s.requestBindings(requestTags)); err != nil {
		return err
	}
	if s.charts.attempt, err = loadMachine(files, "attempt", s.attemptBindings()); err != nil {
		return err
	}
	if s.charts.server, err = loadMachine(files, "server", s.serverBindings()); err != nil {
		return err
	}
	if s.charts.store, err = loadMachine(files, "store", chart.Bindings[*fleet.Store]{Tags: []chart.Tag{fleet.TagReadable, fleet.TagWritable}}); err != nil {
		return err
	}
	if s.charts.cacheStore, err = loadMachine(files, "cache-store", s.cacheStoreBindings()); err != nil {
		return err
	}
	if err = s.loadOrderCharts(files); err != nil {
		return err
	}
	if s.charts.node, err = loadMachine(files, "node", nodeBindings()); err != nil {
		return err
	}
	if err = s.loadTransferCharts(); err != nil {
		return err
	}
	return s.loadAgentCharts(files)
}

func loadMachine[T any](files fs.FS, name string, bindings chart.Bindings[T]) (*chart.Machine[T], error) {
	def, err := chart.Load(files, name)
	if err != nil {
		return nil, err
	}
	machine, err := chart.NewMachine(def, bindings)
	if err != nil {
		return nil, fmt.Errorf("bind chart: %w", err)
	}
	return machine, nil
}

func (s *State) requestBindings(tags []chart.Tag) chart.Bindings[*activeRequest] {
	return chart.Bindings[*activeRequest]{
		Tags: tags,
		Guards: map[string]func(*activeRequest, time.Time) bool{
			"may_retry": s.mayRetry,
			"may_retry_and_none_ran": func(req *activeRequest, now time.Time) bool {
				return s.noneRan(req, now) && s.mayRetry(req, now)
			},
			"none_ran":   s.noneRan,
			"may_redial": s.mayRedial,
			"may_resend": s.mayResend,
			"may_repeat": s.mayRepeat,
			"may_resend_and_none_ran": func(req *activeRequest, now time.Time) bool {
				return s.noneRan(req, now) && s.mayResend(req, now)
			},
		},
		Actions: map[string]func(*activeRequest, time.Time){
			"begin_attempt":   s.beginAttempt,
			"end_attempt":     s.endAttempt,
			"mark_dispatched": s.markDispatched,
			"mark_not_run":    s.markNotRun,
			"spend_retry":     s.spendRetry,
			"spend_repeat":    s.spendRepeat,
		},
	}
}

func (s *State) attemptBindings() chart.Bindings[*activeRequest] {
	return chart.Bindings[*activeRequest]{
		Tags: attemptTags,
		Actions: map[string]func(*activeRequest, time.Time){
			"credit_server": s.creditServer,
			"blame_server":  s.blameServer,
		},
	}
}

func (s *State) serverBindings() chart.Bindings[*fleet.Server] {
	return chart.Bindings[*fleet.Server]{
		Tags: []chart.Tag{fleet.TagReceivesWork, fleet.TagProbing, fleet.TagSlowStart, fleet.TagBackingOff, fleet.TagPaused, fleet.TagLeaving},
		Guards: map[string]func(*fleet.Server, time.Time) bool{
			"failures_reached_limit": func(server *fleet.Server, _ time.Time) bool { return server.FailuresReachedLimit() },
			"evidence_is_newer":      func(server *fleet.Server, _ time.Time) bool { return server.SuccessStartedAfterFailure() },
			"slots_restored":         func(server *fleet.Server, _ time.Time) bool { return server.SlowStartSlots >= s.options.ServerSlots },
			"named_leaving": func(server *fleet.Server, _ time.Time) bool {
				return server.LeavingByList || server.LeavingByRule || server.LeavingByResponse
			},
		},
		Actions: map[string]func(*fleet.Server, time.Time){
			"start_recovery": func(server *fleet.Server, _ time.Time) { server.StartSlowStart() },
			"grow_slots":     func(server *fleet.Server, _ time.Time) { server.DoubleSlowStartSlots() },
		},
	}
}

func nodeBindings() chart.Bindings[*State] {
	return chart.Bindings[*State]{
		Tags: nodeTags,
		Guards: map[string]func(*State, time.Time) bool{
			"nothing_in_progress": func(s *State, _ time.Time) bool {
				return len(s.requests) == 0 && s.recordTracker.Len() == 0
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

// fireRequestEvent applies an event to a request and reports whether its chart
// allowed the event.
func (s *State) fireRequestEvent(req *activeRequest, event chart.Event, now time.Time) bool {
	if err := req.machine.Fire(&req.chart, req, event, now); err != nil {
		return false
	}
	req.limitStateTimeout(now)
	return true
}

// limitStateTimeout shortens the timeout of the current state to the caller's
// deadline. A state in which the at-most-once record is being written keeps its
// timeout.
func (req *activeRequest) limitStateTimeout(now time.Time) {
	if req.chart.TimeoutAt.IsZero() || req.Deadline.IsZero() {
		return
	}
	if req.chart.Is(tagWritesRecord) {
		return
	}
	if req.Deadline.Before(req.chart.TimeoutAt) {
		req.chart.TimeoutAt = req.Deadline
	}
	if req.chart.TimeoutAt.Before(now) {
		req.chart.TimeoutAt = now
	}
}
