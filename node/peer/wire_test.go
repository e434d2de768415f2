package peer

import (
	"math"
	"testing"
	"time"

	"tanagerspread/core/fleet"
)

// TestHugeWorkBounded guards against reports whose sum overflows: an engine then seemed to
// have 2^62 tokens of free memory, which the control thread divides into calls one by one.
func TestHugeWorkBounded(t *testing.T) {
	huge := math.MaxInt64 / 4 * 3
	m := workFromWire(workParams{
		Node: "n", Servers: []string{"e"}, Prefill: []int{huge}, Private: []int{huge}, Shared: [][]sharedPartWire{{{1, int64(huge)}, {2, -1}}},
		Demand: map[string]int{"a": huge, "": huge}, Turn: 7,
	})
	var server fleet.Server
	for _, node := range []string{"a", "b"} {
		server.RecordPeerWork(node, m.Work[0].Work, time.Unix(7, 0))
		if committed := server.CommittedMemory(); committed <= 0 {
			t.Errorf("%d tokens are committed", committed)
		}
	}
	if tokens := server.PeerPrefillTokens(); tokens <= 0 {
		t.Errorf("%d tokens of prefill work", tokens)
	}
	if total := m.Waiting.Demand.Total(); total <= 0 {
		t.Errorf("%d tokens wait", total)
	}
}
