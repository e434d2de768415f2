package quarantine

import (
	"slices"
	"time"

	"tanagerspread/core/fleet"
)

const (
	// InFlightMargin is how long after a crash responses that were on their way may arrive.
	InFlightMargin = 50 * time.Millisecond
	// reportTolerance is the inaccuracy of the times that peers report.
	reportTolerance = 200 * time.Millisecond
	// relayInterval is the shortest time between two proofs of one fingerprint or server
	// of which both are relayed.
	relayInterval = time.Second
)

// runCrash is a server that seemed to crash while a fingerprint was in progress there.
type runCrash struct {
	server fleet.ServerID
	at     time.Time
	// own is true when the run was one of this node.
	own bool
}

// entry returns the report of the crash to peers.
func (c runCrash) entry(f Fingerprint) Entry {
	return Entry{Fingerprint: f, Kind: Suspect, Server: c.server, ExpiresAt: c.at.Add(SuspicionTTL)}
}

// crashes are the crashes in which one fingerprint was in progress, sorted by time.
type crashes []runCrash

func (cs crashes) hasOwn() bool {
	return slices.ContainsFunc(cs, func(c runCrash) bool { return c.own })
}

// with returns the crashes with another one, at most maxPartCrashes.
func (cs crashes) with(c runCrash) crashes {
	cs = append(cs, c)
	slices.SortStableFunc(cs, func(a, b runCrash) int { return a.at.Compare(b.at) })
	return cs[max(len(cs)-maxPartCrashes, 0):]
}

func (cs crashes) without(drop func(runCrash) bool) crashes {
	return slices.DeleteFunc(cs, drop)
}

// events returns the number of crashes, counting those that follow each other within
// simultaneousTime once, because they may have one cause outside, and those of a server that
// ended once.
func (l *List) events(p *poison) int {
	count := 0
	var last time.Time
	var ended []fleet.ServerID
	for _, c := range p.crashes {
		if slices.Contains(ended, c.server) {
			continue
		}
		if l.servers.isProven(c.server, c.at) {
			ended = append(ended, c.server)
		}
		if count == 0 || c.at.Sub(last) > simultaneousTime {
			count++
			last = c.at
		}
	}
	return count
}

// RecordCrash records the apparent crash of a server that ran the given fingerprints and
// returns the entries that changed. If exactly one of them was already suspect because of
// an earlier crash, the crash counts against it alone. Otherwise each fingerprint becomes
// or stays suspect. Nothing changes when another node has already attributed this crash.
func (l *List) RecordCrash(now time.Time, server fleet.ServerID, running []Run) []Entry {
	if culprit, ok := l.attribute(server, running); ok {
		return l.recordOwnCrash(now, server, culprit)
	}
	if l.alreadyAttributed(server, running) {
		return nil
	}
	var changed []Entry
	for _, r := range running {
		if l.entries[r.Fingerprint] == nil {
			changed = append(changed, l.recordOwnCrash(now, server, r)...)
		}
	}
	return changed
}

// recordOwnCrash records the crash of a server under a run of this node. One that a response
// of the server, or a run that was served since, disproves does not count.
func (l *List) recordOwnCrash(now time.Time, server fleet.ServerID, r Run) []Entry {
	c := runCrash{server: server, at: now, own: true}
	if !r.BrokeAt.IsZero() {
		c.at = r.BrokeAt
	}
	if !r.BrokeAt.IsZero() && l.served.last(r.Fingerprint).After(r.StartedAt) || l.servers.Disproves(server, c.at) {
		return nil
	}
	return l.recordCrash(now, r.Fingerprint, c)
}

func (l *List) recordCrash(now time.Time, f Fingerprint, c runCrash) []Entry {
	p := l.add(now, f)
	if p == nil {
		return nil
	}
	p.crashes = p.crashes.with(c)
	p.server = c.server
	p.learnedAt = now
	l.fire(p, "crash", now)
	return []Entry{c.entry(f)}
}

// alreadyAttributed reports whether a fingerprint with an earlier crash was in progress at
// the crash of this server, after one of the runs started.
func (l *List) alreadyAttributed(server fleet.ServerID, running []Run) bool {
	for _, p := range l.entries {
		if p.server != server || !p.chart.Is(tagRefusesRuns) && !p.chart.Is(tagOnTrial) && len(p.crashes) < neededCrashes {
			continue
		}
		for _, r := range running {
			if !p.learnedAt.Before(r.StartedAt) {
				return true
			}
		}
	}
	return false
}

// attribute returns the fingerprint that was suspect because of an earlier crash, and
// whether there is exactly one. Those that were served lately count when there is no other.
func (l *List) attribute(server fleet.ServerID, running []Run) (Run, bool) {
	var suspects, served []Run
	for _, r := range running {
		list := &suspects
		if l.wasServed(r.Fingerprint) {
			list = &served
		}
		same := func(other Run) bool { return other.Fingerprint == r.Fingerprint }
		if l.suspectOfEarlierCrash(server, r) && !slices.ContainsFunc(*list, same) {
			*list = append(*list, r)
		}
	}
	if len(suspects) == 0 {
		suspects = served
	}
	if len(suspects) != 1 {
		return Run{}, false
	}
	return suspects[0], true
}

// suspectOfEarlierCrash reports whether the fingerprint of the run is suspect
// because of an earlier crash, and not because of a late report of the same
// crash. The crash is another one when it is on another server, or when the run
// started after this node learned of the crash.
func (l *List) suspectOfEarlierCrash(server fleet.ServerID, r Run) bool {
	p := l.entries[r.Fingerprint]
	if p == nil || p.chart.Is(tagRefusesRuns) {
		return false
	}
	return !slices.ContainsFunc(p.crashes, func(c runCrash) bool { return c.server == server && !r.StartedAt.After(c.at) })
}

// RecordServed records that a run of a fingerprint was served, and returns the entries that
// changed. A quarantined fingerprint is cleared only by a run that ends later.
func (l *List) RecordServed(now time.Time, f Fingerprint) []Entry {
	l.served.record(now, f, now)
	p := l.entries[f]
	if p == nil {
		return nil
	}
	cleared := Entry{Fingerprint: f, Kind: Cleared, ExpiresAt: now.Add(ClearedTTL), Stored: p.stored}
	l.clear(now, p, now)
	return []Entry{cleared}
}

// clear forgets the crashes until a time at which the fingerprint was served, and reports
// whether that changed anything.
func (l *List) clear(now time.Time, p *poison, servedAt time.Time) bool {
	before := len(p.crashes)
	p.crashes = p.crashes.without(func(c runCrash) bool { return !c.at.After(servedAt) })
	cleared := len(p.crashes) == 0 && (p.quarantinedAt.IsZero() || servedAt.After(p.quarantinedAt))
	if cleared {
		l.fire(p, "clear", now)
	}
	return cleared || len(p.crashes) < before
}

// RecordResponse records a response of a server, which did not crash shortly before, and
// returns what to tell the peers.
func (l *List) RecordResponse(now time.Time, server fleet.ServerID) []Entry {
	l.servers.recordResponse(now, server, now)
	if l.forgetCrashes(now, server) {
		return []Entry{AliveEntry(now, server)}
	}
	return nil
}

// AliveEntry returns the report to peers that a server responded at a time.
func AliveEntry(at time.Time, server fleet.ServerID) Entry {
	return Entry{Kind: Cleared, Server: server, ExpiresAt: at.Add(ClearedTTL)}
}

// forgetCrashes forgets the crashes of a server that its last response disproves, and
// reports whether there were any.
func (l *List) forgetCrashes(now time.Time, server fleet.ServerID) bool {
	forgot := false
	for _, p := range l.entries {
		forgot = l.forgetCrash(now, p, server) || forgot
	}
	return forgot
}

func (l *List) forgetCrash(now time.Time, p *poison, server fleet.ServerID) bool {
	before := len(p.crashes)
	if before == 0 || p.chart.Is(tagRefusesRuns) {
		return false
	}
	p.crashes = p.crashes.without(func(c runCrash) bool { return c.server == server && l.servers.Disproves(server, c.at) })
	if len(p.crashes) == 0 && before > 0 && !p.chart.Is(tagOnTrial) {
		l.fire(p, "clear", now)
	}
	return len(p.crashes) < before
}
