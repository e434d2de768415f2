package quarantine

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/fleet"
)

func newLedger(t *testing.T) *PartLedger {
	t.Helper()
	l, err := NewPartLedger(chart.Embedded(), NewServers(now), rand.New(rand.NewPCG(1, 1)), now)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// crash returns the i-th crash of a test, one a second, that may be due to a part.
func crash(i int, id PartID, depth int) PartCrash {
	return PartCrash{Part: id, Server: fleet.ServerID(fmt.Sprintf("s%d", i)), BrokeAt: now.Add(time.Duration(i) * time.Second), Depth: depth}
}

// recordCrashes records count crashes with the parts, in order of their depth.
func recordCrashes(l *PartLedger, first, count int, parts ...PartID) {
	for i := first; i < first+count; i++ {
		for depth, id := range parts {
			c := crash(i, id, depth)
			l.RecordCrash(c.BrokeAt, c)
		}
		l.Review(now.Add(time.Duration(i)*time.Second + settlingTime))
	}
}

// quarantineTimeout is longer than any quarantine of a part before its trial.
const quarantineTimeout = 15 * time.Minute

// TestCrashesSingleOutPart guards against a part that crashes servers and stays in use,
// and against sound parts of the same calls that are refused with it.
func TestCrashesSingleOutPart(t *testing.T) {
	l := newLedger(t)
	for i := range 10 {
		recordCrashes(l, i, 1, "common", "culprit", PartID(fmt.Sprintf("doc-%d", i%3)))
		at := now.Add(time.Duration(i)*time.Second + 100*time.Millisecond)
		l.RecordProof(at, PartProof{Part: "common", At: at})
	}
	if !l.Refuses("culprit") || l.Refuses("common") || l.Refuses("doc-0") {
		t.Errorf("culprit refused %t, common %t, doc-0 %t", l.Refuses("culprit"), l.Refuses("common"), l.Refuses("doc-0"))
	}
	if suspects, _ := l.Counts(); suspects != 0 {
		t.Errorf("%d parts are suspect although the culprit explains all crashes", suspects)
	}
}

// TestSimultaneousCrashesCountOnce guards against a quarantine of the parts that were in
// progress when many servers lost power together.
func TestSimultaneousCrashesCountOnce(t *testing.T) {
	l := newLedger(t)
	for i := range 12 {
		c := crash(i, "sound", 0)
		c.BrokeAt = now.Add(time.Duration(i) * 5 * time.Millisecond)
		l.RecordCrash(now.Add(time.Second), c)
	}
	l.Review(now.Add(2 * time.Second))
	if l.Refuses("sound") {
		t.Error("the crashes of one moment counted separately")
	}
}

// TestProvenCrashesOfOneMoment guards against a part that stays in use because the servers
// which it crashes at several nodes end at one moment, against a server that counts as ended
// although it responds, and against a quarantine of the parts in progress when many servers
// lose power together.
func TestProvenCrashesOfOneMoment(t *testing.T) {
	for name, c := range map[string]struct {
		ended, alive, idle int
		// beside is true when another server responds before and after the crashes, returned
		// when one responds for the first time after them.
		beside, returned bool
		refused          bool
	}{
		"none ended":               {ended: 0, beside: true},
		"all ended":                {ended: minCrashes, beside: true, refused: true},
		"one responds":             {ended: minCrashes, alive: 1, beside: true},
		"an idle server ended too": {ended: minCrashes, idle: 1, beside: true},
		"no other server serves":   {ended: minCrashes},
		"a server came back":       {ended: minCrashes, returned: true},
	} {
		l := newLedger(t)
		end := now.Add(4 * time.Second)
		if c.beside {
			l.servers.recordResponse(now, "beside", now.Add(-time.Second))
		}
		if c.beside || c.returned {
			l.servers.recordResponse(now, "beside", now.Add(time.Second))
		}
		for i := range minCrashes {
			crash := crash(i, "part", 0)
			crash.BrokeAt = now.Add(time.Duration(i) * time.Millisecond)
			l.RecordCrash(now.Add(time.Second), crash)
			if i < c.ended {
				l.servers.RecordEnd(end, crash.Server)
				l.RecordEnd(now, crash.Server)
			}
			if i < c.alive {
				l.servers.responded.record(end, crash.Server, end)
				l.RecordResponse(end, crash.Server)
			}
		}
		if c.idle > 0 {
			l.servers.RecordEnd(end.Add(time.Second), "idle")
		}
		if l.Review(end.Add(time.Second)); l.Refuses("part") != c.refused {
			t.Errorf("%s: quarantined %t", name, l.Refuses("part"))
		}
	}
}

// TestProofMayArriveLater guards against a sound part that is quarantined before the responses
// to calls which were sent after the crash can have arrived, and against a part that stays in
// use until long after that.
func TestProofMayArriveLater(t *testing.T) {
	for _, proven := range []bool{true, false} {
		l := newLedger(t)
		var last time.Time
		for i := range minCrashes {
			c := crash(i, "part", 0)
			last = c.BrokeAt
			l.RecordCrash(last, c)
		}
		for delay := time.Duration(0); delay < 750*time.Millisecond; delay += 50 * time.Millisecond {
			if l.Review(last.Add(delay)); l.Refuses("part") {
				t.Fatalf("quarantined %v after the last crash", delay)
			}
		}
		if proven {
			l.RecordProof(last.Add(750*time.Millisecond), PartProof{Part: "part", At: last.Add(400 * time.Millisecond)})
		}
		if l.Review(last.Add(time.Second)); l.Refuses("part") == proven {
			t.Errorf("proven %t, quarantined %t after a second", proven, l.Refuses("part"))
		}
	}
}

// TestSilentCallsOfOneServerCountOnce guards against one crash that counts for each node whose
// calls ended at another time, because the server fell silent.
func TestSilentCallsOfOneServerCountOnce(t *testing.T) {
	for name, endAfter := range map[string]int{"end known first": 0, "end known later": 4, "end known last": 8} {
		l := newLedger(t)
		end := now.Add(20 * time.Second)
		for i := range 8 {
			if i == endAfter {
				l.servers.RecordEnd(end, "s")
				l.RecordEnd(now, "s")
			}
			c := crash(2*i, "part", 0)
			c.Server = "s"
			l.RecordCrash(end, c)
		}
		l.servers.RecordEnd(end, "s")
		l.RecordEnd(now, "s")
		if crashes := len(l.parts["part"].crashes); crashes != 1 {
			t.Errorf("%s: %d crashes of one server", name, crashes)
		}
	}
}

// TestReportsOfOneCrashCountOnce guards against one crash that several nodes report and
// that counts once for each.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	l := newLedger(t)
	for i := range 12 {
		c := crash(0, "sound", 0)
		c.BrokeAt = now.Add(time.Duration(i) * 110 * time.Millisecond)
		l.RecordCrash(now.Add(2*time.Second), c)
	}
	l.Review(now.Add(3 * time.Second))
	if l.Refuses("sound") {
		t.Error("the reports of one crash counted separately")
	}
}

// TestProofEndsQuarantine guards against a part that stays refused although servers respond
// to calls with it, also when an earlier report arrives later.
func TestProofEndsQuarantine(t *testing.T) {
	l := newLedger(t)
	recordCrashes(l, 0, 6, "sound")
	if !l.Refuses("sound") {
		t.Fatal("the part is not quarantined after six crashes")
	}
	at := now.Add(10 * time.Second)
	l.RecordProof(at, PartProof{Part: "sound", At: at})
	if l.Refuses("sound") {
		t.Error("the part is still refused after a response to a call with it")
	}
	l.Learn(at.Add(proofInterval/2), PartQuarantine{Part: "sound", At: now.Add(6 * time.Second)})
	l.RecordCrash(at.Add(proofInterval/2), crash(7, "sound", 0))
	if suspects, quarantined := l.Counts(); suspects != 0 || quarantined != 0 {
		t.Errorf("late reports made the part suspect (%d) or quarantined (%d)", suspects, quarantined)
	}
	if proofs := l.TakeReports().Proofs; len(proofs) != 1 || !proofs[0].At.Equal(at) {
		t.Errorf("the proofs sent to the peers are %v", proofs)
	}
}

// TestTrialAfterQuarantine guards against a part that is refused for ever, and against a
// trial that costs more than one server.
func TestTrialAfterQuarantine(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		l := newLedger(t)
		recordCrashes(l, 0, 6, "part")
		at := now.Add(quarantineTimeout)
		l.Review(at)
		if l.Refuses("part") || !l.OneAtATime("part") {
			t.Fatalf("after %v: refused %t, on trial %t", quarantineTimeout, l.Refuses("part"), l.OneAtATime("part"))
		}
		at = at.Add(time.Second)
		if crashes {
			l.RecordCrash(at, PartCrash{Part: "part", Server: "s9", BrokeAt: at})
		} else {
			l.RecordProof(at, PartProof{Part: "part", At: at})
		}
		if l.Refuses("part") != crashes || l.OneAtATime("part") {
			t.Errorf("crash in the trial %t: refused %t, on trial %t", crashes, l.Refuses("part"), l.OneAtATime("part"))
		}
	}
}

// TestTrialNotEndedByOldReport guards against a trial that ends because a peer still
// reports the quarantine that came before it.
func TestTrialNotEndedByOldReport(t *testing.T) {
	l := newLedger(t)
	l.Learn(now, PartQuarantine{Part: "part", At: now})
	trial := now
	for !l.OneAtATime("part") {
		trial = trial.Add(time.Second)
		l.Review(trial)
	}
	l.Learn(trial, PartQuarantine{Part: "part", At: now.Add(time.Second)})
	if !l.OneAtATime("part") {
		t.Error("the report of the same quarantine ended the trial")
	}
	l.Learn(trial, PartQuarantine{Part: "part", At: trial.Add(-time.Second)})
	if !l.Refuses("part") {
		t.Error("a new quarantine of a peer did not end the trial")
	}
}

// TestInseparableParts guards against two parts of which one crashes servers and that are
// never told apart: the one that fewer calls share is quarantined.
func TestInseparableParts(t *testing.T) {
	l := newLedger(t)
	recordCrashes(l, 0, 5, "outer", "inner")
	if l.Refuses("outer") || l.Refuses("inner") {
		t.Error("one of two parts was quarantined while the proof of the other may be on its way")
	}
	recordCrashes(l, 5, 4, "outer", "inner")
	if l.Refuses("outer") || !l.Refuses("inner") {
		t.Errorf("outer refused %t, inner refused %t", l.Refuses("outer"), l.Refuses("inner"))
	}
}

// TestLaterCulpritFreesEarlierOne guards against a sound part that stays quarantined after
// another part turned out to be in all of its crashes and in further ones.
func TestLaterCulpritFreesEarlierOne(t *testing.T) {
	l := newLedger(t)
	recordCrashes(l, 0, 8, "culprit", "sound")
	if !l.Refuses("sound") || l.Refuses("culprit") {
		t.Fatalf("sound refused %t, culprit refused %t", l.Refuses("sound"), l.Refuses("culprit"))
	}
	recordCrashes(l, 8, 8, "culprit")
	if !l.Refuses("culprit") || l.Refuses("sound") || !l.OneAtATime("sound") {
		t.Errorf("culprit refused %t; sound refused %t, on trial %t", l.Refuses("culprit"), l.Refuses("sound"), l.OneAtATime("sound"))
	}
}

// TestMoreCrashesNeededWhenMoreCallsBreak guards against a quarantine of sound parts on a
// day on which many calls are broken off.
func TestMoreCrashesNeededWhenMoreCallsBreak(t *testing.T) {
	var calm, stormy breakRate
	for i := range 100 {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		calm.observe(at, false)
		stormy.observe(at, i%4 == 0)
	}
	if got := calm.neededCrashes(); got != minCrashes {
		t.Errorf("%d crashes needed while no call breaks, want %d", got, minCrashes)
	}
	if got := stormy.neededCrashes(); got != maxCrashes {
		t.Errorf("%d crashes needed while a quarter of the calls breaks, want %d", got, maxCrashes)
	}
}

// TestLedgerBounded guards against a ledger and messages that grow with the number of parts
// that callers name, and against a quarantined part that makes room for them.
func TestLedgerBounded(t *testing.T) {
	l := newLedger(t)
	recordCrashes(l, 0, 6, "part")
	at := now.Add(8 * time.Second)
	for i := range 3 * maxParts {
		l.RecordCrash(at, PartCrash{Part: PartID(fmt.Sprint(i)), Server: "s", BrokeAt: at})
		l.RecordProof(at, PartProof{Part: PartID(fmt.Sprint("p", i)), At: at})
	}
	if suspects, quarantined := l.Counts(); suspects+quarantined > maxParts || quarantined != 1 {
		t.Errorf("%d suspect and %d quarantined parts", suspects, quarantined)
	}
	if remembered := len(l.proofs.current) + len(l.proofs.previous); remembered > 2*maxProofs {
		t.Errorf("%d proofs are remembered", remembered)
	}
	if reports := l.TakeReports(); len(reports.Crashes) > MaxDigestEntries || len(l.reports.pending.Crashes) > maxPendingCrashes {
		t.Errorf("%d crashes in a message, %d wait", len(reports.Crashes), len(l.reports.pending.Crashes))
	}
}

// TestPromptPartChart guards against a path on which a quarantined part is in full use
// again without a proof or a trial.
func TestPromptPartChart(t *testing.T) {
	def, err := chart.Load(chart.Embedded(), "prompt-part")
	if err != nil {
		t.Fatal(err)
	}
	err = chart.Explore(def, func(memory int, step chart.Step) (int, error) {
		if step.From == "quarantined" && step.To != "quarantined" && step.To != "trial" && step.Guard != "disproved" {
			return memory, errors.New("a quarantine ended without a proof or a trial")
		}
		return memory, nil
	})
	if err != nil {
		t.Error(err)
	}
}
