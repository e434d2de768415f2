package orders_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/core/order"
	"tanagerspread/node/orders"
	"tanagerspread/standin/kv"
)

// startRollout starts a site, waits for an issuer, configures weight version 2
// and waits until an engine loads it. It returns the issuer and that engine.
func startRollout(t *testing.T, options siteOptions) (*testSite, *testNode, *testEngine) {
	t.Helper()
	s := startSite(t, options)
	s.waitFor("an issuer", 5*time.Minute, func() bool { return s.issuer() != nil })
	s.setWeightVersion(2)
	s.waitFor("a load", time.Minute, func() bool { return s.loadingEngine() != nil })
	return s, s.issuer(), s.loadingEngine()
}

// TestRollout guards against faults during a rollout that leave an engine on old
// weights, or load weights on more than two engines at once. It also guards
// against an order of an earlier lease holder that takes effect after one of a
// later holder.
func TestRollout(t *testing.T) {
	scenarios := map[string]func(s *testSite, issuer *testNode, loading *testEngine){
		"no fault":    func(*testSite, *testNode, *testEngine) {},
		"issuer dies": func(_ *testSite, issuer *testNode, _ *testEngine) { issuer.cancel() },
		"issuer is frozen": func(s *testSite, issuer *testNode, _ *testEngine) {
			issuer.pause()
			finishByOtherIssuer(s, issuer)
		},
		"issuer is frozen while it sends": func(s *testSite, issuer *testNode, _ *testEngine) {
			issuer.pauseBeforeSend.Store(true)
			s.waitFor("a decision to send", time.Minute, func() bool { return !issuer.pauseBeforeSend.Load() })
			finishByOtherIssuer(s, issuer)
		},
		"service restored empty": func(s *testSite, issuer *testNode, _ *testEngine) {
			restoreService(s, issuer, kv.NewStore(kv.Options{}).Snapshot())
		},
		"two holders": func(s *testSite, issuer *testNode, _ *testEngine) {
			restoreService(s, issuer, s.copyBeforeClaim)
		},
		"responses are lost": func(s *testSite, _ *testNode, _ *testEngine) {
			for _, e := range s.engines {
				e.dropResponses.Store(1)
			}
			s.waitFor("the end of the rollout", time.Minute, func() bool { return s.allEnginesAt(2) })
			s.checkOneOrderPerEngine()
		},
		"orders are lost": func(s *testSite, _ *testNode, _ *testEngine) {
			for _, e := range s.engines {
				e.dropRequests.Store(1)
			}
			s.checkRolloutFinishes(2)
			s.checkOneOrderPerEngine()
		},
		"engine dies": func(s *testSite, _ *testNode, loading *testEngine) {
			loading.Crash()
			s.advance(5 * time.Second)
			loading.Restart()
		},
		"engine restarts at once": func(s *testSite, _ *testNode, loading *testEngine) {
			loading.Crash()
			loading.Restart()
			s.waitFor("another order", order.OwnParameters().MaxOrderTime, func() bool { return s.status(loading).OrderID != "" })
		},
		"weight store unreachable": func(s *testSite, _ *testNode, _ *testEngine) {
			s.store.SetUnreachable(true)
			s.advance(3 * time.Minute)
			s.store.SetUnreachable(false)
		},
		"adapter and role change": func(s *testSite, _ *testNode, _ *testEngine) {
			s.adapter = "caption"
			s.setWeightVersion(2)
			for _, e := range s.engines {
				s.waitFor("adapter", 5*time.Minute, func() bool { return s.status(e).Current.Adapter == "caption" })
			}
			s.role = "decode"
			s.setWeightVersion(2)
			for _, e := range s.engines {
				s.waitFor("role", 5*time.Minute, func() bool { return s.status(e).Current.Role == "decode" })
			}
		},
		"wanted version changes": func(s *testSite, _ *testNode, _ *testEngine) {
			s.setWeightVersion(3)
			s.advance(time.Second)
			s.setWeightVersion(2)
		},
	}
	for name, fault := range scenarios {
		for fencing, ignore := range map[string]bool{"honoured": false, "ignored": true} {
			t.Run(name+"/fencing "+fencing, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, issuer, loading := startRollout(t, siteOptions{engines: engineCount, models: 2, ignoreFencing: ignore})
					fault(s, issuer, loading)
					s.checkRolloutFinishes(2)
				})
			})
		}
	}
}

// finishByOtherIssuer waits until another node has finished the rollout of a
// paused issuer and started the next one. It then resumes the paused process and
// checks that the next rollout finishes.
func finishByOtherIssuer(s *testSite, issuer *testNode) {
	s.waitFor("another issuer", 5*time.Minute, func() bool { n := s.issuer(); return n != nil && n != issuer })
	s.waitFor("the end of the rollout", 5*time.Minute, func() bool { return s.allEnginesAt(2) })
	s.setWeightVersion(3)
	s.waitFor("a load", time.Minute, func() bool { return s.loadingEngine() != nil })
	issuer.resume()
	s.checkRolloutFinishes(3)
	s.setWeightVersion(2)
}

// restoreService restores the key-value service from an older copy, which lowers
// its revisions, and checks that the fencing number does not decrease.
func restoreService(s *testSite, issuer *testNode, older kv.Snapshot) {
	fencingBefore := s.ordersOf(issuer).Fencing
	s.setWeightVersion(3)
	s.kv.Restore(older)
	s.waitFor("another term", 5*time.Minute, func() bool {
		d := s.ordersOf(issuer)
		n := s.issuer()
		return n != nil && (n != issuer || d.Fencing != fencingBefore)
	})
	s.setWeightVersion(2)
	s.waitFor("a load", 5*time.Minute, func() bool { return s.loadingEngine() != nil })
	if fencingAfter := s.ordersOf(s.issuer()).Fencing; fencingAfter <= fencingBefore {
		s.t.Errorf("fencing number %d after the restore, want more than %d", fencingAfter, fencingBefore)
	}
}

// TestOutageOfKeyValueService guards against orders that are sent while the
// lease cannot be confirmed, and against a rollout that does not continue after
// an outage of one hour.
func TestOutageOfKeyValueService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := startRollout(t, siteOptions{engines: engineCount, models: 2})
		s.kv.SetUnreachable(true)
		s.store.SetUnreachable(true)
		s.advance(order.OwnParameters().LeaseTTL)
		s.store.SetUnreachable(false)
		outageStart := time.Now()
		s.advance(time.Hour)
		if n := s.issuer(); n != nil {
			t.Errorf("node %s is in an issuing state during the outage", n.id)
		}
		if n := s.history.arrivalsSince(outageStart); n != 0 {
			t.Errorf("%d orders were sent during the outage, want 0", n)
		}
		s.kv.SetUnreachable(false)
		s.checkRolloutFinishes(2)
	})
}

// TestFirstOrderWaits guards against a first order that is sent while an order
// of an earlier lease holder may be in flight.
func TestFirstOrderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, siteOptions{engines: 2, models: 1, ignoreFencing: true})
		s.setWeightVersion(2)
		s.waitFor("a claim", time.Minute, func() bool {
			_, err := s.kv.Get(s.ctx, orders.KeyIssuer)
			return err == nil
		})
		claimedAt := time.Now()
		s.waitFor("a load", 5*time.Minute, func() bool { return s.loadingEngine() != nil })
		if waited := time.Since(claimedAt); waited < order.OwnParameters().LeaseTTL+order.OwnParameters().MaxOrderTime-time.Second {
			t.Errorf("first load %s after the claim, want one lease time and one order time or more", waited)
		}
	})
}

// TestOrdersFollowList guards against orders to engines that the VM list shows as
// leaving or does not contain, and against a rollout that waits for a crashed
// engine that the list removes only a minute later.
func TestOrdersFollowList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, siteOptions{engines: engineCount, models: 2})
		s.leaving["e0"] = true
		s.unlisted["e1"] = true
		s.waitFor("an issuer", 5*time.Minute, func() bool { return s.issuer() != nil })
		s.engines[2].Crash()
		s.setWeightVersion(2)
		s.advance(time.Minute)
		s.unlisted["e2"] = true
		s.checkRolloutFinishes(2)
		for _, i := range []int{0, 1} {
			if s.currentWeights(s.engines[i]) != 1 {
				t.Errorf("engine e%d got an order, though it is leaving or not on the VM list", i)
			}
		}
		s.unlisted["e1"] = false
		s.checkRolloutFinishes(2)
	})
}

// TestHungEngineCountsAsLoading guards against a third concurrent load while an
// engine that does not respond may still be loading.
func TestHungEngineCountsAsLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, loading := startRollout(t, siteOptions{engines: engineCount, models: 2, loadTime: 20 * time.Second})
		loading.SetHang(true)
		s.advance(time.Minute)
		loading.SetHang(false)
		s.checkRolloutFinishes(2)
	})
}

// TestCrashingEnginesStopRollout guards against a rollout of weights that crash
// every engine: two engines at a time, it would take the whole model out of
// service.
func TestCrashingEnginesStopRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, issuer, _ := startRollout(t, siteOptions{engines: engineCount, models: 1})
		crashed := map[string]bool{}
		for end := time.Now().Add(5 * time.Minute); time.Now().Before(end); {
			if e := s.loadingEngine(); e != nil {
				e.Crash()
				crashed[e.id] = true
			}
			s.advance(200 * time.Millisecond)
		}
		if len(crashed) > order.OwnParameters().MaxUnavailable {
			t.Errorf("%d engines were taken out of service, more than the limit", len(crashed))
		}
		if d := s.ordersOf(issuer); len(d.Rollouts) != 1 || d.Rollouts[0].State != "stalled" {
			t.Errorf("rollouts %+v, want one that is stalled", d.Rollouts)
		}
	})
}
