package egress

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tanagerspread/core/control"
)

// TestResetDuringUpload guards against a part of a response without a length that looks
// whole, because the server reset the connection while the request was being written: when
// the write takes the error of the reset, the next read reports the end of the connection.
func TestResetDuringUpload(t *testing.T) {
	const calls = 100
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		heads := []string{sealedHead + "\r\n", sealedHead + "Content-Type: text/event-stream\r\n\r\n"}
		for i := 0; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(conn, make([]byte, 64<<10))
			_, _ = io.WriteString(conn, heads[i%len(heads)]+"data: part\n\n")
			time.Sleep(5 * time.Millisecond)
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	client := NewClient((&net.Dialer{}).DialContext)
	complete := 0
	for range calls {
		received := &recorder{}
		attempt := ForwardAttempt{ID: "a", Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: make([]byte, 16<<20)}
		result := client.Forward(t.Context(), listener.Addr().String(), testProtocol{}, attempt, testTimeouts, maySend, received)
		if received.complete || result.Outcome == control.Succeeded {
			complete++
		} else if !result.ConnectionBroken {
			t.Errorf("got %+v, want a broken connection", result)
		}
	}
	if complete > 0 {
		t.Errorf("%d of %d parts count as complete responses", complete, calls)
	}
}
