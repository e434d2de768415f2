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

// TestWaitingWorkAfterClockStep guards against a peer whose waiting work is ignored because
// its clock was set back.
func TestWaitingWorkAfterClockStep(t *testing.T) {
	var peer Peer
	peer.RecordWaiting(shares.TurnDemand{Turn: 36100, Demand: shares.Demand{"o": 1}})
	for turn := int64(100); turn < 110; turn++ {
		peer.RecordWaiting(shares.TurnDemand{Turn: turn, Demand: shares.Demand{"o": 2}})
	}
	if got := peer.WaitingIn(109)["o"]; got != 2 {
		t.Errorf("demand %d after the clock was set back", got)
	}
	peer.RecordWaiting(shares.TurnDemand{Turn: 108, Demand: shares.Demand{"o": 3}})
	if got := peer.WaitingIn(109)["o"]; got != 2 {
		t.Errorf("demand %d after a late report", got)
	}
}
