package membership

import (
	"testing"

	"tanagerspread/core/shares"
)

// TestWaitingWorkOfPeerAhead guards against waiting work that is ignored because the clock
// of the peer is some turns ahead, so that its newer reports replaced the one needed.
func TestWaitingWorkOfPeerAhead(t *testing.T) {
	for ahead := range int64(4) {
		var peer Peer
		for turn := int64(100); turn <= 110; turn++ {
			peer.RecordWaiting(shares.TurnDemand{Turn: turn + ahead, Demand: shares.Demand{"o": int(turn + ahead)}})
			if got := peer.WaitingIn(turn - 1)["o"]; turn > 105 && got != int(turn)-1 {
				t.Errorf("%d turns ahead: demand %d in turn %d", ahead, got, turn-1)
			}
		}
	}
}
