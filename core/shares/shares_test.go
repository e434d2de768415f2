package shares

import (
	"fmt"
	"math"
	"testing"

	"tanagerspread/core/request"
)

// TestDivisionCoversWhole guards against parts of nodes that overlap or leave a gap, and
// against an organisation that gets more because its work waits at more nodes.
func TestDivisionCoversWhole(t *testing.T) {
	demands := map[string]Demand{
		"n1": {"one": 100},
		"n2": {"two": 10, "three": 0},
		"n3": {"two": 30, "three": 60},
		"n4": {},
	}
	want := map[string]float64{"n1": 1.0 / 3, "n2": 0.25 / 3, "n3": 1.75 / 3, "n4": 0}
	end := 0.0
	for _, node := range []string{"n1", "n2", "n3", "n4"} {
		d := Divide(node, demands)
		if math.Abs(d.Offset-end) > 1e-9 || math.Abs(d.Share-want[node]) > 1e-9 {
			t.Errorf("node %s: got %+v, want the share %.3f from %.3f", node, d, want[node], end)
		}
		end = d.Offset + d.Share
	}
	if math.Abs(end-1) > 1e-9 {
		t.Errorf("the parts end at %.3f", end)
	}
}

// BenchmarkDivide measures the division between nodes that all have work of 24
// organisations waiting.
func BenchmarkDivide(b *testing.B) {
	for _, nodes := range []int{80, 300} {
		demands := map[string]Demand{}
		for i := range nodes {
			demand := Demand{}
			for j := range 24 {
				demand[request.Organisation(fmt.Sprintf("org-%d", j))] = i*j + 1
			}
			demands[fmt.Sprintf("node-%d", i)] = demand
		}
		b.Run(fmt.Sprintf("%d nodes", nodes), func(b *testing.B) {
			for b.Loop() {
				Divide("node-7", demands)
			}
		})
	}
}
