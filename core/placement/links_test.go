package placement

import (
	"testing"
	"time"

	"tanagerspread/core/request"
)

// largeCache makes the cache of a fixture as large on the wire as that of the engines
// whose links carry a long prompt in a fifth of a second.
func (s *affinityFixture) largeCache() {
	s.view.TokenBytes = 327_680
	s.view.LinkRate = 20e9
}

// TestLinkWaitCounts guards against calls that go to a server because it looks idle while
// their fetches wait for its link.
func TestLinkWaitCounts(t *testing.T) {
	s := newAffinityFixture(t, 9, 3)
	s.largeCache()
	parts := []request.Part{{ID: "shared", Tokens: 12_800}, {ID: "own", Tokens: 4_260}}
	key := PartKey{Salt: testSalt, ID: "shared"}
	s.view.PartIndex.Confirm(now, s.store[0].ID, key, 12_800, 0)
	query := Query{PromptTokens: 17_060, Parts: parts, Bytes: 17_000, Target: 800 * time.Millisecond}
	first := (Affinity{}).Pick(now, query, s.view)
	if first.FetchTime < 200*time.Millisecond || first.FirstToken < first.FetchTime {
		t.Errorf("fetch %s, first token %s", first.FetchTime, first.FirstToken)
	}
	first.Server.ReserveLink(now, time.Second)
	if second := (Affinity{}).Pick(now, query, s.view); second.Server == first.Server {
		t.Error("the next call goes to the server whose link is busy for a second")
	}
	s.view.PartIndex.Confirm(now, first.Server.ID, key, 12_800, 0)
	if cached := (Affinity{}).Pick(now, query, s.view); cached.Server != first.Server || cached.FetchTime != 0 {
		t.Errorf("a call goes to %s and fetches for %s, not to the server that has its part", cached.Server.ID, cached.FetchTime)
	}
}
