package quarantine

import (
	"bytes"
	"sort"
	"time"

	"tanagerspread/core/fleet"
)

const (
	// SuspicionAge is how long a fingerprint stays suspect.
	SuspicionAge = 10 * time.Minute
	// QuarantineAge is how long a fingerprint stays quarantined.
	QuarantineAge = 24 * time.Hour
	// maxSuspects bounds the suspect fingerprints that a node remembers.
	maxSuspects = 4096
	// maxQuarantined bounds the quarantined fingerprints of a node.
	maxQuarantined = 4096
	// MaxShared bounds the entries that one message carries to a peer.
	MaxShared = 64
)

// Kind tells what a node knows of a fingerprint.
type Kind int

// The kinds of entries.
const (
	// Suspected fingerprints may have crashed a server.
	Suspected Kind = iota + 1
	// Banned fingerprints crashed two servers and must not run.
	Banned
	// Cleared fingerprints were suspect and then ran to their end.
	Cleared
)

// Entry is one fingerprint as exchanged between nodes.
type Entry struct {
	Fingerprint Fingerprint
	Kind        Kind
	// Server is the backend server that the suspect may have crashed.
	Server fleet.ServerID
	// Until is when the entry expires.
	Until time.Time
}

// Run is one run of a fingerprint on a backend server.
type Run struct {
	Fingerprint Fingerprint
	Began       time.Time
}

// List holds the suspect and quarantined fingerprints that a node knows.
type List struct {
	entries     map[Fingerprint]known
	suspects    int
	quarantined int
}

// known is an entry and when this node learned it.
type known struct {
	Entry
	learned time.Time
}

// NewList returns an empty list.
func NewList() *List {
	return &List{entries: map[Fingerprint]known{}}
}

// Quarantined reports whether the fingerprint must not run.
func (l *List) Quarantined(f Fingerprint) bool {
	return l.entries[f].Kind == Banned
}

// Suspect reports whether the fingerprint may have crashed a server.
func (l *List) Suspect(f Fingerprint) bool {
	return l.entries[f].Kind == Suspected
}

// SuspectSince returns when this node learned that the fingerprint is suspect,
// or the zero time when it is not.
func (l *List) SuspectSince(f Fingerprint) time.Time {
	if !l.Suspect(f) {
		return time.Time{}
	}
	return l.entries[f].learned
}

// Died records the death of a server that ran the given fingerprints and
// returns the entries that changed. A single fingerprint that was suspect of
// an earlier death is named as the cause, and the others are not blamed.
// Otherwise every fingerprint becomes or stays suspect. Nothing changes when
// another node has already named the cause of this death.
func (l *List) Died(now time.Time, server fleet.ServerID, running []Run) []Entry {
	if named, ok := l.named(server, running); ok {
		e := Entry{Fingerprint: named, Kind: Banned, Server: server, Until: now.Add(QuarantineAge)}
		l.put(now, e)
		return []Entry{e}
	}
	if l.explained(server, running) {
		return nil
	}
	var changed []Entry
	for _, r := range running {
		if _, listed := l.entries[r.Fingerprint]; listed {
			continue
		}
		e := Entry{Fingerprint: r.Fingerprint, Kind: Suspected, Server: server, Until: now.Add(SuspicionAge)}
		if l.put(now, e) {
			changed = append(changed, e)
		}
	}
	return changed
}

// explained reports whether a fingerprint was quarantined because of the
// server while one of the runs was in progress.
func (l *List) explained(server fleet.ServerID, running []Run) bool {
	for _, e := range l.entries {
		if e.Kind != Banned || e.Server != server {
			continue
		}
		for _, r := range running {
			if !e.learned.Before(r.Began) {
				return true
			}
		}
	}
	return false
}

// named returns the only fingerprint that was suspect of an earlier death.
func (l *List) named(server fleet.ServerID, running []Run) (Fingerprint, bool) {
	var found Fingerprint
	count := 0
	for _, r := range running {
		if l.earlierSuspect(server, r) && (count == 0 || r.Fingerprint != found) {
			found = r.Fingerprint
			count++
		}
	}
	return found, count == 1
}

// earlierSuspect tells a second death from a late report of the first one: it
// is on another server, or the run began after the suspicion was known.
func (l *List) earlierSuspect(server fleet.ServerID, r Run) bool {
	if !l.Suspect(r.Fingerprint) {
		return false
	}
	e := l.entries[r.Fingerprint]
	return e.Server != server || r.Began.After(e.learned)
}

// Seen adds an entry from another node and reports whether it changed the
// list. A quarantine replaces a suspicion; the first known suspicion is kept.
// An expiry further away than the node itself would set is cut.
func (l *List) Seen(now time.Time, e Entry) bool {
	if e.Kind == Cleared {
		return l.Clear(e.Fingerprint)
	}
	age := SuspicionAge
	if e.Kind == Banned {
		age = QuarantineAge
	}
	if e.Until.After(now.Add(age)) {
		e.Until = now.Add(age)
	}
	if !e.Until.After(now) {
		return false
	}
	before, listed := l.entries[e.Fingerprint]
	if listed && (before.Kind == Banned || e.Kind != Banned) {
		return false
	}
	return l.put(now, e)
}

// Clear ends the suspicion against a fingerprint that ran to its end and
// reports whether there was one.
func (l *List) Clear(f Fingerprint) bool {
	if !l.Suspect(f) {
		return false
	}
	l.remove(f)
	return true
}

// First reports whether no other suspect has a higher weight at a server.
// Nodes that know the same suspects agree on the one that may run there.
func (l *List) First(f Fingerprint, weight func(Fingerprint) uint64) bool {
	own := weight(f)
	for other, e := range l.entries {
		if e.Kind == Suspected && weight(other) > own {
			return false
		}
	}
	return true
}

// Expire drops the entries whose time has passed.
func (l *List) Expire(now time.Time) {
	for f, e := range l.entries {
		if !e.Until.After(now) {
			l.remove(f)
		}
	}
}

// Shared returns the entries for a message to a peer: quarantined ones first,
// then suspects, the youngest first, at most MaxShared.
func (l *List) Shared() []Entry {
	out := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, e.Entry)
	}
	sort.Slice(out, func(i, j int) bool { return sharedBefore(out[i], out[j]) })
	return out[:min(len(out), MaxShared)]
}

// Counts returns the numbers of suspect and quarantined fingerprints.
func (l *List) Counts() (suspects, quarantined int) {
	return l.suspects, l.quarantined
}

func sharedBefore(a, b Entry) bool {
	if a.Kind != b.Kind {
		return a.Kind == Banned
	}
	if !a.Until.Equal(b.Until) {
		return a.Until.After(b.Until)
	}
	return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) < 0
}

// put stores an entry unless its kind has reached its bound.
func (l *List) put(now time.Time, e Entry) bool {
	if e.Kind == Banned && l.quarantined >= maxQuarantined || e.Kind == Suspected && l.suspects >= maxSuspects {
		return false
	}
	l.remove(e.Fingerprint)
	l.entries[e.Fingerprint] = known{Entry: e, learned: now}
	l.count(e, 1)
	return true
}

func (l *List) remove(f Fingerprint) {
	if e, listed := l.entries[f]; listed {
		l.count(e.Entry, -1)
		delete(l.entries, f)
	}
}

func (l *List) count(e Entry, change int) {
	if e.Kind == Banned {
		l.quarantined += change
		return
	}
	l.suspects += change
}
