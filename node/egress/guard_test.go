package egress

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/node/clock"
)

// TestFirstByteAfterDeadline guards against a process that was paused after
// the decision to send and sends the first byte after the deadline.
func TestFirstByteAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		near, far := net.Pipe()
		received := make(chan int, 1)
		go func() {
			n, _ := far.Read(make([]byte, 1))
			received <- n
		}()
		conn := newDeadlineConn(ctx, near, time.Second)
		time.Sleep(time.Minute)
		_, err := conn.Write([]byte("x"))
		var coded *code.Error
		if !errors.As(err, &coded) || coded.Code != code.DeadlinePassed {
			t.Errorf("got error %v, want code %d", err, code.DeadlinePassed)
		}
		_ = near.Close()
		if n := <-received; n != 0 {
			t.Errorf("%d bytes were sent after the deadline", n)
		}
	})
}

// TestFirstByteAfterSuspension guards against a first byte after the deadline
// when the machine was suspended, during which the monotonic clock stops.
func TestFirstByteAfterSuspension(t *testing.T) {
	now := time.Hour
	defer clock.ReplaceBootClock(func() time.Duration { return now })()
	ctx, cancel := context.WithTimeout(clock.NewContext(t.Context()), time.Minute)
	defer cancel()
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn := newDeadlineConn(ctx, near, time.Second)
	now += time.Hour
	var coded *code.Error
	if _, err := conn.Write([]byte("x")); !errors.As(err, &coded) || coded.Code != code.DeadlinePassed {
		t.Errorf("got error %v, want code.DeadlinePassed", err)
	}
}
