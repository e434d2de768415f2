package vmlist_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/client/vmlist"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
	standin "tanagerspread/standin/vmlist"
)

// TestLag guards against a list that shows changes before its lag has passed, which
// nodes must tolerate, or does not show them after it.
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

// TestClient guards against a client that does not report an unreachable list.
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
	l.SetUnreachable(true)
	if _, err := client.List(context.Background()); err == nil || err.Code != code.VMListAway {
		t.Errorf("unreachable list: got %v, want vm-list-away", err)
	}
}

// TestUnchangedList guards against a client that transfers an unchanged list again,
// and against one that does not notice a change.
func TestUnchangedList(t *testing.T) {
	l := standin.New(0, vmlist.VM{ID: "n1", State: vmlist.StateLive})
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		l.Handler().ServeHTTP(recorder, r)
		sent += recorder.Body.Len()
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	client := vmlist.NewClient(wire.Options{Address: strings.TrimPrefix(server.URL, "http://")})
	defer client.Close()
	read := func(state string) {
		t.Helper()
		vms, err := client.List(context.Background())
		if err != nil || len(vms) != 1 || vms[0].State != state {
			t.Errorf("list: %+v, error %v; want state %s", vms, err, state)
		}
	}
	read(vmlist.StateLive)
	first := sent
	read(vmlist.StateLive)
	if sent != first {
		t.Errorf("reading an unchanged list transferred %d bytes, want 0", sent-first)
	}
	l.SetState("n1", vmlist.StateLeaving)
	read(vmlist.StateLeaving)
}

// BenchmarkTargetList measures a read of a list of the target size that has not
// changed since the last read, and of one that has. It reports the size of the list.
func BenchmarkTargetList(b *testing.B) {
	l := standin.New(0)
	add := func(count int, role, serves string) {
		for i := range count {
			address := fmt.Sprintf("10.20.%d.%d:8000", i/256, i%256)
			vm := vmlist.VM{ID: fmt.Sprintf("%s-vm-%04d", role, i), Address: address, Domain: "negros-oriental", Role: role, Serves: serves, State: vmlist.StateLive}
			if role == "entry" {
				vm.PeerAddress, vm.AdminAddress = address, address
			}
			l.Set(vm)
		}
	}
	add(1000, "engine", "model-01")
	add(340, "entry", "")
	add(20, "store", "")
	server := httptest.NewServer(l.Handler())
	defer server.Close()
	for _, changing := range []bool{false, true} {
		b.Run(fmt.Sprintf("changing=%t", changing), func(b *testing.B) {
			client := vmlist.NewClient(wire.Options{Address: strings.TrimPrefix(server.URL, "http://")})
			defer client.Close()
			b.ReportAllocs()
			for i := range b.N {
				if changing {
					l.SetServes("engine-vm-0001", "model-01", i)
				}
				if _, err := client.List(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			vms, _ := client.List(context.Background())
			data, _ := json.Marshal(vmlist.Reply{VMs: vms})
			b.ReportMetric(float64(len(data)), "B/list")
		})
	}
}
