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
// that break the order of holders or the bound on loads, or after which a
// rollout does not end.
func TestRandomOrderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(r *rapid.T) {
			s := startSite(r, siteOptions{engines: 5, models: 2, ignoreFencing: rapid.Bool().Draw(r, "ignore fencing")})
			s.run(70 * time.Second)
			version := 1
			copies := []kv.Snapshot{s.kv.Snapshot()}
			for range rapid.IntRange(3, 12).Draw(r, "steps") {
				if rapid.IntRange(0, 2).Draw(r, "new version") == 0 {
					version++
					s.want(version)
				}
				s.randomFault(r, &copies)
				s.run(time.Duration(rapid.IntRange(1, 60).Draw(r, "seconds")) * time.Second)
			}
			s.heal()
			s.finish(version)
		})
	})
}

// bubble is a test inside a bubble, where a deadline in real time may not be
// asked for.
type bubble struct {
	*testing.T
}

// Deadline tells that the test has none.
func (bubble) Deadline() (time.Time, bool) {
	return time.Time{}, false
}

func (s *testSite) randomFault(r *rapid.T, copies *[]kv.Snapshot) {
	node := s.nodes[rapid.IntRange(0, nodeCount-1).Draw(r, "node")]
	backend := s.backends[rapid.IntRange(0, len(s.backends)-1).Draw(r, "engine")]
	faults := map[string]func(){
		"pause":            node.pause,
		"pause on send":    func() { node.pauseOnSend.Store(true) },
		"wake":             node.wake,
		"engine dies":      backend.Crash,
		"engine revives":   backend.Restart,
		"response lost":    func() { backend.loseResponses.Store(1) },
		"order lost":       func() { backend.loseRequests.Store(1) },
		"service away":     func() { s.kv.SetUnreachable(true) },
		"service back":     func() { s.kv.SetUnreachable(false) },
		"writes lost":      func() { s.kv.LoseNextResponses(3) },
		"service copied":   func() { *copies = append(*copies, s.kv.Snapshot()) },
		"service restored": func() { s.kv.Restore((*copies)[rapid.IntRange(0, len(*copies)-1).Draw(r, "copy")]) },
		"leaving":          func() { s.leaving[backend.id] = !s.leaving[backend.id] },
		"engine hangs":     func() { backend.SetHang(true) },
		"engine goes on":   func() { backend.SetHang(false) },
	}
	names := make([]string, 0, len(faults))
	for name := range faults {
		names = append(names, name)
	}
	faults[rapid.SampledFrom(sorted(names)).Draw(r, "fault")]()
}

// heal ends all faults.
func (s *testSite) heal() {
	s.kv.SetUnreachable(false)
	for _, n := range s.nodes {
		n.pauseOnSend.Store(false)
		n.wake()
	}
	for _, b := range s.backends {
		b.SetHang(false)
		b.Restart()
		s.leaving[b.id] = false
	}
}

func sorted(names []string) []string {
	slices.Sort(names)
	return names
}
