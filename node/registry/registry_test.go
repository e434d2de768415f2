package registry

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
)

// busyControl is a control thread whose queue is sometimes full.
type busyControl struct {
	full      bool
	evacuated map[fleet.Domain]bool
}

func (c *busyControl) Tell(message control.Message) bool {
	if c.full {
		return false
	}
	if m, ok := message.(control.EvacuationSeen); ok {
		c.evacuated[m.Domain] = m.Active
	}
	return true
}

// TestEvacuationReportedAgain guards against a node that sends to an evacuated failure
// domain, or to none of its servers for ever, because the queue of its control thread was
// full when the operator's key changed.
func TestEvacuationReportedAgain(t *testing.T) {
	const prefix = "evacuate/"
	busy := &busyControl{evacuated: map[fleet.Domain]bool{}}
	r := New(Options{
		Control: busy, Logger: logr.Discard(), ServerPrefix: "servers/", WeightsPrefix: "weights/", EvacuationPrefix: prefix,
		DecodeEvacuation: func(key string) (fleet.Domain, *code.Error) { return fleet.Domain(key[len(prefix):]), nil },
		RecoveredAt:      func() time.Time { return time.Time{} },
		Revision:         func() kv.Revision { return 0 },
	})
	for _, active := range []bool{true, false} {
		busy.full = true
		r.apply(kv.Change{Entry: kv.Entry{Key: prefix + "a"}, Deleted: !active}, false)
		r.reportVMs()
		busy.full = false
		// An entry of a server changes.
		r.reportVMs()
		if busy.evacuated["a"] != active {
			t.Errorf("the control thread knows evacuated %v, the operator wants %v", busy.evacuated["a"], active)
		}
	}
}
