package fault_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/standin/fault"
	"tanagerspread/standin/pipe"
)

const address = "echo:80"

// echo sends back the bytes that each connection receives.
func echo(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(c, c)
			_ = c.Close()
		}()
	}
}

// roundTrip sends one byte and waits up to a minute for it to come back.
func roundTrip(c net.Conn) error {
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// TestListener guards against stalled connections that report an error, and
// against faults that affect the wrong connections.
func TestListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipe.NewNetwork()
		listener := fault.Wrap(network.Listen(address))
		go echo(listener)
		defer func() { _ = listener.Close() }()
		dial := func() net.Conn {
			c, err := network.Dial(context.Background(), "tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
			return c
		}
		first := dial()
		if err := roundTrip(first); err != nil {
			t.Fatal(err)
		}
		listener.Stall()
		start := time.Now()
		if err := roundTrip(first); err == nil || time.Since(start) != time.Minute {
			t.Errorf("stalled connection: error %v after %v, want an error after 1m", err, time.Since(start))
		}
		second := dial()
		if err := roundTrip(second); err != nil {
			t.Errorf("new connection after Stall: %v", err)
		}
		listener.Crash()
		start = time.Now()
		if roundTrip(second) == nil || roundTrip(dial()) == nil || time.Since(start) != 0 {
			t.Errorf("a crashed listener responded, or a connection failed only after %v", time.Since(start))
		}
		listener.Restart()
		if err := roundTrip(dial()); err != nil {
			t.Errorf("new connection after Restart: %v", err)
		}
		listener.CloseConnections()
	})
}
