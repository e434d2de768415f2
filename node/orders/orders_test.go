package orders_test

import (
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/core/order"
	"tanagerspread/node/orders"
	"tanagerspread/standin/kv"
)

// begun starts a site, waits for an issuer, orders version 2 and waits until
// an engine loads it.
func begun(t *testing.T, options siteOptions) (*testSite, *testNode, *backend) {
	t.Helper()
	s := startSite(t, options)
	s.until("an issuer", 5*time.Minute, func() bool { return s.issuer() != nil })
	s.want(2)
	s.until("a load", time.Minute, func() bool { return s.loadingEngine() != nil })
	return s, s.issuer(), s.loadingEngine()
}

// TestRollout guards against faults in the middle of a rollout that leave an
// engine on old weights, that let an older holder's order take effect after a
// newer one's, or that load weights on more than two engines at once.
func TestRollout(t *testing.T) {
	scenarios := map[string]func(s *testSite, issuer *testNode, loading *backend){
		"no fault":    func(*testSite, *testNode, *backend) {},
		"issuer dies": func(_ *testSite, issuer *testNode, _ *backend) { issuer.cancel() },
		"issuer is frozen": func(s *testSite, issuer *testNode, _ *backend) {
			issuer.pause()
			overtake(s, issuer)
		},
		"issuer is frozen while it sends": func(s *testSite, issuer *testNode, _ *backend) {
			issuer.pauseOnSend.Store(true)
			s.until("a decision to send", time.Minute, func() bool { return !issuer.pauseOnSend.Load() })
			overtake(s, issuer)
		},
		"service restored empty": func(s *testSite, issuer *testNode, _ *backend) {
			restore(s, issuer, kv.NewStore(kv.Options{}).Copy())
		},
		"two holders": func(s *testSite, issuer *testNode, _ *backend) {
			restore(s, issuer, s.granted)
		},
		"responses are lost": func(s *testSite, _ *testNode, _ *backend) {
			for _, b := range s.backends {
				b.loseResponses.Store(1)
			}
			s.until("the end of the rollout", time.Minute, func() bool { return s.allAt(2) })
			s.checkOneOrder()
		},
		"orders are lost": func(s *testSite, _ *testNode, _ *backend) {
			for _, b := range s.backends {
				b.loseRequests.Store(1)
			}
			s.finish(2)
			s.checkOneOrder()
		},
		"engine dies": func(s *testSite, _ *testNode, loading *backend) {
			loading.Die()
			s.run(5 * time.Second)
			loading.Revive()
		},
		"engine restarts at once": func(s *testSite, _ *testNode, loading *backend) {
			loading.Die()
			loading.Revive()
			s.until("another order", order.OwnParameters().MaxOrderTime, func() bool { return s.status(loading).OrderID != "" })
		},
		"weight store away": func(s *testSite, _ *testNode, _ *backend) {
			s.store.SetUnreachable(true)
			s.run(3 * time.Minute)
			s.store.SetUnreachable(false)
		},
		"adapter and role change": func(s *testSite, _ *testNode, _ *backend) {
			s.adapter = "caption"
			s.want(2)
			for _, b := range s.backends {
				s.until("adapter", 5*time.Minute, func() bool { return s.status(b).Current.Adapter == "caption" })
			}
			s.role = "decode"
			s.want(2)
			for _, b := range s.backends {
				s.until("role", 5*time.Minute, func() bool { return s.status(b).Current.Role == "decode" })
			}
		},
		"wanted version changes": func(s *testSite, _ *testNode, _ *backend) {
			s.want(3)
			s.run(time.Second)
			s.want(2)
		},
	}
	for name, fault := range scenarios {
		for fencing, ignore := range map[string]bool{"honoured": false, "ignored": true} {
			t.Run(name+"/fencing "+fencing, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, issuer, loading := begun(t, siteOptions{engines: engineCount, models: 2, ignoreFencing: ignore})
					fault(s, issuer, loading)
					s.finish(2)
				})
			})
		}
	}
}

// overtake lets another node finish the rollout of a paused issuer and begin
// the next one before the process of the first one goes on.
func overtake(s *testSite, issuer *testNode) {
	s.until("another issuer", 5*time.Minute, func() bool { n := s.issuer(); return n != nil && n != issuer })
	s.until("the end of the rollout", 5*time.Minute, func() bool { return s.allAt(2) })
	s.want(3)
	s.until("a load", time.Minute, func() bool { return s.loadingEngine() != nil })
	issuer.wake()
	s.finish(3)
	s.want(2)
}

// restore takes back the revisions of the key-value service and checks that
// the fencing number does not go back with them.
func restore(s *testSite, issuer *testNode, older kv.Copy) {
	before := s.dump(issuer).Fencing
	s.want(3)
	s.kv.Restore(older)
	s.until("another term", 5*time.Minute, func() bool {
		d := s.dump(issuer)
		n := s.issuer()
		return n != nil && (n != issuer || d.Fencing != before)
	})
	s.want(2)
	s.until("a load", 5*time.Minute, func() bool { return s.loadingEngine() != nil })
	if after := s.dump(s.issuer()).Fencing; after <= before {
		s.t.Errorf("fencing number %d after %d", after, before)
	}
}

// TestOutageOfKeyValueService guards against orders that are sent while the
// lease cannot be confirmed, and against a rollout that does not go on after
// an outage of an hour.
func TestOutageOfKeyValueService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, _ := begun(t, siteOptions{engines: engineCount, models: 2})
		s.kv.SetOutage(true)
		s.store.SetUnreachable(true)
		s.run(order.OwnParameters().LeaseTTL)
		s.store.SetUnreachable(false)
		since := time.Now()
		s.run(time.Hour)
		if n := s.issuer(); n != nil {
			t.Errorf("node %s counts itself as issuer during the outage", n.id)
		}
		if n := s.history.sentSince(since); n != 0 {
			t.Errorf("%d orders during the outage", n)
		}
		s.kv.SetOutage(false)
		s.finish(2)
	})
}

// TestFirstOrderWaits guards against a first order that is sent while an order
// of an earlier holder may be in flight.
func TestFirstOrderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, siteOptions{engines: 2, models: 1, ignoreFencing: true})
		s.want(2)
		s.until("a claim", time.Minute, func() bool {
			_, err := s.kv.Get(s.ctx, orders.KeyIssuer)
			return err == nil
		})
		claimed := time.Now()
		s.until("a load", 5*time.Minute, func() bool { return s.loadingEngine() != nil })
		if waited := time.Since(claimed); waited < order.OwnParameters().LeaseTTL+order.OwnParameters().MaxOrderTime-time.Second {
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
		s.until("an issuer", 5*time.Minute, func() bool { return s.issuer() != nil })
		s.backends[2].Die()
		s.want(2)
		s.run(time.Minute)
		s.unlisted["e2"] = true
		s.finish(2)
		for _, i := range []int{0, 1} {
			if s.current(s.backends[i]) != 1 {
				t.Errorf("engine e%d was ordered", i)
			}
		}
		s.unlisted["e1"] = false
		s.finish(2)
	})
}

// TestSilentEngineKeepsPlace guards against a third load while an engine that
// has gone silent may still load.
func TestSilentEngineKeepsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, loading := begun(t, siteOptions{engines: engineCount, models: 2, loadTime: 20 * time.Second})
		loading.SetHang(true)
		s.run(time.Minute)
		loading.SetHang(false)
		s.finish(2)
	})
}

// TestDeadEnginesStopRollout guards against weights that kill each engine and
// take the whole model out of service two engines at a time.
func TestDeadEnginesStopRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, issuer, _ := begun(t, siteOptions{engines: engineCount, models: 1})
		killed := map[string]bool{}
		for end := time.Now().Add(5 * time.Minute); time.Now().Before(end); {
			if b := s.loadingEngine(); b != nil {
				b.Die()
				killed[b.id] = true
			}
			s.run(200 * time.Millisecond)
		}
		if len(killed) > order.OwnParameters().MaxUnavailable {
			t.Errorf("%d engines were taken out of service", len(killed))
		}
		if d := s.dump(issuer); len(d.Rollouts) != 1 || d.Rollouts[0].State != "stalled" {
			t.Errorf("rollouts %+v", d.Rollouts)
		}
	})
}
