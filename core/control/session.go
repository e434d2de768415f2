package control

import (
	"maps"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
)

// maxRelayed limits the number of peers whose versions a session entry relays.
const maxRelayed = 64

// session is the node's entry in the key-value service.
type session struct {
	chart chart.Instance
	lease string
	// writtenEntry is the entry that the last write carried.
	writtenEntry SessionEntry
}

func sessionBindings() chart.Bindings[*State] {
	return chart.Bindings[*State]{
		Tags: sessionTags,
		Guards: map[string]func(*State, time.Time) bool{
			"entry_changed": (*State).entryChanged,
		},
		Actions: map[string]func(*State, time.Time){
			"grant":          func(s *State, _ time.Time) { s.sendSessionStep(StepGrant) },
			"write":          (*State).writeSession,
			"renew":          func(s *State, _ time.Time) { s.sendSessionStep(StepRenew) },
			"remove":         func(s *State, _ time.Time) { s.sendSessionStep(StepRemove) },
			"session_closed": func(s *State, now time.Time) { s.fireNodeEvent("left", now) },
		},
	}
}

func (s *State) sendSessionStep(step SessionStep) {
	s.command(SessionCommand{Step: step, Lease: s.session.lease, Entry: s.session.writtenEntry})
}

func (s *State) writeSession(now time.Time) {
	s.session.writtenEntry = s.sessionEntry(now)
	s.sendSessionStep(StepWrite)
}

// sessionEntry returns the entry that describes the current state of the node.
// Its version is the node's acknowledgement of that configuration. It relays the
// versions of peers that cannot reach the key-value service and whose digests
// arrived within the fence time.
func (s *State) sessionEntry(now time.Time) SessionEntry {
	entry := SessionEntry{Node: s.options.Node, Incarnation: s.options.Incarnation}
	if s.options.Unfenced {
		// No client waits for the acknowledgement of a version, so the entry
		// only shows that the node exists.
		return entry
	}
	entry.State = string(s.nodeChart.State)
	if s.countsInMajority() {
		entry.Version = s.version
	}
	for _, peer := range s.members.Peers() {
		if !peer.KeyValueUnreachable || peer.Version == 0 || now.Sub(peer.LastReportAt) > config.FenceTime || len(entry.Relayed) >= maxRelayed {
			continue
		}
		if entry.Relayed == nil {
			entry.Relayed = map[string]config.Version{}
		}
		entry.Relayed[peer.ID] = peer.Version
	}
	return entry
}

// entryChanged reports whether the entry differs from the one that was written
// last.
func (s *State) entryChanged(now time.Time) bool {
	entry, written := s.sessionEntry(now), s.session.writtenEntry
	if entry.Version != written.Version || entry.State != written.State {
		return true
	}
	return !maps.Equal(entry.Relayed, written.Relayed)
}

// tickSession rewrites an entry that is out of date and fires an expired
// timeout of the session's chart.
func (s *State) tickSession(now time.Time) {
	if s.session.chart.Is(tagHeld) && s.entryChanged(now) {
		s.fireSessionEvent("change", now)
	}
	_, _ = s.charts.session.Expire(&s.session.chart, s, now)
}

func (s *State) leaseResult(now time.Time, m LeaseResult) {
	if m.Err != nil {
		event := chart.Event("fail")
		if m.Err.Code == code.LeaseLapsed {
			event = "lapsed"
		}
		s.fireSessionEvent(event, now)
		return
	}
	if m.Step == StepGrant {
		s.session.lease = m.Lease
	}
	s.fireSessionEvent(sessionEvents[m.Step], now)
}

// sessionEvents maps each step to the event that its success fires.
var sessionEvents = map[SessionStep]chart.Event{
	StepGrant:  "granted",
	StepWrite:  "written",
	StepRenew:  "renewed",
	StepRemove: "removed",
}

func (s *State) fireSessionEvent(event chart.Event, now time.Time) {
	// The chart refuses the late result of a step that timed out, which changes
	// nothing.
	_ = s.charts.session.Fire(&s.session.chart, s, event, now)
}

// closeSession deletes the session entry before the node leaves.
func (s *State) closeSession(now time.Time) {
	if !s.options.Agents {
		s.fireNodeEvent("left", now)
		return
	}
	s.fireSessionEvent("close", now)
}
