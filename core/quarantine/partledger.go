package quarantine

import (
	"fmt"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/fleet"
)

const (
	// settlingTime is the time after a crash until it counts. The proofs of the calls that
	// are sent after the crash arrive in this time.
	settlingTime = 800 * time.Millisecond
	// inseparableCrashes is the number of further crashes after which one of several parts
	// is quarantined that were in all of the same crashes.
	inseparableCrashes = 2
	// watchedEnds is the number of servers that ended after calls with a part, from which on
	// these calls are sent one at a time.
	watchedEnds = 2
	// maxRivals bounds the other parts that are remembered with a quarantined one.
	maxRivals = 8
	// maxParts bounds the parts that a node remembers.
	maxParts = 4096
	// trialJitter is the largest change of the time after which a node tries a quarantined
	// part again, as a share of it, so that the nodes do not all try it at once.
	trialJitter = 0.25
	// quarantineTolerance is the inaccuracy of the time of a quarantine that a peer
	// reports.
	quarantineTolerance = 3 * time.Second
	// PartQuarantineTTL is how long the key-value service keeps a quarantined part for
	// nodes that start.
	PartQuarantineTTL = 10 * time.Minute
	// proofInterval is the time between two reports of proofs of the same part.
	proofInterval = 200 * time.Millisecond
)

// The tags of the chart "prompt-part".
const (
	// tagRefusesCalls marks parts whose calls are refused.
	tagRefusesCalls chart.Tag = "refuses_calls"
	// tagSuspected marks parts that were not quarantined since they were last cleared.
	tagSuspected chart.Tag = "suspected"
	// tagOneCall marks parts whose calls are sent one at a time.
	tagOneCall chart.Tag = "one_call"
)

// part is one part that may crash servers.
type part struct {
	id      PartID
	chart   chart.Instance
	depth   int
	crashes partCrashes
	// rivals are the suspects that were in all of the crashes when the part was
	// quarantined.
	rivals []PartID
	// quarantinedAt is when a node quarantined the part last, or zero.
	quarantinedAt time.Time
}

func (p *part) isSuspect() bool {
	return p.chart.Is(tagSuspected)
}

func (p *part) isOnTrial() bool {
	return p.chart.Is(tagOneCall) && !p.isSuspect()
}

// endsServers reports whether several servers ended after calls with the part.
func (p *part) endsServers() bool {
	proven := 0
	for _, c := range p.crashes {
		if c.Proven {
			proven++
		}
	}
	return proven >= watchedEnds
}

// PartChange is a change in whether calls with a part are sent.
type PartChange struct {
	Part PartID
	// Quarantined is true when calls with the part are refused from now on, Trial when
	// they are sent one at a time.
	Quarantined, Trial bool
	// At is when the part was quarantined.
	At time.Time
	// Crashes is the number of crashes that this node knows of, Needed the number after
	// which it quarantines a part; Server is the server of the last one.
	Crashes, Needed int
	Server          fleet.ServerID
	// Own is true when calls of this node were in progress in one of the crashes.
	Own bool
	// Learned is true when another node quarantined the part.
	Learned bool
}

// PartLedger attributes crashes of backend servers to prompt parts.
//
// A part that crashes servers is in a call of each crash, and no server responds to a
// call with it. A part that many calls share is in most crashes too, but servers respond
// to other calls with it. So a part is quarantined when it was in more crashes than
// chance explains, no server has responded since to a call with it, and no other such
// part was in all of these crashes.
type PartLedger struct {
	machine *chart.Machine[*part]
	random  *rand.Rand
	servers *Servers
	parts   map[PartID]*part
	// refused has the parts whose calls are refused.
	refused map[PartID]*part
	proofs  proofs[PartID]
	rate    breakRate
	reports reportQueue
	changes []PartChange
}

// NewPartLedger returns an empty ledger. It returns an error when the chart cannot be
// loaded.
func NewPartLedger(files fs.FS, servers *Servers, random *rand.Rand, now time.Time) (*PartLedger, error) {
	l := &PartLedger{servers: servers, random: random, parts: map[PartID]*part{}, refused: map[PartID]*part{}, proofs: newProofs[PartID](now), reports: newReportQueue()}
	def, err := chart.Load(files, "prompt-part")
	if err != nil {
		return nil, err
	}
	l.machine, err = chart.NewMachine(def, chart.Bindings[*part]{
		Tags: []chart.Tag{tagRefusesCalls, tagOneCall, tagSuspected},
		Guards: map[string]func(*part, time.Time) bool{
			"singled_out":  l.isSingledOut,
			"ends_servers": func(p *part, _ time.Time) bool { return p.endsServers() },
			"disproved":    func(p *part, _ time.Time) bool { return l.isDisproved(p) },
		},
		Actions: map[string]func(*part, time.Time){
			"quarantine":  l.quarantine,
			"start_trial": l.startTrial,
		},
	})
	if err != nil {
		return nil, fmt.Errorf("bind chart: %w", err)
	}
	return l, nil
}

// Refuses reports whether calls with the part must not be sent.
func (l *PartLedger) Refuses(id PartID) bool {
	return l.refused[id] != nil
}

// OneAtATime reports whether calls with the part may be sent one at a time only, because it is
// watched or on trial.
func (l *PartLedger) OneAtATime(id PartID) bool {
	p := l.parts[id]
	return p != nil && p.chart.Is(tagOneCall)
}

// RetryAt returns when this node tries a quarantined part again, or the zero time.
func (l *PartLedger) RetryAt(id PartID) time.Time {
	if !l.Refuses(id) {
		return time.Time{}
	}
	return l.parts[id].chart.TimeoutAt
}

// Counts returns the numbers of suspect parts and of those that are quarantined.
func (l *PartLedger) Counts() (suspects, quarantined int) {
	for _, p := range l.parts {
		if p.isSuspect() {
			suspects++
		}
	}
	return suspects, len(l.refused)
}

// ObserveCall records whether a call was broken off before its server had shown that the
// call does not crash it.
func (l *PartLedger) ObserveCall(now time.Time, broken bool) {
	l.rate.observe(now, broken)
}

// RecordCrash records a crash that may be due to a part. A crash that a quarantined part
// explains, and one before a proof of the part, do not count.
func (l *PartLedger) RecordCrash(now time.Time, c PartCrash) {
	if !c.isRecent(now) || l.isContradicted(now, c.Part, c.BrokeAt) || l.servers.Disproves(c.Server, c.BrokeAt) || l.isExplained(c) {
		return
	}
	c.Proven = l.servers.isProven(c.Server, c.BrokeAt)
	p := l.parts[c.Part]
	if p == nil {
		if p = l.add(now, c.Part); p == nil {
			return
		}
	}
	if p.isOnTrial() && c.BrokeAt.Before(p.chart.Entered) {
		return
	}
	var added bool
	if p.crashes, added = p.crashes.add(c); !added {
		return
	}
	p.depth = max(p.depth, c.Depth)
	l.reports.addCrash(c)
	l.fire(p, "crash", now)
	if p.chart.Is(tagRefusesCalls) {
		l.dropExplained(now, p)
	}
}

// IsProvenSince reports whether a server responded to a call with the part after a time.
func (l *PartLedger) IsProvenSince(id PartID, at time.Time) bool {
	return l.proofs.last(id).After(at)
}

// RecordEnd records that a server ended, which proves its crashes to be one.
func (l *PartLedger) RecordEnd(now time.Time, server fleet.ServerID) {
	for _, p := range l.parts {
		proven := false
		p.crashes = slices.DeleteFunc(p.crashes, func(c PartCrash) bool {
			again := proven && c.Server == server
			proven = proven || c.Server == server && l.servers.isProven(server, c.BrokeAt)
			return again
		})
		for i, c := range p.crashes {
			p.crashes[i].Proven = c.Proven || c.Server == server && proven
		}
		if proven {
			l.fire(p, "end", now)
		}
	}
}

// RecordResponse forgets the crashes of a server that its last response disproves.
func (l *PartLedger) RecordResponse(now time.Time, server fleet.ServerID) {
	for _, p := range l.parts {
		before := len(p.crashes)
		if !p.isSuspect() {
			continue
		}
		p.crashes = slices.DeleteFunc(p.crashes, func(c PartCrash) bool { return c.Server == server && l.servers.Disproves(server, c.BrokeAt) })
		if len(p.crashes) < before {
			l.clear(now, p)
		}
	}
}

// RecordProof records that a server responded to a call with a part.
func (l *PartLedger) RecordProof(now time.Time, proof PartProof) {
	if proof.At.After(now) || !l.proofs.record(now, proof.Part, proof.At) {
		return
	}
	p := l.parts[proof.Part]
	if p == nil {
		return
	}
	before := len(p.crashes)
	p.crashes = p.crashes.after(proof.At)
	if len(p.crashes) == before && !l.isDisproved(p) {
		return
	}
	l.reports.addProof(now, proof)
	l.clear(now, p)
}

// Learn records that another node quarantined a part.
func (l *PartLedger) Learn(now time.Time, q PartQuarantine) {
	if now.Sub(q.At) >= l.machine.Timeout(tagRefusesCalls) || l.isContradicted(now, q.Part, q.At) {
		return
	}
	if q.At.After(now) {
		q.At = now
	}
	p := l.parts[q.Part]
	if p == nil {
		if p = l.add(now, q.Part); p == nil {
			return
		}
	}
	if !p.quarantinedAt.IsZero() && !q.At.After(p.quarantinedAt.Add(quarantineTolerance)) {
		return
	}
	p.quarantinedAt = q.At
	l.fire(p, "learn", now)
	l.limitQuarantine(p)
	l.dropExplained(now, p)
	l.reports.addQuarantine(q)
	l.recordChange(p, true)
}

// Review quarantines the parts that are singled out by the crashes so far, fires the
// expired timeouts, and returns the changes since the last call. The caller must not keep
// the slice.
func (l *PartLedger) Review(now time.Time) []PartChange {
	for _, p := range l.parts {
		if expired, err := l.machine.Expire(&p.chart, p, now); expired && err == nil {
			l.index(p)
		}
	}
	for _, p := range l.candidates(now) {
		l.fire(p, "review", now)
	}
	changes := l.changes
	l.changes = l.changes[:0]
	return changes
}

// candidates returns the parts with enough crashes, those with the most first.
func (l *PartLedger) candidates(now time.Time) []*part {
	needed := l.rate.neededCrashes()
	settled := now.Add(-settlingTime)
	var candidates []*part
	for _, p := range l.parts {
		if len(p.crashes) >= needed && p.isSuspect() && l.events(p, settled) >= needed {
			candidates = append(candidates, p)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if first, second := l.events(a, settled), l.events(b, settled); first != second {
			return first > second
		}
		return a.isMoreSpecific(b)
	})
	return candidates
}

// events returns the number of crashes of a part until a time. Crashes of one moment count
// separately when the servers ended, and they did not lose power together: then a server ends
// with them that had no call with the part, or none serves on.
func (l *PartLedger) events(p *part, until time.Time) int {
	return p.crashes.events(until, func(c PartCrash) bool {
		return c.Proven && !l.servers.endedBeside(c.Server, p.crashes.hasServer) && l.servers.servesBeside(c.BrokeAt)
	})
}

// isMoreSpecific orders parts by their depth in the prompt. Fewer calls share a part that
// is deeper.
func (p *part) isMoreSpecific(other *part) bool {
	if p.depth != other.depth {
		return p.depth > other.depth
	}
	return p.id < other.id
}

// isSingledOut reports whether the crashes are due to the part: there are enough of them,
// and no other suspect part was in all of them. When parts come together for long,
// the most specific one is taken.
func (l *PartLedger) isSingledOut(p *part, now time.Time) bool {
	settled := now.Add(-settlingTime)
	needed := l.rate.neededCrashes()
	events := l.events(p, settled)
	if events < needed {
		return false
	}
	inseparable := events >= needed+inseparableCrashes
	for _, other := range l.parts {
		if other == p || !other.isSuspect() || !other.crashes.covers(p.crashes) {
			continue
		}
		if !inseparable || !p.crashes.covers(other.crashes) || other.isMoreSpecific(p) {
			return false
		}
	}
	return true
}

// isDisproved reports whether a server responded to a call with the part since the crashes
// and the quarantine, or whether another part explains the crashes.
func (l *PartLedger) isDisproved(p *part) bool {
	if len(p.crashes) > 0 {
		return false
	}
	return p.quarantinedAt.IsZero() || l.proofs.last(p.id).After(p.quarantinedAt)
}

// isContradicted reports whether a part was proven after the time of a report. The proof
// is sent to the peers, which may not know it.
func (l *PartLedger) isContradicted(now time.Time, id PartID, at time.Time) bool {
	proven := l.proofs.last(id)
	if !proven.After(at) {
		return false
	}
	l.reports.addProof(now, PartProof{Part: id, At: proven})
	return true
}

// isExplained reports whether a quarantined part was in the same crash.
func (l *PartLedger) isExplained(c PartCrash) bool {
	for _, p := range l.refused {
		if p.id != c.Part && p.crashes.contain(c) {
			return true
		}
	}
	return false
}

// quarantine is the action of each transition that quarantines a part.
func (l *PartLedger) quarantine(p *part, now time.Time) {
	p.quarantinedAt = now
	l.limitQuarantine(p)
	l.dropExplained(now, p)
	l.reports.addQuarantine(PartQuarantine{Part: p.id, At: now})
	l.recordChange(p, false)
}

// startTrial is the action of the end of a quarantine.
func (l *PartLedger) startTrial(p *part, _ time.Time) {
	p.crashes = nil
	p.rivals = nil
	l.recordChange(p, false)
}

// limitQuarantine sets when this node tries the part again.
func (l *PartLedger) limitQuarantine(p *part) {
	timeout := l.machine.Timeout(tagRefusesCalls)
	jitter := time.Duration((l.random.Float64()*2 - 1) * trialJitter * float64(timeout))
	p.chart.TimeoutAt = p.quarantinedAt.Add(timeout + jitter)
}

// dropExplained forgets the crashes of other suspects that a quarantined part explains. A
// part that was quarantined before, and whose crashes were all crashes of this part too, is
// tried again: crashes went on without it.
func (l *PartLedger) dropExplained(now time.Time, culprit *part) {
	for _, p := range l.parts {
		if p != culprit && p.isSuspect() {
			if p.crashes.covers(culprit.crashes) && len(culprit.rivals) < maxRivals {
				culprit.rivals = append(culprit.rivals, p.id)
			}
			p.crashes = p.crashes.without(culprit.crashes)
			l.clear(now, p)
		}
	}
	for _, p := range l.refused {
		if p != culprit && slices.Contains(p.rivals, culprit.id) {
			l.fire(p, "try", now)
		}
	}
}

// clear removes a part when nothing speaks against it any more.
func (l *PartLedger) clear(now time.Time, p *part) {
	suspect := p.isSuspect()
	l.fire(p, "clear", now)
	if !suspect && l.parts[p.id] == nil {
		l.recordChange(p, false)
	}
}

func (l *PartLedger) recordChange(p *part, learned bool) {
	change := PartChange{
		Part: p.id, Quarantined: p.chart.Is(tagRefusesCalls), Trial: p.isOnTrial(), At: p.quarantinedAt,
		Crashes: len(p.crashes), Needed: l.rate.neededCrashes(), Own: p.crashes.hasOwn(), Learned: learned,
	}
	if len(p.crashes) > 0 {
		change.Server = p.crashes[len(p.crashes)-1].Server
	}
	l.changes = append(l.changes, change)
}

// fire applies an event. One that the chart refuses changes nothing.
func (l *PartLedger) fire(p *part, event chart.Event, now time.Time) {
	_ = l.machine.Fire(&p.chart, p, event, now)
	l.index(p)
}

// index updates where a part is found after an event.
func (l *PartLedger) index(p *part) {
	delete(l.refused, p.id)
	switch {
	case l.machine.IsFinal(&p.chart):
		delete(l.parts, p.id)
	case p.chart.Is(tagRefusesCalls):
		l.refused[p.id] = p
	}
}

// add returns a new suspect part, or nil when there is no room for it. A suspect with one
// crash makes room.
func (l *PartLedger) add(now time.Time, id PartID) *part {
	if len(l.parts) >= maxParts && !l.dropSuspect() {
		return nil
	}
	p := &part{id: id, chart: l.machine.Start(now)}
	l.parts[id] = p
	return p
}

// dropSuspect removes any suspect with one crash and reports whether there was one.
func (l *PartLedger) dropSuspect() bool {
	for _, p := range l.parts {
		if p.isSuspect() && len(p.crashes) <= 1 {
			delete(l.parts, p.id)
			return true
		}
	}
	return false
}
