package quarantine

import (
	"bytes"
	"fmt"
	"io/fs"
	"sort"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/fleet"
)

const (
	// SuspicionTTL is how long a fingerprint stays suspect after a crash.
	SuspicionTTL = 10 * time.Minute
	// QuarantineTTL is the longest time for which a fingerprint stays quarantined.
	QuarantineTTL = 10 * time.Minute
	// ClearedTTL is how long after a run was served, or after a response of a server, peers
	// are told of it.
	ClearedTTL = 30 * time.Second
	// neededCrashes is the number of crashes after which a fingerprint is quarantined,
	// neededThoughServed that for one which was served lately. Of 100 servers that reset 45
	// of 100 responses, two resets in a row are common, and five are rare.
	neededCrashes      = 2
	neededThoughServed = 5
	// learnedPauseShare is by how much longer other nodes pause a fingerprint than the one
	// that paused it, so that this node tries it first.
	learnedPauseShare = 0.5
	// maxSuspects bounds the suspect fingerprints that a node remembers.
	maxSuspects = 4096
	// maxQuarantined bounds the quarantined fingerprints of a node.
	maxQuarantined = 4096
	// MaxDigestEntries bounds the entries that one message carries to a peer.
	MaxDigestEntries = 64
)

// The tags of the chart "poison-request".
const (
	// tagRefusesRuns marks fingerprints whose runs are refused.
	tagRefusesRuns chart.Tag = "refuses_runs"
	// tagLasting marks those of them that the key-value service keeps.
	tagLasting chart.Tag = "lasting"
	// tagHeld marks fingerprints whose runs wait for a decision.
	tagHeld chart.Tag = "held"
	// tagOnTrial marks fingerprints that were quarantined and are run again, one at a time.
	tagOnTrial chart.Tag = "on_trial"
)

// Kind is the state of a fingerprint.
type Kind int

// The kinds of entries.
const (
	// Suspect fingerprints were running on a server when it seemed to crash.
	Suspect Kind = iota + 1
	// Quarantined fingerprints crashed servers and must not run.
	Quarantined
	// Cleared fingerprints were served. With a server, that server responded.
	Cleared
)

// Entry is what nodes tell each other of one fingerprint.
type Entry struct {
	Fingerprint Fingerprint
	Kind        Kind
	// Server is the backend server whose crash made the fingerprint suspect or
	// quarantined. A Cleared entry with a server says that this server responded, whatever
	// the fingerprint; one without says that the fingerprint was served.
	Server fleet.ServerID
	// ExpiresAt is when the entry expires: SuspicionTTL after the crash of a suspect, and
	// ClearedTTL after the time of a clear.
	ExpiresAt time.Time
	// Stored is true when the key-value service may have the fingerprint. Nodes do not
	// send it to each other.
	Stored bool
}

// Run is one run of a fingerprint on a backend server.
type Run struct {
	Fingerprint Fingerprint
	StartedAt   time.Time
	// BrokeAt is when the server seemed to crash, or zero when it did just now.
	BrokeAt time.Time
}

// List holds the suspect and quarantined fingerprints of a node.
//
// A fingerprint is quarantined when it was in progress in several crashes, and neither was
// it served nor did the servers respond since. Other nodes that see a response tell so.
type List struct {
	machine *chart.Machine[*poison]
	entries map[Fingerprint]*poison
	// served has the times at which fingerprints were served last.
	served      proofs[Fingerprint]
	servers     *Servers
	changed     []Entry
	suspects    int
	quarantined int
}

// poison is a fingerprint that may crash servers.
type poison struct {
	id      Fingerprint
	chart   chart.Instance
	crashes crashes
	// learnedAt is when this node learned that the fingerprint is suspect, or of its
	// quarantine.
	learnedAt     time.Time
	quarantinedAt time.Time
	// learnedUntil is when a quarantine of another node expires.
	learnedUntil time.Time
	// server is the server of the last crash.
	server fleet.ServerID
	// stored is true when the fingerprint was quarantined for long.
	stored bool
}

// NewList returns an empty list. It returns an error when the chart cannot be loaded.
func NewList(files fs.FS, servers *Servers, now time.Time) (*List, error) {
	l := &List{entries: map[Fingerprint]*poison{}, served: newProofs[Fingerprint](now), servers: servers}
	def, err := chart.Load(files, "poison-request")
	if err != nil {
		return nil, err
	}
	l.machine, err = chart.NewMachine(def, chart.Bindings[*poison]{
		Tags: []chart.Tag{tagRefusesRuns, tagLasting, tagHeld, tagOnTrial},
		Guards: map[string]func(*poison, time.Time) bool{
			"recurs":               func(p *poison, _ time.Time) bool { return l.recurs(p) },
			"recurs_though_served": func(p *poison, _ time.Time) bool { return l.recurs(p) && p.crashes.hasOwn() && l.wasServed(p.id) },
			"recurs_here":          func(p *poison, _ time.Time) bool { return l.recurs(p) && p.crashes.hasOwn() },
			"crashed_here":         func(p *poison, _ time.Time) bool { return p.crashes.hasOwn() },
			"lasts":                l.lasts,
		},
		Actions: map[string]func(*poison, time.Time){
			"quarantine":  l.quarantine,
			"start_trial": func(p *poison, _ time.Time) { p.crashes = nil },
		},
	})
	if err != nil {
		return nil, fmt.Errorf("bind chart: %w", err)
	}
	return l, nil
}

// IsQuarantined reports whether the fingerprint must not run.
func (l *List) IsQuarantined(f Fingerprint) bool {
	p := l.entries[f]
	return p != nil && p.chart.Is(tagRefusesRuns)
}

// IsSuspect reports whether the fingerprint may run on its own only. One that was served
// lately runs as usual until it is quarantined, because many callers may share it.
func (l *List) IsSuspect(f Fingerprint) bool {
	p := l.entries[f]
	return p != nil && l.runsAlone(p)
}

func (l *List) runsAlone(p *poison) bool {
	return p.chart.Is(tagOnTrial) || !p.chart.Is(tagRefusesRuns) && !l.wasServed(p.id)
}

// IsHeld reports whether the fingerprint has to wait until it is decided whether it is
// quarantined.
func (l *List) IsHeld(f Fingerprint) bool {
	p := l.entries[f]
	return p != nil && p.chart.Is(tagHeld)
}

// SuspectSince returns when this node learned that the fingerprint is suspect,
// or the zero time when it is not.
func (l *List) SuspectSince(f Fingerprint) time.Time {
	if !l.IsSuspect(f) {
		return time.Time{}
	}
	return l.entries[f].learnedAt
}

// wasServed reports whether the fingerprint was served at this node, or at another one
// that told so, in the last maxCrashAge or a little longer.
func (l *List) wasServed(f Fingerprint) bool {
	return !l.served.last(f).IsZero()
}

// recurs reports whether the fingerprint was in progress in enough crashes.
func (l *List) recurs(p *poison) bool {
	needed := neededCrashes
	if l.wasServed(p.id) {
		needed = neededThoughServed
	}
	return l.events(p) >= needed
}

// lasts reports whether a quarantine that was learned is longer than a pause.
func (l *List) lasts(p *poison, now time.Time) bool {
	return p.learnedUntil.Sub(now) > l.machine.Timeout(tagRefusesRuns)
}

// quarantine is the action of each transition with which this node quarantines a
// fingerprint.
func (l *List) quarantine(p *poison, now time.Time) {
	p.quarantinedAt = now
	p.learnedAt = now
	p.stored = p.stored || p.chart.Is(tagLasting)
	l.changed = append(l.changed, p.quarantineEntry())
}

func (p *poison) quarantineEntry() Entry {
	return Entry{Fingerprint: p.id, Kind: Quarantined, Server: p.server, ExpiresAt: p.chart.TimeoutAt, Stored: p.chart.Is(tagLasting)}
}

// Review fires the expired timeouts and returns the entries that this node quarantined. It
// forgets the crashes of this node's runs whose servers are alive. The caller must not keep
// the slice.
func (l *List) Review(now time.Time, isAlive func(server fleet.ServerID, at time.Time) bool) []Entry {
	l.changed = l.changed[:0]
	for _, p := range l.entries {
		if p.chart.TimeoutAt.After(now) {
			continue
		}
		p.crashes = p.crashes.without(func(c runCrash) bool { return c.own && isAlive(c.server, c.at) })
		l.change(p, func() { _, _ = l.machine.Expire(&p.chart, p, now) })
		if len(p.crashes) == 0 && !l.machine.IsFinal(&p.chart) && !p.chart.Is(tagRefusesRuns) && !p.chart.Is(tagOnTrial) {
			l.fire(p, "clear", now)
		}
	}
	return l.changed
}

// HasHighestWeight reports whether no suspect has a higher weight than the
// fingerprint. With the weights of one server, nodes that list the same suspects
// agree on the one that may run there.
func (l *List) HasHighestWeight(f Fingerprint, weight func(Fingerprint) uint64) bool {
	own := weight(f)
	for other, p := range l.entries {
		if weight(other) > own && l.runsAlone(p) {
			return false
		}
	}
	return true
}

// DigestEntries returns the entries to gossip to a peer, at most
// MaxDigestEntries: quarantined ones first, then suspects, each with the
// latest expiry first.
func (l *List) DigestEntries() []Entry {
	out := make([]Entry, 0, len(l.entries))
	for _, p := range l.entries {
		if p.chart.Is(tagRefusesRuns) {
			out = append(out, p.quarantineEntry())
			continue
		}
		for _, c := range p.crashes {
			out = append(out, c.entry(p.id))
		}
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

// add returns the entry of a fingerprint, which may be a new suspect. It returns nil when
// there are too many suspects.
func (l *List) add(now time.Time, f Fingerprint) *poison {
	if p := l.entries[f]; p != nil {
		return p
	}
	if l.suspects >= maxSuspects {
		return nil
	}
	return l.start(now, f)
}

func (l *List) start(now time.Time, f Fingerprint) *poison {
	p := &poison{id: f, chart: l.machine.Start(now), learnedAt: now}
	l.entries[f] = p
	l.suspects++
	return p
}

// fire applies an event. One that the chart refuses changes nothing.
func (l *List) fire(p *poison, event chart.Event, now time.Time) {
	l.change(p, func() { _ = l.machine.Fire(&p.chart, p, event, now) })
}

// change lets an entry change its state and keeps the counts up to date.
func (l *List) change(p *poison, apply func()) {
	l.count(p, -1)
	apply()
	if l.machine.IsFinal(&p.chart) {
		delete(l.entries, p.id)
		return
	}
	l.count(p, 1)
}

func (l *List) count(p *poison, change int) {
	if p.chart.Is(tagRefusesRuns) {
		l.quarantined += change
		return
	}
	l.suspects += change
}
