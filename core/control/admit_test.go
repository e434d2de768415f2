package control

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
)

// TestLimitIsShared guards against an organisation limit that grows with the
// number of nodes.
func TestLimitIsShared(t *testing.T) {
	for nodes, want := range map[int]int{1: 40 + 80, 4: 10 + 80/4} {
		list := vms(1, 0, 0)
		for i := range nodes {
			id := fmt.Sprintf("n%d", i+1)
			list = append(list, VM{ID: id, Role: fleet.RoleEntryVM, PeerAddress: id})
		}
		rules := rulesFor(1, "")
		rules.Organisations[organisation(0)] = config.Organisation{Rate: 8, Burst: 40}
		s := newState(t, 1, list, rules)
		admitted := 0
		for i := range 100 * 10 {
			now := testStart.Add(time.Duration(i) * 10 * time.Millisecond)
			r := completion(fmt.Sprintf("r%d", i), 0, now.Add(time.Minute))
			switch d := replyTo(t, s.Handle(now, Admit{Request: r}), r.ID).(type) {
			case Admitted:
				admitted++
				s.Handle(now, Abandon{Request: r.ID})
			case Refusal:
				if d.Err.Code != code.OrganisationLimit {
					t.Fatal(d.Err)
				}
			}
		}
		if admitted < want-1 || admitted > want {
			t.Errorf("%d nodes: one node admits %d requests in 10 s, want %d", nodes, admitted, want)
		}
	}
}
