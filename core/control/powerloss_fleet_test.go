package control

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"tanagerspread/core/code"
)

// TestPowerLossBlamesNothing guards against the quarantine of a part that all calls share,
// and with it the refusal of all calls for minutes, because all engines, or every second one,
// lost power together while each had calls with the part.
func TestPowerLossBlamesNothing(t *testing.T) {
	const nodes, engines, interval = 7, 7, 50 * time.Millisecond
	for _, lost := range []int{engines, engines/2 + 1} {
		for _, dark := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d of %d engines, dark %t", lost, engines, dark), func(t *testing.T) {
				seeds, _ := fleetPlay(nodes)
				for seed := range seeds {
					x := newCrashingFleet(t, nodes, engines, seed)
					x.dark = dark
					x.play(6*time.Second, interval, 0, 0, 0)
					for _, id := range slices.Sorted(maps.Keys(x.servers))[:lost] {
						x.crash(id)
					}
					x.play(10*time.Second, interval, 0, 0, 0)
					if refused := x.refused[code.PartQuarantined] + x.refused[code.QuarantinedRan]; refused > 0 {
						t.Errorf("seed %d: %d calls refused, parts %v were quarantined", seed, refused, x.blamed)
					}
				}
			})
		}
	}
}
