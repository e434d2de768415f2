package control

import (
	"maps"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
)

// maxRelayed bounds the acknowledgements that a session entry relays.
const maxRelayed = 64

// session is the node's entry in the key-value service.
type session struct {
	position chart.Instance
	lease    string
	// written is the entry that the last write carried.
	written SessionEntry
}

func sessionBindings() chart.Bindings[*State] {
	return chart.Bindings[*State]{
		Tags: sessionTags,
		Guards: map[string]func(*State, time.Time) bool{
			"entry_changed": (*State).entryChanged,
		},
		Actions: map[string]func(*State, time.Time){
			"grant":          func(s *State, _ time.Time) { s.sessionStep(StepGrant) },
			"write":          (*State).writeSession,
			"renew":          func(s *State, _ time.Time) { s.sessionStep(StepRenew) },
			"remove":         func(s *State, _ time.Time) { s.sessionStep(StepRemove) },
			"session_closed": func(s *State, now time.Time) { s.fireNode("left", now) },
		},
	}
}

func (s *State) sessionStep(step SessionStep) {
	s.command(SessionCommand{Step: step, Lease: s.session.lease, Entry: s.session.written})
}

func (s *State) writeSession(now time.Time) {
	s.session.written = s.sessionEntry(now)
	s.sessionStep(StepWrite)
}

// sessionEntry describes the node as it is now. Its version is the node's
// acknowledgement. It relays the versions of peers that do not reach the
// service and were seen within the fence time.
func (s *State) sessionEntry(now time.Time) SessionEntry {
	entry := SessionEntry{Node: s.options.Node, Incarnation: s.options.Incarnation}
	if s.options.Unfenced {
		// Nobody waits for the acknowledgement of a version, so the entry only
		// says that the node exists.
		return entry
	}
	entry.State = string(s.life.State)
	if s.takesPart() {
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

func (s *State) entryChanged(now time.Time) bool {
	entry, written := s.sessionEntry(now), s.session.written
	if entry.Version != written.Version || entry.State != written.State {
		return true
	}
	return !maps.Equal(entry.Relayed, written.Relayed)
}

// tickSession lets timeouts pass and rewrites an entry that is out of date.
func (s *State) tickSession(now time.Time) {
	if s.session.position.Is(tagHeld) && s.entryChanged(now) {
		s.fireSession("change", now)
	}
	_, _ = s.charts.session.Expire(&s.session.position, s, now)
}

func (s *State) leaseResult(now time.Time, m LeaseResult) {
	if m.Err != nil {
		event := chart.Event("fail")
		if m.Err.Code == code.LeaseLapsed {
			event = "lapsed"
		}
		s.fireSession(event, now)
		return
	}
	if m.Step == StepGrant {
		s.session.lease = m.Lease
	}
	s.fireSession(sessionEvents[m.Step], now)
}

// sessionEvents maps each step to the event of its success.
var sessionEvents = map[SessionStep]chart.Event{
	StepGrant:  "granted",
	StepWrite:  "written",
	StepRenew:  "renewed",
	StepRemove: "removed",
}

func (s *State) fireSession(event chart.Event, now time.Time) {
	// A late result of a step that timed out changes nothing.
	_ = s.charts.session.Fire(&s.session.position, s, event, now)
}

// closeSession deletes the session entry before the node leaves.
func (s *State) closeSession(now time.Time) {
	if !s.options.Agents {
		s.fireNode("left", now)
		return
	}
	s.fireSession("close", now)
}
