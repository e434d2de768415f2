package quarantine

import (
	"bytes"
	"sort"
	"time"

	"tanagerspread/core/fleet"
)

const (
	// SuspicionTTL is how long a fingerprint stays suspect.
	SuspicionTTL = 10 * time.Minute
	// QuarantineTTL is how long a fingerprint stays quarantined.
	QuarantineTTL = 24 * time.Hour
	// ClearedTTL is how long a node ignores a peer's suspicion of a fingerprint after
	// it was cleared. It is longer than a message between peers takes, so that a late
	// copy does not make the fingerprint suspect again.
	ClearedTTL = 30 * time.Second
	// maxCleared bounds the cleared fingerprints that a node remembers.
	maxCleared = 4096
	// maxSuspects bounds the suspect fingerprints that a node remembers.
	maxSuspects = 4096
	// maxQuarantined bounds the quarantined fingerprints of a node.
	maxQuarantined = 4096
	// MaxDigestEntries bounds the entries that one message carries to a peer.
	MaxDigestEntries = 64
)

// Kind is the state of a fingerprint.
type Kind int

// The kinds of entries.
const (
	// Suspect fingerprints were running on a server when it crashed.
	Suspect Kind = iota + 1
	// Quarantined fingerprints crashed two servers and must not run.
	Quarantined
	// Cleared fingerprints were suspect and then ran without a crash. They are
	// remembered for ClearedTTL.
	Cleared
)

// Entry is the state of one fingerprint as nodes exchange it.
type Entry struct {
	Fingerprint Fingerprint
	Kind        Kind
	// Server is the backend server whose crash made the fingerprint suspect or
	// quarantined.
	Server fleet.ServerID
	// ExpiresAt is when the entry expires.
	ExpiresAt time.Time
}

// Run is one run of a fingerprint on a backend server.
type Run struct {
	Fingerprint Fingerprint
	StartedAt   time.Time
}

// List holds the suspect and quarantined fingerprints of a node.
type List struct {
	entries map[Fingerprint]learnedEntry
	// cleared has the time until which a peer's suspicion of a fingerprint is ignored.
	cleared     map[Fingerprint]time.Time
	suspects    int
	quarantined int
}

// learnedEntry is an entry with the time at which this node learned it.
type learnedEntry struct {
	Entry
	learnedAt time.Time
}

// NewList returns an empty list.
func NewList() *List {
	return &List{entries: map[Fingerprint]learnedEntry{}, cleared: map[Fingerprint]time.Time{}}
}

// IsQuarantined reports whether the fingerprint must not run.
func (l *List) IsQuarantined(f Fingerprint) bool {
	return l.entries[f].Kind == Quarantined
}

// IsSuspect reports whether the fingerprint is suspect.
func (l *List) IsSuspect(f Fingerprint) bool {
	return l.entries[f].Kind == Suspect
}

// SuspectSince returns when this node learned that the fingerprint is suspect,
// or the zero time when it is not.
func (l *List) SuspectSince(f Fingerprint) time.Time {
	if !l.IsSuspect(f) {
		return time.Time{}
	}
	return l.entries[f].learnedAt
}

// RecordCrash records the crash of a server that ran the given fingerprints and
// returns the entries that changed. If exactly one of them was already suspect
// because of an earlier crash, the crash is attributed to it: it is
// quarantined, and the others stay as they are. Otherwise each fingerprint
// becomes or stays suspect. Nothing changes when another node has already
// attributed this crash.
func (l *List) RecordCrash(now time.Time, server fleet.ServerID, running []Run) []Entry {
	if cause, ok := l.attributeCrash(server, running); ok {
		e := Entry{Fingerprint: cause, Kind: Quarantined, Server: server, ExpiresAt: now.Add(QuarantineTTL)}
		l.put(now, e)
		return []Entry{e}
	}
	if l.alreadyAttributed(server, running) {
		return nil
	}
	var changed []Entry
	for _, r := range running {
		if _, listed := l.entries[r.Fingerprint]; listed {
			continue
		}
		e := Entry{Fingerprint: r.Fingerprint, Kind: Suspect, Server: server, ExpiresAt: now.Add(SuspicionTTL)}
		if l.put(now, e) {
			changed = append(changed, e)
		}
	}
	return changed
}

// alreadyAttributed reports whether a fingerprint was quarantined because of
// this server after one of the runs started, so that the crash is already
// attributed to it.
func (l *List) alreadyAttributed(server fleet.ServerID, running []Run) bool {
	for _, e := range l.entries {
		if e.Kind != Quarantined || e.Server != server {
			continue
		}
		for _, r := range running {
			if !e.learnedAt.Before(r.StartedAt) {
				return true
			}
		}
	}
	return false
}

// attributeCrash returns the fingerprint that was suspect because of an earlier
// crash, and whether there is exactly one.
func (l *List) attributeCrash(server fleet.ServerID, running []Run) (Fingerprint, bool) {
	var suspect Fingerprint
	count := 0
	for _, r := range running {
		if l.suspectOfEarlierCrash(server, r) && (count == 0 || r.Fingerprint != suspect) {
			suspect = r.Fingerprint
			count++
		}
	}
	return suspect, count == 1
}

// suspectOfEarlierCrash reports whether the fingerprint of the run is suspect
// because of an earlier crash, and not because of a late report of the same
// crash. The crash is another one when it is on another server, or when the run
// started after this node learned of the suspicion.
func (l *List) suspectOfEarlierCrash(server fleet.ServerID, r Run) bool {
	if !l.IsSuspect(r.Fingerprint) {
		return false
	}
	e := l.entries[r.Fingerprint]
	return e.Server != server || r.StartedAt.After(e.learnedAt)
}

// MergeEntry adds an entry from another node and reports whether it changed the
// list. A quarantine replaces a suspicion; of two suspicions the first one is
// kept, and none is added within ClearedTTL of a clear. The expiry is limited to the
// one that this node would set itself.
func (l *List) MergeEntry(now time.Time, e Entry) bool {
	if e.Kind == Cleared {
		return l.mergeClear(now, e.Fingerprint)
	}
	if e.Kind == Suspect && l.isCleared(now, e.Fingerprint) {
		return false
	}
	ttl := SuspicionTTL
	if e.Kind == Quarantined {
		ttl = QuarantineTTL
	}
	if e.ExpiresAt.After(now.Add(ttl)) {
		e.ExpiresAt = now.Add(ttl)
	}
	if !e.ExpiresAt.After(now) {
		return false
	}
	before, listed := l.entries[e.Fingerprint]
	if listed && (before.Kind == Quarantined || e.Kind != Quarantined) {
		return false
	}
	return l.put(now, e)
}

// Clear removes a suspect fingerprint that has run without a crash and reports
// whether it was suspect.
func (l *List) Clear(now time.Time, f Fingerprint) bool {
	if !l.IsSuspect(f) {
		return false
	}
	l.remove(f)
	l.rememberClear(now, f)
	return true
}

// mergeClear clears a fingerprint that another node cleared and reports whether this
// is news. It is remembered also when the fingerprint is not suspect here, because the
// message with the suspicion may arrive later.
func (l *List) mergeClear(now time.Time, f Fingerprint) bool {
	if l.IsQuarantined(f) {
		return false
	}
	known := l.isCleared(now, f)
	return l.Clear(now, f) || !known && l.rememberClear(now, f)
}

// rememberClear remembers a clear and reports whether there was room for it.
func (l *List) rememberClear(now time.Time, f Fingerprint) bool {
	if _, listed := l.cleared[f]; !listed && len(l.cleared) >= maxCleared {
		return false
	}
	l.cleared[f] = now.Add(ClearedTTL)
	return true
}

// isCleared reports whether the fingerprint was cleared within ClearedTTL.
func (l *List) isCleared(now time.Time, f Fingerprint) bool {
	return now.Before(l.cleared[f])
}

// HasHighestWeight reports whether no suspect has a higher weight than the
// fingerprint. With the weights of one server, nodes that list the same suspects
// agree on the one that may run there.
func (l *List) HasHighestWeight(f Fingerprint, weight func(Fingerprint) uint64) bool {
	own := weight(f)
	for other, e := range l.entries {
		if e.Kind == Suspect && weight(other) > own {
			return false
		}
	}
	return true
}

// Expire removes the entries and the clears that have expired.
func (l *List) Expire(now time.Time) {
	for f, until := range l.cleared {
		if !now.Before(until) {
			delete(l.cleared, f)
		}
	}
	for f, e := range l.entries {
		if !e.ExpiresAt.After(now) {
			l.remove(f)
		}
	}
}

// DigestEntries returns the entries to gossip to a peer, at most
// MaxDigestEntries: quarantined ones first, then suspects, each with the
// latest expiry first.
func (l *List) DigestEntries() []Entry {
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, e.Entry)
	}
	sort.Slice(out, func(i, j int) bool { return digestOrder(out[i], out[j]) })
	return out[:min(len(out), MaxDigestEntries)]
}

// Counts returns the numbers of suspect and quarantined fingerprints.
func (l *List) Counts() (suspects, quarantined int) {
	return l.suspects, l.quarantined
}

func digestOrder(a, b Entry) bool {
	if a.Kind != b.Kind {
		return a.Kind == Quarantined
	}
	if !a.ExpiresAt.Equal(b.ExpiresAt) {
		return a.ExpiresAt.After(b.ExpiresAt)
	}
	return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) < 0
}

// put stores an entry and reports whether it did. It does not when the number
// of entries of its kind has reached the limit.
func (l *List) put(now time.Time, e Entry) bool {
	if e.Kind == Quarantined && l.quarantined >= maxQuarantined || e.Kind == Suspect && l.suspects >= maxSuspects {
		return false
	}
	l.remove(e.Fingerprint)
	l.entries[e.Fingerprint] = learnedEntry{Entry: e, learnedAt: now}
	l.updateCounts(e, 1)
	return true
}

func (l *List) remove(f Fingerprint) {
	if e, listed := l.entries[f]; listed {
		l.updateCounts(e.Entry, -1)
		delete(l.entries, f)
	}
}

func (l *List) updateCounts(e Entry, change int) {
	if e.Kind == Quarantined {
		l.quarantined += change
		return
	}
	l.suspects += change
}
