package process_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"tanagerspread/platform"
)

const (
	// contactTime is how long a node must have run without trouble until the bounds
	// hold for it.
	contactTime = 3 * time.Second
	// configApplyTime is how long after its acknowledgement a change of the
	// configuration must be in force.
	configApplyTime = 2 * time.Second
)

// TestChangeDuringSilentConnections guards against nodes that keep an old
// configuration because all their connections, to the store and to each other, went
// silent without being closed.
func TestChangeDuringSilentConnections(t *testing.T) {
	for _, nodeCount := range []int{6, 24} {
		for _, delay := range []time.Duration{0, 700 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("%d nodes, change after %v", nodeCount, delay), func(t *testing.T) {
				runAtSite(t, func(s *deployedSite) { testChangeDuringSilence(t, s, nodeCount, delay) })
			})
		}
	}
}

func testChangeDuringSilence(t *testing.T, s *deployedSite, nodeCount int, delay time.Duration) {
	s.startServer("i-1", 0)
	s.writeConfiguration(testKey, "other")
	var nodes []*deployedNode
	for i := range nodeCount {
		domain := string(rune('a' + i%4))
		nodes = append(nodes, s.startNodeIn(domain, fmt.Sprintf("n%d", i+1), "n1:peers", "n2:peers"))
	}
	time.Sleep(10*time.Second + 437*time.Millisecond)
	s.network.SilenceConnections()
	silentAt := time.Now()
	time.Sleep(delay)
	s.writeConfiguration("other")
	due := time.Now().Add(configApplyTime)
	if inTouch := silentAt.Add(contactTime); inTouch.After(due) {
		due = inTouch
	}
	time.Sleep(time.Until(due))
	for i, n := range nodes {
		if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusUnauthorized {
			t.Errorf("node %d: got %d with a revoked key", i+1, got.status)
		}
	}
}

// TestChangeBesideManyOddEntries guards against nodes that no longer follow the store
// because another writer left many or large entries among those of the servers: more
// pages than a list reads, more than a message between nodes holds, or more than a
// node's memory holds.
func TestChangeBesideManyOddEntries(t *testing.T) {
	for name, odd := range map[string]struct{ count, bytes int }{
		"many":         {5000, 20},
		"many of 2 KB": {3000, 2000},
		"large":        {5, 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			runAtSite(t, func(s *deployedSite) {
				s.startServer("i-1", 0)
				s.writeConfiguration(testKey, "other")
				nodes := []*deployedNode{s.startNode("n1"), s.startNode("n2"), s.startNode("n3")}
				time.Sleep(5 * time.Second)
				value := []byte(strings.Repeat("[", odd.bytes))
				for i := range odd.count {
					s.store.PutBytes(fmt.Sprintf("servers/a-%d", i), value)
				}
				time.Sleep(5 * time.Second)
				nodes = append(nodes, s.startNode("n4", "n1:peers"))
				time.Sleep(3 * time.Second)
				for i, n := range nodes {
					if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusOK {
						t.Errorf("node %d: got %d", i+1, got.status)
					}
				}
				s.writeConfiguration("other")
				time.Sleep(configApplyTime)
				for i, n := range nodes {
					if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusUnauthorized {
						t.Errorf("node %d: got %d with a revoked key", i+1, got.status)
					}
				}
			})
		})
	}
}

// TestUnreadableConfiguration guards against a node that stops serving, ends, or no
// longer follows the configuration after the store has accepted one that the node cannot
// parse.
func TestUnreadableConfiguration(t *testing.T) {
	for name, text := range map[string]string{
		"another type":  `{"version":%d,"routes":[{"name":"x","timeout_ms":"soon"}]}`,
		"unknown kind":  `{"version":%d,"routes":[{"name":"x","kind":"sometimes"}]}`,
		"nested deeply": `{"version":%d,"x":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`,
		"no JSON":       "\xff%d",
	} {
		t.Run(name, func(t *testing.T) {
			runAtSite(t, func(s *deployedSite) {
				s.startServer("i-1", 0)
				s.writeConfiguration(testKey, "other")
				n := s.startNode("n1")
				waitForSync()
				s.version++
				s.store.PutBytes(platform.KeyConfig, fmt.Appendf(nil, text, s.version))
				waitForSync()
				if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusOK {
					t.Errorf("beside the unreadable version: got %d", got.status)
				}
				s.writeConfiguration("other")
				time.Sleep(configApplyTime)
				if got := n.call("GET", "/lookup/", nil, ""); got.status != http.StatusUnauthorized {
					t.Errorf("after the next version: got %d with a revoked key", got.status)
				}
			})
		})
	}
}
