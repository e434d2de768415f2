package measure_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/bench/measure"
	"tanagerspread/bench/report"
	"tanagerspread/bench/workload"
	"tanagerspread/core/placement"
)

// runShort performs a short run of a site, fails the test if an invariant was
// violated, and returns the summary of the run.
func runShort(t *testing.T, site, policy string, fault measure.Fault) report.Run {
	t.Helper()
	profile, invalid := workload.ProfileForSite(site)
	if invalid != nil {
		t.Fatal(invalid)
	}
	profile.Documents = 60
	var run report.Run
	synctest.Test(t, func(t *testing.T) {
		recording, err := measure.Run(t.Context(), measure.Options{
			Profile: profile, Placement: policy, Fault: fault, Seed: 1, Load: 0.3,
			Engines: 3, Nodes: 2, WarmUp: time.Minute, Duration: 2 * time.Minute, PrefillRate: 10_000,
		})
		if err != nil {
			t.Fatal(err)
		}
		run = report.Summarize(recording)
	})
	if run.Violations != 0 {
		t.Errorf("%d invariants failed", run.Violations)
	}
	return run
}

// TestPoliciesDiffer guards against a benchmark in which the placement policy has
// no effect, and against a placement that uses neither caches nor stores.
func TestPoliciesDiffer(t *testing.T) {
	estimate := runShort(t, "derwent", placement.NameEstimate, measure.NoFault)
	roundRobin := runShort(t, "derwent", placement.NameRoundRobin, measure.NoFault)
	if estimate.Requests == 0 || estimate.Requests != roundRobin.Requests {
		t.Errorf("requests: %d and %d on the same arrivals", estimate.Requests, roundRobin.Requests)
	}
	if estimate.RecomputedReturning >= roundRobin.RecomputedReturning {
		t.Errorf("returning prompts recomputed: estimate %.3f, round-robin %.3f", estimate.RecomputedReturning, roundRobin.RecomputedReturning)
	}
	if estimate.LinkBytes == 0 {
		t.Error("estimate transferred no bytes over the links")
	}
}

// TestFaultsTakeEffect guards against a fault that is not injected, and against a
// fault after which most requests fail.
func TestFaultsTakeEffect(t *testing.T) {
	killed := runShort(t, "ulan", placement.NameEstimate, measure.EngineKilled)
	if killed.FailedAttempts == 0 {
		t.Error("no attempt failed after an engine was killed")
	}
	if killed.Short.Count+killed.Long.Count < int64(killed.Requests)*9/10 {
		t.Errorf("%d of %d requests delivered", killed.Short.Count+killed.Long.Count, killed.Requests)
	}
}
