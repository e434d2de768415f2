package site_test

import (
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/client/kv"
	"tanagerspread/client/vmlist"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
	"tanagerspread/standin/pipe"
	"tanagerspread/standin/site"
)

// TestSite guards against a site whose VM list disagrees with its VMs and their
// addresses, without a VM in one of the failure domains, or whose VM list does not
// show a weight swap.
func TestSite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		shape, codeErr := site.ShapeOf("derwent", 4)
		if codeErr != nil {
			t.Fatal(codeErr)
		}
		network := pipe.NewNetwork()
		listen := func(id string) (net.Listener, error) { return network.Listen(id + ":80"), nil }
		s, err := site.Start(ctx, site.Options{Shape: shape, Listen: listen, Dial: network.Dial})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = s.Close() }()
		at := func(address string) wire.Options { return wire.Options{Address: address, Dial: network.Dial} }
		vms, codeErr := vmlist.NewClient(at(s.VMListAddress)).List(ctx)
		if codeErr != nil || len(vms) != 5+2+2 {
			t.Fatalf("list: %d VMs, error %v", len(vms), codeErr)
		}
		domains := make(map[string]bool)
		for _, vm := range vms {
			domains[vm.Domain] = true
		}
		if len(domains) != len(shape.Domains) {
			t.Errorf("VMs in %d domains, want %d", len(domains), len(shape.Domains))
		}
		if _, err := kv.NewClient(at(s.KVAddress)).Get(ctx, "config/current"); err == nil || err.Code != code.KeyMissing {
			t.Errorf("key-value service: got %v, want key-missing", err)
		}
		order := engine.Order{ID: "o1", Fencing: 1, DeadlineMS: 5000, Desired: engine.Desired{Model: shape.Model, Weights: 2}}
		if _, err := engine.NewClient(at(s.Engines[0].Address)).Order(ctx, order); err != nil {
			t.Error(err)
		}
		time.Sleep(3 * time.Second)
		for _, vm := range s.Engines {
			status, err := engine.NewClient(at(vm.Address)).Status(ctx)
			listed, _ := s.VMs.List(ctx)
			index := slices.IndexFunc(listed, func(other vmlist.VM) bool { return other.ID == vm.ID })
			if err != nil || listed[index].Weights != status.Current.Weights || listed[index].Serves != status.Current.Model {
				t.Errorf("%s: listed %+v, status %+v, error %v", vm.ID, listed[index], status, err)
			}
		}
		if started, _ := s.Weights.Loads(); started != 1 {
			t.Errorf("%d weight loads, want 1", started)
		}
		s.Engines[0].Listener.Crash()
		if _, err := engine.NewClient(at(s.Engines[0].Address)).Status(ctx); err == nil {
			t.Error("an engine with a crashed listener responded")
		}
	})
}
