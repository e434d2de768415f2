package config_test

import (
	"testing"
	"time"

	"tanagerspread/core/config"
)

// TestAcceptance guards against a version that is reported as accepted while a
// member may still serve with an older one.
func TestAcceptance(t *testing.T) {
	members := []string{"a", "b", "c"}
	start := time.Unix(1_000_000, 0)
	a := config.NewAcceptance(2)
	steps := []struct {
		name         string
		after        time.Duration
		acknowledged []string
		want         bool
	}{
		{"no majority", time.Minute, []string{"a"}, false},
		{"majority within the fence time", time.Minute, []string{"a", "b"}, false},
		{"majority at the fence time", time.Minute + config.FenceTime, []string{"a", "b"}, false},
		{"majority after the fence time", time.Minute + config.FenceTime + 1, []string{"a", "b"}, true},
		{"majority lost", 2 * time.Minute, []string{"a"}, false},
		{"majority regained", 2 * time.Minute, []string{"b", "c"}, false},
		{"strangers", 2 * time.Minute, []string{"a", "x", "y"}, false},
		{"all", 2 * time.Minute, members, true},
	}
	for _, step := range steps {
		a.Reset()
		for _, node := range step.acknowledged {
			a.Acknowledge(node, 2)
		}
		a.Acknowledge("c", 1)
		if got := a.Status(members, start.Add(step.after)).Accepted; got != step.want {
			t.Errorf("%s: accepted %v, want %v", step.name, got, step.want)
		}
	}
}
