package agent

import (
	"testing"

	"github.com/go-logr/logr/funcr"

	"tanagerspread/core/control"
)

// TestUrgentDigestsFitQueue guards against digests that are dropped although only a few
// urgent ones were sent at once, each of which has several targets.
func TestUrgentDigestsFitQueue(t *testing.T) {
	const digests, targets = 8, 8
	dropped := 0
	a := New(Options{Logger: funcr.New(func(string, string) { dropped++ }, funcr.Options{})})
	for range digests {
		a.Submit(control.SendDigest{Targets: make([]control.PeerTarget, targets)})
	}
	if dropped > 0 {
		t.Errorf("%d of %d messages were dropped", dropped, digests*targets)
	}
}
