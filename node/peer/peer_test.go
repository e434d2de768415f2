package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/quarantine"
)

// digestBudget is the allowance for control in bytes per second.
const digestBudget = 3000

// fakeControl answers with a fixed digest.
type fakeControl struct {
	digest membership.Digest
}

func (f fakeControl) Ask(context.Context, control.Question) (control.Decision, *code.Error) {
	return control.DigestAnswer{Digest: f.digest}, nil
}

func (fakeControl) Tell(control.Message) bool { return true }

// countingConn counts what is written, and drops it while silent.
type countingConn struct {
	net.Conn
	written *atomic.Int64
	silent  *atomic.Bool
}

func (c countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// pipe returns a client of a server over net.Pipe, the bytes written by both
// ends, and a function that makes the connections opened so far silent.
func pipe(ctx context.Context, digest membership.Digest) (*Client, *atomic.Int64, func()) {
	return pipeTo(ctx, fakeControl{digest})
}

// pipeTo is pipe with another control thread.
func pipeTo(ctx context.Context, asker Asker) (*Client, *atomic.Int64, func()) {
	written := &atomic.Int64{}
	var opened []*atomic.Bool
	server := NewServer(asker)
	client := NewClient(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		silent := &atomic.Bool{}
		opened = append(opened, silent)
		go server.serveConn(ctx, countingConn{far, written, silent})
		return countingConn{near, written, silent}, nil
	}, nil)
	return client, written, func() {
		for _, silent := range opened {
			silent.Store(true)
		}
	}
}

// fullDigest is the largest digest at the target size.
func fullDigest(asked bool) membership.Digest {
	d := membership.Digest{Node: "entry-vm-0340", Incarnation: 1_780_000_000_000, State: "ready", Version: 266450, NewestVersion: 266451, ConfirmationAge: 3 * time.Second, MemberListID: 1 << 31}
	if asked {
		for i := range 340 {
			d.LastSeenAges = append(d.LastSeenAges, uint8(i%membership.MaxAgeSeconds))
		}
		return d
	}
	d.ConfirmationAge = membership.UnknownConfirmation
	for i := range membership.MaxPeriodicItems {
		d.LeavingReports = append(d.LeavingReports, membership.LeavingReport{Server: fmt.Sprintf("engine-vm-%04d", i), Address: "10.200.100.100:8000", Age: 59 * time.Second})
		d.Quarantine = append(d.Quarantine, membership.FingerprintStatus{
			ID: quarantine.Fingerprint{byte(i)}, Kind: quarantine.Quarantined, Server: fleet.ServerID(fmt.Sprintf("engine-vm-%04d", i)), ExpiresIn: quarantine.QuarantineTTL,
		})
	}
	return d
}

// TestDigestBytes guards against digests that exceed the allowance for
// control at the target size. A node asks two peers and answers two.
func TestDigestBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		client, written, _ := pipe(ctx, fullDigest(true))
		defer client.Close()
		const rounds = 100
		for range rounds {
			if _, err := client.Digest(ctx, "n2", fullDigest(false)); err != nil {
				t.Fatal(err)
			}
		}
		exchange := written.Load() / rounds
		t.Logf("%d bytes an exchange, %d bytes/s with four exchanges a second", exchange, 4*exchange)
		if 4*exchange > digestBudget {
			t.Errorf("%d bytes/s, budget %d", 4*exchange, digestBudget)
		}
	})
}

// TestSilentConnection guards against a connection that goes silent and is
// used for good.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		client, _, silence := pipe(ctx, membership.Digest{Node: "n2"})
		defer client.Close()
		if err := client.Ping(ctx, "n2"); err != nil {
			t.Fatal(err)
		}
		silence()
		began := time.Now()
		if err := client.Ping(ctx, "n2"); err != nil {
			t.Errorf("ping after the replacement: %v", err)
		}
		if waited := time.Since(began); waited != callTimeout {
			t.Errorf("replaced after %v, want %v", waited, callTimeout)
		}
	})
}
