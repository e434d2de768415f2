package orders_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tanagerspread/standin/kv"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20264")
	_ = flag.Set("rapid.checks", "15")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// TestRandomOrderFaults guards against combinations of faults, possibly repeated,
// that exceed the limit on concurrent loads or after which a rollout does not
// finish. It also guards against an order of an earlier lease holder that takes
// effect after one of a later holder.
func TestRandomOrderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(r *rapid.T) {
			s := startSite(r, siteOptions{engines: 5, models: 2, ignoreFencing: rapid.Bool().Draw(r, "ignore fencing")})
			s.advance(70 * time.Second)
			version := 1
			copies := []kv.Snapshot{s.kv.Snapshot()}
			for range rapid.IntRange(3, 12).Draw(r, "steps") {
				if rapid.IntRange(0, 2).Draw(r, "new version") == 0 {
					version++
					s.setWeightVersion(version)
				}
				s.injectRandomFault(r, &copies)
				s.advance(time.Duration(rapid.IntRange(1, 60).Draw(r, "seconds")) * time.Second)
			}
			s.clearFaults()
			s.checkRolloutFinishes(version)
		})
	})
}

// bubble is a test in a synctest bubble, in which testing.T.Deadline must not be
// called because it returns a real time.
type bubble struct {
	*testing.T
}

// Deadline returns false, because the test has no deadline.
func (bubble) Deadline() (time.Time, bool) {
	return time.Time{}, false
}

// injectRandomFault injects or ends one fault that rapid chooses by its position
// in the sorted names. A renamed fault would change the run of the fixed seed.
func (s *testSite) injectRandomFault(r *rapid.T, copies *[]kv.Snapshot) {
	node := s.nodes[rapid.IntRange(0, nodeCount-1).Draw(r, "node")]
	e := s.engines[rapid.IntRange(0, len(s.engines)-1).Draw(r, "engine")]
	faults := map[string]func(){
		"pause":            node.pause,
		"pause on send":    func() { node.pauseBeforeSend.Store(true) },
		"wake":             node.resume,
		"engine dies":      e.Crash,
		"engine revives":   e.Restart,
		"response lost":    func() { e.dropResponses.Store(1) },
		"order lost":       func() { e.dropRequests.Store(1) },
		"service away":     func() { s.kv.SetUnreachable(true) },
		"service back":     func() { s.kv.SetUnreachable(false) },
		"writes lost":      func() { s.kv.LoseNextResponses(3) },
		"service copied":   func() { *copies = append(*copies, s.kv.Snapshot()) },
		"service restored": func() { s.kv.Restore((*copies)[rapid.IntRange(0, len(*copies)-1).Draw(r, "copy")]) },
		"leaving":          func() { s.leaving[e.id] = !s.leaving[e.id] },
		"engine hangs":     func() { e.SetHang(true) },
		"engine goes on":   func() { e.SetHang(false) },
	}
	names := make([]string, 0, len(faults))
	for name := range faults {
		names = append(names, name)
	}
	faults[rapid.SampledFrom(sortedNames(names)).Draw(r, "fault")]()
}

// clearFaults ends all injected faults.
func (s *testSite) clearFaults() {
	s.kv.SetUnreachable(false)
	for _, n := range s.nodes {
		n.pauseBeforeSend.Store(false)
		n.resume()
	}
	for _, e := range s.engines {
		e.SetHang(false)
		e.Restart()
		s.leaving[e.id] = false
	}
}

func sortedNames(names []string) []string {
	slices.Sort(names)
	return names
}
