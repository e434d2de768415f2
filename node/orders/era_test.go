package orders_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/client/wire"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/node/orders"
	"tanagerspread/platform"
	"tanagerspread/standin/deployed"
)

// results receives the results of the workers.
type results chan control.Message

// Tell implements worker.Teller.
func (r results) Tell(message control.Message) bool {
	r <- message
	return true
}

// TestClaimUnderForeignLease guards against a key of the issuer that stays for good: the
// response to its claim was lost, and the store, which reverted before, has given the
// number of the claim's lease to another node.
func TestClaimUnderForeignLease(t *testing.T) {
	standin := deployed.NewStore()
	standin.SetEra(1)
	server := httptest.NewServer(standin.Handler())
	defer server.Close()
	store := platform.NewStore(wire.Options{Address: strings.TrimPrefix(server.URL, "http://")}, time.Second)
	defer store.Close()
	told := make(results, 1)
	workers := orders.New(orders.Options{Control: told, Service: store, LeaseTime: time.Minute, Logger: logr.Discard()})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go workers.Run(ctx)
	step := func(command control.IssuerCommand) control.IssuerResult {
		workers.Submit(command)
		result, _ := (<-told).(control.IssuerResult)
		return result
	}
	before := standin.Copy()
	granted := step(control.IssuerCommand{Step: control.IssuerGrant, Node: "n1"})
	standin.Revert(before)
	response, err := http.Post(server.URL+"/kv-lease", "application/json", strings.NewReader(`{"ttl_ms":60000}`))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	standin.LoseNextResponses(1)
	claimed := step(control.IssuerCommand{Step: control.IssuerClaim, Node: "n1", Lease: granted.Lease})
	if claimed.Err == nil || claimed.Err.Code != code.LeaseLapsed {
		t.Errorf("the claim returns %+v", claimed)
	}
	if value := standin.Value(orders.KeyIssuer); value != nil {
		t.Errorf("the key stays: %s", value)
	}
}
