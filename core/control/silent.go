package control

import (
	"slices"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/quarantine"
)

const (
	// silentCallAge is how long a call that ended without a sign of its server is
	// remembered. The entry of a server that crashed expires, or it is back, before that.
	silentCallAge = 30 * time.Second
	// maxSilentCalls bounds the calls that are remembered.
	maxSilentCalls = 256
)

// silentCall is a call that was sent and ended without a sign of its server.
type silentCall struct {
	server *fleet.Server
	// run and parts have the time at which the call ended as that of the crash. The server
	// crashed before, but until then no response of it disproves that.
	run   quarantine.Run
	parts []quarantine.PartCrash
}

// silentCallOf returns what an attempt that is in progress shows if its server has crashed.
// The parts of a call whose server went on after it began are not in question.
func silentCallOf(now time.Time, req *activeRequest) silentCall {
	attempt := req.attempt
	call := silentCall{server: attempt.server}
	call.run = quarantine.Run{Fingerprint: req.fingerprint, StartedAt: attempt.sentAt, BrokeAt: now}
	if !attempt.survived {
		call.parts = partCrashes(now, req)
	}
	return call
}

// rememberSilentCall remembers an attempt that ends without a sign of its server, because
// the caller gave up or a time-out expired.
func (s *State) rememberSilentCall(now time.Time, req *activeRequest) {
	if req.attempt.sentAt.IsZero() || req.attempt.conclusive {
		return
	}
	s.silentCalls = slices.DeleteFunc(s.silentCalls, func(call silentCall) bool { return now.Sub(call.run.BrokeAt) > silentCallAge })
	if len(s.silentCalls) >= maxSilentCalls {
		s.silentCalls = slices.Delete(s.silentCalls, 0, 1)
	}
	s.silentCalls = append(s.silentCalls, silentCallOf(now, req))
}

// serverEnded records that a server is no longer listed or came back under another id. If it
// was not leaving it crashed, and the calls that it left without a response may have caused
// that.
func (s *State) serverEnded(now time.Time, server *fleet.Server) {
	calls := s.takeSilentCalls(now, server)
	if server.Chart.Is(fleet.TagLeaving) {
		return
	}
	s.serverEnds.RecordEnd(now, server.ID)
	s.parts.RecordEnd(now, server.ID)
	var runs []quarantine.Run
	for _, call := range calls {
		runs = append(runs, call.run)
		for _, crash := range call.parts {
			if !s.parts.IsProvenSince(crash.Part, call.run.StartedAt) {
				s.parts.RecordCrash(now, crash)
			}
		}
		if len(call.parts) > 0 {
			s.parts.ObserveCall(now, true)
		}
	}
	if changed := s.quarantine.RecordCrash(now, server.ID, runs); len(changed) > 0 {
		s.publishQuarantine(now, changed)
		s.countNewSuspects()
	}
}

// takeSilentCalls returns the calls to a server that it left without a response, in progress
// or not, except those after whose end it responded.
func (s *State) takeSilentCalls(now time.Time, server *fleet.Server) []silentCall {
	var calls []silentCall
	s.silentCalls = slices.DeleteFunc(s.silentCalls, func(call silentCall) bool {
		if call.server != server {
			return false
		}
		if !server.LastResponseAt.After(call.run.BrokeAt) {
			calls = append(calls, call)
		}
		return true
	})
	for _, req := range s.requests {
		if req.attempt != nil && req.attempt.server == server && isRunning(req.attempt) {
			calls = append(calls, silentCallOf(now, req))
		}
	}
	return calls
}

// endReplaced records the end of a listed server whose address belongs to another one now.
func (s *State) endReplaced(now time.Time, successor VM) {
	for _, server := range s.serverList {
		if server.Address == successor.Address && server.ID != fleet.ServerID(successor.ID) {
			s.serverEnded(now, server)
		}
	}
}

// contradict tells the peers that a server which one of them takes for crashed responded to
// this node, and reports whether it did.
func (s *State) contradict(now time.Time, server fleet.ServerID, crashedAt time.Time) bool {
	if !s.serverEnds.Disproves(server, crashedAt) {
		return false
	}
	s.tellAlive(now, server)
	return true
}

// tellAlive tells the peers that a server responded.
func (s *State) tellAlive(now time.Time, server fleet.ServerID) {
	if s.serverEnds.ShouldTell(now, server) {
		s.gossipQuarantine(now, []quarantine.Entry{quarantine.AliveEntry(s.serverEnds.RespondedAt(server), server)})
	}
}
