package orders_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/core/order"
	"tanagerspread/node/orders"
	"tanagerspread/standin/kv"
)

// startRollout starts a site, waits for an issuer, orders version 2 and waits until
// an engine loads it.
func startRollout(t *testing.T, options siteOptions) (*testSite, *testNode, *testEngine) {
	t.Helper()
	s := startSite(t, options)
	s.waitFor("an issuer", 5*time.Minute, func() bool { return s.issuer() != nil })
	s.setWeightVersion(2)
	s.waitFor("a load", time.Minute, func() bool { return s.loadingEngine() != nil })
	return s, s.issuer(), s.loadingEngine()
}

// TestRollout guards against faults in the middle of a rollout that leave an
// engine on old weights, that let an older holder's order take effect after a
// newer one's, or that load weights on more than two engines at once.
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
			restoreService(s, issuer, kv.NewStore(kv.Options{}).Copy())
		},
		"two holders": func(s *testSite, issuer *testNode, _ *testEngine) {
			restoreService(s, issuer, s.copyBeforeClaim)
		},
		"responses are lost": func(s *testSite, _ *testNode, _ *testEngine) {
			for _, b := range s.engines {
				b.dropResponses.Store(1)
			}
			s.waitFor("the end of the rollout", time.Minute, func() bool { return s.allEnginesAt(2) })
			s.checkOneOrderPerEngine()
		},
		"orders are lost": func(s *testSite, _ *testNode, _ *testEngine) {
			for _, b := range s.engines {
				b.dropRequests.Store(1)
			}
			s.checkRolloutFinishes(2)
			s.checkOneOrderPerEngine()
		},
		"engine dies": func(s *testSite, _ *testNode, loading *testEngine) {
			loading.Die()
			s.advance(5 * time.Second)
			loading.Revive()
		},
		"engine restarts at once": func(s *testSite, _ *testNode, loading *testEngine) {
			loading.Die()
			loading.Revive()
			s.waitFor("another order", order.OwnTerms().LongestOrder, func() bool { return s.status(loading).OrderID != "" })
		},
		"weight store away": func(s *testSite, _ *testNode, _ *testEngine) {
			s.store.SetOutage(true)
			s.advance(3 * time.Minute)
			s.store.SetOutage(false)
		},
		"adapter and role change": func(s *testSite, _ *testNode, _ *testEngine) {
			s.adapter = "caption"
			s.setWeightVersion(2)
			for _, b := range s.engines {
				s.waitFor("adapter", 5*time.Minute, func() bool { return s.status(b).Current.Adapter == "caption" })
			}
			s.role = "decode"
			s.setWeightVersion(2)
			for _, b := range s.engines {
				s.waitFor("role", 5*time.Minute, func() bool { return s.status(b).Current.Role == "decode" })
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

// finishByOtherIssuer lets another node finish the rollout of a paused issuer and begin
// the next one before the process of the first one goes on.
func finishByOtherIssuer(s *testSite, issuer *testNode) {
	s.waitFor("another issuer", 5*time.Minute, func() bool { n := s.issuer(); return n != nil && n != issuer })
	s.waitFor("the end of the rollout", 5*time.Minute, func() bool { return s.allEnginesAt(2) })
	s.setWeightVersion(3)
	s.waitFor("a load", time.Minute, func() bool { return s.loadingEngine() != nil })
	issuer.resume()
	s.checkRolloutFinishes(3)
	s.setWeightVersion(2)
}

// restoreService takes back the revisions of the key-value service and checks that
// the fencing number does not go back with them.
func restoreService(s *testSite, issuer *testNode, older kv.Copy) {
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
		s.t.Errorf("fencing number %d after %d", fencingAfter, fencingBefore)
	}
}

// TestOutageOfKeyValueService guards against orders that are sent while the
// lease cannot be confirmed, and against a rollout that does not go on after
// an outage of an hour.
func TestOutageOfKeyValueService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := startRollout(t, siteOptions{engines: engineCount, models: 2})
		s.kv.SetOutage(true)
		s.store.SetOutage(true)
		s.advance(order.OwnTerms().LeaseTime)
		s.store.SetOutage(false)
		outageStart := time.Now()
		s.advance(time.Hour)
		if n := s.issuer(); n != nil {
			t.Errorf("node %s counts itself as issuer during the outage", n.id)
		}
		if n := s.history.arrivalsSince(outageStart); n != 0 {
			t.Errorf("%d orders during the outage", n)
		}
		s.kv.SetOutage(false)
		s.checkRolloutFinishes(2)
	})
}

// TestFirstOrderWaits guards against a first order that is sent while an order
// of an earlier holder may be in flight.
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
		if waited := time.Since(claimedAt); waited < order.OwnTerms().LeaseTime+order.OwnTerms().LongestOrder-time.Second {
			t.Errorf("first order %s after the claim", waited)
		}
	})
}

// TestOrdersFollowList guards against orders to engines that the VM list shows as
// leaving or does not show, and against a rollout that waits for an engine
// that the list drops late.
func TestOrdersFollowList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, siteOptions{engines: engineCount, models: 2})
		s.leaving["e0"] = true
		s.unlisted["e1"] = true
		s.waitFor("an issuer", 5*time.Minute, func() bool { return s.issuer() != nil })
		s.engines[2].Die()
		s.setWeightVersion(2)
		s.advance(time.Minute)
		s.unlisted["e2"] = true
		s.checkRolloutFinishes(2)
		for _, i := range []int{0, 1} {
			if s.currentWeights(s.engines[i]) != 1 {
				t.Errorf("engine e%d was ordered", i)
			}
		}
		s.unlisted["e1"] = false
		s.checkRolloutFinishes(2)
	})
}

// TestHungEngineCountsAsLoading guards against a third load while an engine that
// has gone silent may still load.
func TestHungEngineCountsAsLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, loading := startRollout(t, siteOptions{engines: engineCount, models: 2, loadTime: 20 * time.Second})
		loading.SetHang(true)
		s.advance(time.Minute)
		loading.SetHang(false)
		s.checkRolloutFinishes(2)
	})
}

// TestCrashingEnginesStopRollout guards against weights that kill each engine and
// take the whole model out of service two engines at a time.
func TestCrashingEnginesStopRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, issuer, _ := startRollout(t, siteOptions{engines: engineCount, models: 1})
		crashed := map[string]bool{}
		for end := time.Now().Add(5 * time.Minute); time.Now().Before(end); {
			if b := s.loadingEngine(); b != nil {
				b.Die()
				crashed[b.id] = true
			}
			s.advance(200 * time.Millisecond)
		}
		if len(crashed) > order.OwnTerms().MaxOut {
			t.Errorf("%d engines were taken out of service", len(crashed))
		}
		if d := s.ordersOf(issuer); len(d.Rollouts) != 1 || d.Rollouts[0].State != "stalled" {
			t.Errorf("rollouts %+v", d.Rollouts)
		}
	})
}
