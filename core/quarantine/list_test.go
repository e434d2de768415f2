package quarantine

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/fleet"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func runs(startedAt time.Time, names ...byte) []Run {
	var out []Run
	for _, name := range names {
		out = append(out, Run{Fingerprint: Fingerprint{name}, StartedAt: startedAt})
	}
	return out
}

func newList(t *testing.T) *List {
	t.Helper()
	l, err := NewList(chart.Embedded(), NewServers(now), now)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// review lets the list decide on the crashes until a time.
func review(l *List, at time.Time) []Entry {
	return l.Review(at.Add(l.machine.Timeout(tagHeld)), func(fleet.ServerID, time.Time) bool { return false })
}

// TestRecordCrash guards against crashes that are attributed to unrelated
// requests, against one crash that counts twice, and against a request that is
// not quarantined after its second crash.
func TestRecordCrash(t *testing.T) {
	l := newList(t)
	l.RecordCrash(now, "s1", runs(now.Add(-time.Second), 1, 2))
	if l.RecordCrash(now, "s1", runs(now.Add(-time.Second), 1)) != nil || l.IsHeld(Fingerprint{1}) {
		t.Error("one crash counted twice")
	}
	second := now.Add(time.Second)
	if l.RecordCrash(second, "s2", runs(second, 1, 2)) != nil {
		t.Error("a crash with two suspects was attributed to one of them")
	}
	l.RecordCrash(second, "s3", runs(second, 1, 3))
	if !l.IsHeld(Fingerprint{1}) || l.IsSuspect(Fingerprint{3}) {
		t.Errorf("second crash: %+v", l.entries)
	}
	if l.RecordCrash(second, "s3", runs(second, 4)) != nil || l.IsSuspect(Fingerprint{4}) {
		t.Error("a crash that was attributed to another request made an unrelated request suspect")
	}
	if changed := review(l, second); len(changed) != 1 || !changed[0].Stored || !l.IsQuarantined(Fingerprint{1}) {
		t.Errorf("after the second crash: %+v", changed)
	}
	l.RecordCrash(second.Add(time.Second), "s1", runs(second.Add(time.Second), 2))
	if review(l, second.Add(time.Second)); !l.IsQuarantined(Fingerprint{2}) {
		t.Error("the second crash of a restarted server was taken for the first one")
	}
}

// TestNoCrash guards against a request that is quarantined although both connections broke
// at one moment, a server responded since, another call goes on there, or it was served.
func TestNoCrash(t *testing.T) {
	f, second := Fingerprint{1}, now.Add(time.Second)
	shortly := second.Add(100 * time.Millisecond)
	alive := func(fleet.ServerID, time.Time) bool { return true }
	for name, disprove := range map[string]func(*List){
		"a response of the first server": func(l *List) { l.RecordResponse(now.Add(100*time.Millisecond), "s1") },
		"a response of the second one":   func(l *List) { l.RecordResponse(shortly, "s2") },
		"a response at another node": func(l *List) {
			l.MergeEntry(shortly, Entry{Fingerprint: f, Kind: Cleared, Server: "s2", ExpiresAt: shortly.Add(ClearedTTL)})
		},
		"a call that goes on": func(l *List) { l.Review(second.Add(l.machine.Timeout(tagHeld)), alive) },
		"a completed run":     func(l *List) { l.RecordServed(shortly, f) },
		"a completed run at another node": func(l *List) {
			l.MergeEntry(shortly, Entry{Fingerprint: f, Kind: Cleared, ExpiresAt: shortly.Add(ClearedTTL)})
		},
	} {
		l := newList(t)
		l.RecordCrash(now, "s1", runs(now, 1))
		if name == "a response of the first server" {
			disprove(l)
		}
		l.RecordCrash(second, "s2", runs(second, 1))
		disprove(l)
		if review(l, second); l.IsQuarantined(f) {
			t.Errorf("quarantined in spite of %s", name)
		}
	}
	l := newList(t)
	l.RecordCrash(now, "s1", runs(now, 1))
	l.RecordCrash(now.Add(simultaneousTime), "s2", runs(now, 1))
	if review(l, now.Add(time.Second)); l.IsQuarantined(f) {
		t.Error("two crashes at one moment count twice")
	}
}

// TestQuarantineEnds guards against a request that many callers share and that is refused
// after two coincidences, or for longer than a pause, and against one that crashes servers
// and is tried again and again.
func TestQuarantineEnds(t *testing.T) {
	f, at := Fingerprint{1}, now
	crashAgain := func(l *List) {
		at = at.Add(time.Second)
		l.RecordCrash(at, fleet.ServerID(at.String()), runs(at, 1))
		review(l, at)
	}
	l := newList(t)
	l.RecordServed(at, f)
	for range neededThoughServed {
		if l.IsQuarantined(f) || l.IsSuspect(f) {
			t.Fatal("quarantined, or run alone, though it was served shortly before")
		}
		crashAgain(l)
	}
	if !l.IsQuarantined(f) {
		t.Fatal("not quarantined")
	}
	at = at.Add(3 * time.Second)
	if review(l, at); l.IsQuarantined(f) || !l.IsSuspect(f) {
		t.Fatal("no trial after the pause")
	}
	if crashAgain(l); !l.IsQuarantined(f) {
		t.Fatal("not quarantined after a crash in the trial")
	}
	at = at.Add(QuarantineTTL)
	if review(l, at); l.IsQuarantined(f) {
		t.Fatal("no second trial")
	}
	if cleared := l.RecordServed(at.Add(time.Second), f); len(cleared) != 1 || !cleared[0].Stored || l.IsSuspect(f) {
		t.Errorf("after the response: %+v", cleared)
	}
}

// TestMergeEntry guards against entries that never expire, and against a suspicion
// that replaces a quarantine.
func TestMergeEntry(t *testing.T) {
	l := newList(t)
	far := now.Add(1000 * time.Hour)
	l.MergeEntry(now, Entry{Fingerprint: Fingerprint{1}, Kind: Quarantined, ExpiresAt: far})
	if l.MergeEntry(now, Entry{Fingerprint: Fingerprint{1}, Kind: Suspect, ExpiresAt: far}) || !l.IsQuarantined(Fingerprint{1}) {
		t.Error("a suspicion replaced a quarantine")
	}
	l.MergeEntry(now, Entry{Fingerprint: Fingerprint{2}, Kind: Suspect, ExpiresAt: far})
	if l.MergeEntry(now, Entry{Fingerprint: Fingerprint{3}, Kind: Suspect, ExpiresAt: now}) {
		t.Error("an expired entry was added")
	}
	l.MergeEntry(now, Entry{Fingerprint: Fingerprint{4}, Kind: Suspect, ExpiresAt: far})
	if !l.MergeEntry(now, Entry{Fingerprint: Fingerprint{4}, Kind: Cleared}) || l.IsSuspect(Fingerprint{4}) {
		t.Error("a cleared fingerprint is suspect")
	}
	if l.MergeEntry(now, Entry{Fingerprint: Fingerprint{1}, Kind: Cleared}); !l.IsQuarantined(Fingerprint{1}) {
		t.Error("a run that was served before a quarantine cleared it")
	}
	l.Review(now.Add(SuspicionTTL-time.Second), nil)
	if !l.IsSuspect(Fingerprint{2}) || !l.IsQuarantined(Fingerprint{1}) {
		t.Error("entries expired early")
	}
	l.Review(now.Add(SuspicionTTL), nil)
	if l.IsSuspect(Fingerprint{2}) || l.IsQuarantined(Fingerprint{1}) {
		t.Error("wrong entries after the suspicions expired")
	}
	l.Review(now.Add(2*QuarantineTTL), nil)
	if suspects, quarantined := l.Counts(); suspects+quarantined != 0 || len(l.entries) != 0 {
		t.Error("entries left after the quarantines and trials expired")
	}
}

// TestDigestEntriesAreBounded guards against a digest that grows with the
// list.
func TestDigestEntriesAreBounded(t *testing.T) {
	l := newList(t)
	for i := range 2 * maxSuspects {
		l.RecordCrash(now, fleet.ServerID("s"), []Run{{Fingerprint: Fingerprint{byte(i), byte(i >> 8), 1}, StartedAt: now}})
	}
	l.MergeEntry(now, Entry{Fingerprint: Fingerprint{9}, Kind: Quarantined, ExpiresAt: now.Add(time.Minute)})
	entries := l.DigestEntries()
	if suspects, _ := l.Counts(); len(entries) != MaxDigestEntries || entries[0].Kind != Quarantined || suspects != maxSuspects {
		t.Errorf("%d entries in the digest, %d suspects", len(entries), suspects)
	}
}

// TestLateSuspicionAfterClear guards against a copy of a suspicion that arrives after
// the message that cleared it and is then kept for its whole age, and against a clear
// that hides a new crash.
func TestLateSuspicionAfterClear(t *testing.T) {
	f := Fingerprint{1}
	suspicion := Entry{Fingerprint: f, Kind: Suspect, Server: "s1", ExpiresAt: now.Add(SuspicionTTL)}
	cleared := Entry{Fingerprint: f, Kind: Cleared, ExpiresAt: now.Add(ClearedTTL)}

	l := newList(t)
	if !l.MergeEntry(now, cleared) {
		t.Error("a clear that arrives before the suspicion is not relayed")
	}
	if l.MergeEntry(now, cleared) {
		t.Error("a clear is relayed twice")
	}
	if l.MergeEntry(now.Add(time.Second), suspicion) || l.IsSuspect(f) {
		t.Error("a suspicion that arrived after its clear was kept")
	}
	l.MergeEntry(now.Add(time.Second), Entry{Fingerprint: f, Kind: Quarantined, ExpiresAt: now.Add(time.Hour)})
	if !l.IsQuarantined(f) {
		t.Error("a clear hid a quarantine")
	}

	l = newList(t)
	l.RecordCrash(now, "s1", runs(now, 1))
	l.RecordServed(now, f)
	if l.MergeEntry(now, suspicion) || l.IsSuspect(f) {
		t.Error("a suspicion that this node cleared came back from a peer")
	}
	l.RecordCrash(now, "s2", runs(now, 1))
	if l.entries[f] == nil {
		t.Error("a clear hid a crash at this node")
	}

	l = newList(t)
	l.RecordServed(now, f)
	l.MergeEntry(now, cleared)
	suspicion.ExpiresAt = suspicion.ExpiresAt.Add(time.Second)
	if !l.MergeEntry(now.Add(time.Second), suspicion) {
		t.Error("a clear hid a later crash at another node")
	}
}

// TestClearedBounded guards against a list of clears that grows without limit.
func TestClearedBounded(t *testing.T) {
	l := newList(t)
	for i := range 3 * maxProofs {
		l.MergeEntry(now, Entry{Fingerprint: Fingerprint{byte(i), byte(i >> 8)}, Kind: Cleared})
	}
	if remembered := len(l.served.current) + len(l.served.previous); remembered > 2*maxProofs {
		t.Errorf("%d clears are remembered", remembered)
	}
}

// TestPoisonRequestChart guards against a path on which a quarantined request runs as usual
// without a clear or a trial.
func TestPoisonRequestChart(t *testing.T) {
	def, err := chart.Load(chart.Embedded(), "poison-request")
	if err != nil {
		t.Fatal(err)
	}
	err = chart.Explore(def, func(memory int, step chart.Step) (int, error) {
		refused := step.From == "quarantined" || step.From == "paused"
		if refused && step.To != "quarantined" && step.To != "trial" && step.Event != "clear" {
			return memory, fmt.Errorf("a quarantine ended by %s", step.Event)
		}
		return memory, nil
	})
	if err != nil {
		t.Error(err)
	}
}
