package ctl_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/client/vmlist"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/ctl"
	"tanagerspread/node/confkv"
	standinkv "tanagerspread/standin/kv"
	standinlist "tanagerspread/standin/vmlist"
)

// TestApplyResult guards against an apply that reports a version as accepted
// although a node has not acknowledged it. Such a version is only committed.
func TestApplyResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		store := standinkv.NewStore(standinkv.Options{})
		vms := standinlist.New(0)
		for _, id := range []string{"n1", "n2"} {
			vms.Set(vmlist.VM{ID: id, Role: "entry", State: vmlist.StateLive})
		}
		options := ctl.ApplyOptions{
			KeyValue: store, VMList: vms, ApplyID: "a", Author: "operator", Text: []byte("rules"), Wait: ctl.DefaultApplyWait,
			Parse: func([]byte) (*config.Rules, *code.Error) { return &config.Rules{}, nil },
		}
		acknowledge := func(node string) {
			data, _ := json.Marshal(confkv.Session{Node: node, Version: 1})
			if _, err := store.Put(ctx, kv.Write{Key: confkv.PrefixNodes + node, Value: data}); err != nil {
				t.Fatal(err)
			}
		}
		acknowledge("n1")
		start := time.Now()
		result, err := ctl.ApplyRules(ctx, options)
		if err == nil || err.Code != code.NotAccepted || result.Accepted || result.Version != 1 || len(result.Missing) != 1 || result.Missing[0] != "n2" {
			t.Errorf("result %+v, error %v; want committed with n2 missing", result, err)
		}
		if waited := time.Since(start); waited != ctl.DefaultApplyWait {
			t.Errorf("waited %v, want %v", waited, ctl.DefaultApplyWait)
		}
		acknowledge("n2")
		result, err = ctl.ApplyRules(ctx, options)
		if err != nil || !result.Accepted || result.Version != 1 || len(result.Missing) != 0 {
			t.Errorf("result %+v, error %v; want version 1 accepted", result, err)
		}
	})
}
