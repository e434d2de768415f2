package quarantine

import (
	"testing"
	"time"

	"tanagerspread/core/fleet"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func runs(began time.Time, names ...byte) []Run {
	var out []Run
	for _, name := range names {
		out = append(out, Run{Fingerprint: Fingerprint{name}, Began: began})
	}
	return out
}

// TestDied guards against blame for neighbours, against one death counted
// twice, and against a named request that stays free.
func TestDied(t *testing.T) {
	l := NewList()
	l.Died(now, "s1", runs(now.Add(-time.Second), 1, 2))
	if l.Died(now, "s1", runs(now.Add(-time.Second), 1)) != nil || l.Quarantined(Fingerprint{1}) {
		t.Error("one death counted twice")
	}
	if l.Died(now, "s2", runs(now, 1, 2)) != nil {
		t.Error("two suspects were told apart")
	}
	changed := l.Died(now, "s3", runs(now, 1, 3))
	if len(changed) != 1 || !l.Quarantined(Fingerprint{1}) || l.Suspect(Fingerprint{3}) {
		t.Errorf("second death: %+v", changed)
	}
	if l.Died(now, "s3", runs(now, 4)) != nil || l.Suspect(Fingerprint{4}) {
		t.Error("a death with a known cause was blamed on another request")
	}
	if l.Died(now.Add(time.Second), "s1", runs(now.Add(time.Second), 2)); !l.Quarantined(Fingerprint{2}) {
		t.Error("second death of a restarted server was taken for the first one")
	}
}

// TestSeen guards against entries that never expire, and against a suspicion
// that replaces a quarantine.
func TestSeen(t *testing.T) {
	l := NewList()
	far := now.Add(1000 * time.Hour)
	l.Seen(now, Entry{Fingerprint: Fingerprint{1}, Kind: Banned, Until: far})
	if l.Seen(now, Entry{Fingerprint: Fingerprint{1}, Kind: Suspected, Until: far}) || !l.Quarantined(Fingerprint{1}) {
		t.Error("a suspicion replaced a quarantine")
	}
	l.Seen(now, Entry{Fingerprint: Fingerprint{2}, Kind: Suspected, Until: far})
	if l.Seen(now, Entry{Fingerprint: Fingerprint{3}, Kind: Suspected, Until: now}) {
		t.Error("an expired entry was added")
	}
	l.Seen(now, Entry{Fingerprint: Fingerprint{4}, Kind: Suspected, Until: far})
	if !l.Seen(now, Entry{Fingerprint: Fingerprint{4}, Kind: Cleared}) || l.Suspect(Fingerprint{4}) {
		t.Error("a cleared fingerprint is suspect")
	}
	if l.Seen(now, Entry{Fingerprint: Fingerprint{1}, Kind: Cleared}) {
		t.Error("a quarantine was cleared")
	}
	l.Expire(now.Add(SuspicionAge))
	if l.Suspect(Fingerprint{2}) || !l.Quarantined(Fingerprint{1}) {
		t.Error("after the age of suspicions")
	}
	l.Expire(now.Add(QuarantineAge))
	if suspects, quarantined := l.Counts(); suspects+quarantined != 0 {
		t.Error("after the age of quarantines")
	}
}

// TestSharedIsBounded guards against a message that grows with the list.
func TestSharedIsBounded(t *testing.T) {
	l := NewList()
	for i := range 2 * maxSuspects {
		l.Died(now, fleet.ServerID("s"), []Run{{Fingerprint: Fingerprint{byte(i), byte(i >> 8), 1}, Began: now}})
	}
	l.Seen(now, Entry{Fingerprint: Fingerprint{9}, Kind: Banned, Until: now.Add(time.Minute)})
	shared := l.Shared()
	if suspects, _ := l.Counts(); len(shared) != MaxShared || shared[0].Kind != Banned || suspects != maxSuspects {
		t.Errorf("%d shared, %d suspects", len(shared), suspects)
	}
}
