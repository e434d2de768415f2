package quarantine

import (
	"slices"
	"time"
)

// MergeEntry adds an entry from another node and reports whether it changed the list. The
// expiry is limited to the one that this node would set itself.
func (l *List) MergeEntry(now time.Time, e Entry) bool {
	switch e.Kind {
	case Cleared:
		return l.mergeClear(now, e)
	case Suspect:
		return l.mergeCrash(now, e)
	case Quarantined:
		return l.mergeQuarantine(now, e)
	}
	return false
}

// mergeCrash adds a crash that another node saw, unless the fingerprint was served or the
// server responded since.
func (l *List) mergeCrash(now time.Time, e Entry) bool {
	if !e.ExpiresAt.After(now) {
		return false
	}
	c := runCrash{server: e.Server, at: e.ExpiresAt.Add(-SuspicionTTL)}
	if c.at.After(now) {
		c.at = now
	}
	if !c.at.After(l.served.last(e.Fingerprint).Add(reportTolerance)) || l.servers.Disproves(e.Server, c.at) {
		return false
	}
	p := l.entries[e.Fingerprint]
	if p != nil && (p.chart.Is(tagRefusesRuns) || c.at.Before(p.quarantinedAt) || p.crashes.contain(c)) {
		return false
	}
	return len(l.recordCrash(now, e.Fingerprint, c)) > 0
}

// contain reports whether a report is one of these crashes.
func (cs crashes) contain(c runCrash) bool {
	return slices.ContainsFunc(cs, func(other runCrash) bool {
		return c.server == other.server && c.at.Sub(other.at).Abs() < SameCrashTime
	})
}

// mergeQuarantine quarantines a fingerprint that another node quarantined. A pause lasts
// longer here.
func (l *List) mergeQuarantine(now time.Time, e Entry) bool {
	until := e.ExpiresAt
	if latest := now.Add(QuarantineTTL); until.After(latest) {
		until = latest
	}
	if !until.After(now) || l.quarantined >= maxQuarantined {
		return false
	}
	p := l.entries[e.Fingerprint]
	if p == nil {
		p = l.start(now, e.Fingerprint)
	}
	p.learnedUntil = until
	if !l.machine.Can(&p.chart, p, "learn", now) {
		return false
	}
	l.fire(p, "learn", now)
	p.server, p.learnedAt, p.quarantinedAt = e.Server, now, now
	p.chart.TimeoutAt = until
	if p.stored = p.stored || p.chart.Is(tagLasting); !p.chart.Is(tagLasting) {
		p.chart.TimeoutAt = until.Add(time.Duration(learnedPauseShare * float64(until.Sub(now))))
	}
	return true
}

// mergeClear applies what another node saw: a run that was served, or a response of a
// server. It reports whether that is news. A clear is remembered also when the fingerprint
// is not suspect here, because the message with the suspicion may arrive later.
func (l *List) mergeClear(now time.Time, e Entry) bool {
	at := e.ExpiresAt.Add(-ClearedTTL)
	if e.ExpiresAt.IsZero() || at.After(now) {
		at = now
	}
	if e.Server != "" {
		news := at.Sub(l.servers.responded.last(e.Server)) >= relayInterval
		l.servers.recordResponse(now, e.Server, at)
		return l.forgetCrashes(now, e.Server) || news
	}
	p := l.entries[e.Fingerprint]
	news := at.Sub(l.served.last(e.Fingerprint)) >= relayInterval
	if news {
		l.served.record(now, e.Fingerprint, at)
	}
	return p != nil && l.clear(now, p, at) || news
}
