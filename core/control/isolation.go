package control

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/config"
	"tanagerspread/core/event"
	"tanagerspread/core/request"
)

// maxRecordDelay is the upper bound of the random time after which a node first writes a
// change of the isolated organisations.
const maxRecordDelay = 2 * time.Second

// scopeFreeDelay is how long after a change of the isolated organisations parts of earlier
// scopes are freed: no call has a later deadline.
const scopeFreeDelay = time.Hour

// isolation is the control state of the organisations that share no cached parts with
// others, and of the record of them in the key-value service. The salts of calls follow
// from current.
type isolation struct {
	chart chart.Instance
	// current is the isolation of the configuration in force.
	current config.Isolation
	// changedAt is when current last changed.
	changedAt time.Time
	// stored is the record as last seen, at a revision that is 0 without a record.
	stored         config.Isolation
	storedRevision uint64
	// newest is the record with the latest change that was seen. An older one, of a
	// service that was restored from a copy, is replaced.
	newest config.Isolation
}

// IsolationSeen reports the record of the isolated organisations in the key-value service.
type IsolationSeen struct {
	// Record is the zero value and Revision is 0 when there is none.
	Record   config.Isolation
	Revision uint64
}

// WriteIsolation commands that the record of the isolated organisations is written unless
// it has changed since Replaced, its revision, or 0 for none. The result is seen in the
// record.
type WriteIsolation struct {
	Record   config.Isolation
	Replaced uint64
}

func (IsolationSeen) message()  {}
func (WriteIsolation) command() {}

func isolationBindings() chart.Bindings[*State] {
	return chart.Bindings[*State]{
		Tags: isolationTags,
		Actions: map[string]func(*State, time.Time){
			"write_record": func(s *State, _ time.Time) {
				s.command(WriteIsolation{Record: s.isolation.current, Replaced: s.isolation.storedRevision})
			},
		},
	}
}

// isolationSeen adopts a record with a later change than all before. When the record is of
// the set in force, all nodes use its versions, also those that learned of the set later.
func (s *State) isolationSeen(now time.Time, m IsolationSeen) {
	i := &s.isolation
	i.stored, i.storedRevision = m.Record, m.Revision
	if m.Record.Changed > i.newest.Changed {
		i.newest = m.Record
		s.adoptRecord(now)
	}
	s.compareRecord(now)
}

// updateIsolation follows a new configuration.
func (s *State) updateIsolation(now time.Time) {
	if !s.options.Forwarding {
		return
	}
	if s.isolation.newest.Changed > s.isolation.current.Changed {
		s.adoptRecord(now)
	}
	s.setIsolation(now, s.isolation.current.Next(s.isolatedOrganisations(), s.version))
	if !s.isolation.chart.Is(tagUnread) {
		s.compareRecord(now)
	}
}

// adoptRecord continues from the newest record, unless it is of a newer configuration than
// the one in force, or of an earlier set than the one that this node uses.
func (s *State) adoptRecord(now time.Time) {
	i := &s.isolation
	isolated := s.isolatedOrganisations()
	if i.newest.Changed > s.version || i.newest.Changed < i.current.Changed && !i.newest.Isolates(isolated) {
		return
	}
	s.setIsolation(now, i.newest.Next(isolated, s.version))
}

func (s *State) setIsolation(now time.Time, current config.Isolation) {
	if scope := current.SharedScope(); scope != s.isolation.current.SharedScope() {
		s.isolation.changedAt = now
		s.logEvent(event.IsolationChanged, "scope", scope, "isolated", len(current.Since))
	}
	s.isolation.current = current
}

// compareRecord fires whether the record agrees with the isolation that this node uses. A
// node with an older configuration never replaces the record.
func (s *State) compareRecord(now time.Time) {
	i := &s.isolation
	if i.current.Changed <= i.stored.Changed {
		_ = s.charts.isolation.Fire(&i.chart, s, "agree", now)
		return
	}
	// The chart refuses the event of a difference that it knows already.
	if err := s.charts.isolation.Fire(&i.chart, s, "differ", now); err == nil {
		i.chart.TimeoutAt = now.Add(time.Duration(s.random.Int64N(int64(maxRecordDelay))))
	}
}

func (s *State) isolatedOrganisations() []request.Organisation {
	var isolated []request.Organisation
	if s.rules == nil {
		return nil
	}
	for name, organisation := range s.rules.Organisations {
		if organisation.Isolated {
			isolated = append(isolated, name)
		}
	}
	return isolated
}

// cacheScope returns the text that separates the cached parts of a request from those that
// it must not use. A request that arrived while its organisation was isolated shares none,
// also when it waits until the organisation no longer is.
func (s *State) cacheScope(req *activeRequest) string {
	if req.isolated || s.rules.Organisations[req.organisation].Isolated {
		return s.isolation.current.Scope(req.organisation)
	}
	return s.isolation.current.SharedScope()
}

// usableScopes returns the scopes in use, or nil while calls of an earlier scope may be in
// progress at any node, or when none was ever left. Nodes with a newer configuration use
// others, with later versions.
func (s *State) usableScopes(now time.Time) map[string]bool {
	i := &s.isolation
	if !i.chart.Is(tagRecorded) || i.current.Changed == 0 || i.current.Changed != i.stored.Changed || now.Sub(i.changedAt) < scopeFreeDelay {
		return nil
	}
	scopes := map[string]bool{i.current.SharedScope(): true}
	for organisation := range i.current.Since {
		scopes[i.current.Scope(organisation)] = true
	}
	return scopes
}
