package vmlist_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/platform/vmlist"
	"tanagerspread/platform/wire"
	standin "tanagerspread/standin/vmlist"
)

// TestLag guards against a list without the lag that nodes have to bear.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := standin.New(5*time.Second, vmlist.VM{ID: "e1", State: vmlist.StateLive})
		state := func() string {
			vms, err := l.List(context.Background())
			if err != nil || len(vms) != 1 {
				t.Fatalf("list: %v, error %v", vms, err)
			}
			return vms[0].State
		}
		l.SetState("e1", vmlist.StateLeaving)
		time.Sleep(4 * time.Second)
		if got := state(); got != vmlist.StateLive {
			t.Errorf("after 4s: got %s, want live", got)
		}
		time.Sleep(time.Second)
		if got := state(); got != vmlist.StateLeaving {
			t.Errorf("after 5s: got %s, want leaving", got)
		}
	})
}

// TestClient guards against a client that does not report an outage.
func TestClient(t *testing.T) {
	l := standin.New(0, vmlist.VM{ID: "n1", Address: "127.0.0.1:1", Role: "entry", Domain: "bohol"})
	server := httptest.NewServer(l.Handler())
	defer server.Close()
	client := vmlist.NewClient(wire.Options{Address: strings.TrimPrefix(server.URL, "http://")})
	defer client.Close()
	vms, err := client.List(context.Background())
	if err != nil || len(vms) != 1 || vms[0].Domain != "bohol" {
		t.Errorf("list: %+v, error %v", vms, err)
	}
	l.SetOutage(true)
	if _, err := client.List(context.Background()); err == nil || err.Code != code.VMListAway {
		t.Errorf("outage: got %v, want vm-list-away", err)
	}
}
