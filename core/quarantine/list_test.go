package quarantine

import (
	"testing"
	"time"

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

// TestRecordCrash guards against crashes that are attributed to unrelated
// requests, against one crash that counts twice, and against a request that is
// not quarantined after its second crash.
func TestRecordCrash(t *testing.T) {
	l := NewList()
	l.RecordCrash(now, "s1", runs(now.Add(-time.Second), 1, 2))
	if l.RecordCrash(now, "s1", runs(now.Add(-time.Second), 1)) != nil || l.IsQuarantined(Fingerprint{1}) {
		t.Error("one crash counted twice")
	}
	if l.RecordCrash(now, "s2", runs(now, 1, 2)) != nil {
		t.Error("a crash with two suspects was attributed to one of them")
	}
	changed := l.RecordCrash(now, "s3", runs(now, 1, 3))
	if len(changed) != 1 || !l.IsQuarantined(Fingerprint{1}) || l.IsSuspect(Fingerprint{3}) {
		t.Errorf("second crash: %+v", changed)
	}
	if l.RecordCrash(now, "s3", runs(now, 4)) != nil || l.IsSuspect(Fingerprint{4}) {
		t.Error("a crash that was attributed to another request made an unrelated request suspect")
	}
	if l.RecordCrash(now.Add(time.Second), "s1", runs(now.Add(time.Second), 2)); !l.IsQuarantined(Fingerprint{2}) {
		t.Error("the second crash of a restarted server was taken for the first one")
	}
}

// TestMergeEntry guards against entries that never expire, and against a suspicion
// that replaces a quarantine.
func TestMergeEntry(t *testing.T) {
	l := NewList()
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
	if l.MergeEntry(now, Entry{Fingerprint: Fingerprint{1}, Kind: Cleared}) {
		t.Error("a quarantine was cleared")
	}
	l.Expire(now.Add(SuspicionTTL))
	if l.IsSuspect(Fingerprint{2}) || !l.IsQuarantined(Fingerprint{1}) {
		t.Error("wrong entries after the suspicions expired")
	}
	l.Expire(now.Add(QuarantineTTL))
	if suspects, quarantined := l.Counts(); suspects+quarantined != 0 {
		t.Error("entries left after the quarantines expired")
	}
}

// TestDigestEntriesAreBounded guards against a digest that grows with the
// list.
func TestDigestEntriesAreBounded(t *testing.T) {
	l := NewList()
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

	l := NewList()
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

	l = NewList()
	l.RecordCrash(now, "s1", runs(now, 1))
	l.Clear(now, f)
	if l.MergeEntry(now, suspicion) || l.IsSuspect(f) {
		t.Error("a suspicion that this node cleared came back from a peer")
	}
	l.RecordCrash(now, "s2", runs(now, 1))
	if !l.IsSuspect(f) {
		t.Error("a clear hid a crash at this node")
	}

	l = NewList()
	l.Clear(now, f)
	l.MergeEntry(now, cleared)
	l.Expire(now.Add(ClearedTTL))
	if !l.MergeEntry(now.Add(ClearedTTL), suspicion) {
		t.Error("a clear is remembered beyond its time")
	}
}

// TestClearedBounded guards against a list of clears that grows without limit.
func TestClearedBounded(t *testing.T) {
	l := NewList()
	for i := range 2 * maxCleared {
		l.MergeEntry(now, Entry{Fingerprint: Fingerprint{byte(i), byte(i >> 8)}, Kind: Cleared})
	}
	if len(l.cleared) > maxCleared {
		t.Errorf("%d clears are remembered", len(l.cleared))
	}
}
