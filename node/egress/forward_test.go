package egress

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/request"
	"tanagerspread/node/forward"
	"tanagerspread/node/memory"
)

// testProtocol takes the header "Seal" as the seal and "Id" as the id of the attempt.
type testProtocol struct{ forward.Protocol }

func (testProtocol) DecodeResponse(id request.ID, response *http.Response) forward.ResponseInfo {
	return forward.ResponseInfo{
		MatchesAttempt: response.Header.Get("Id") == string(id), Sealed: response.Header.Get("Seal") != "",
		Leaving: response.Header.Get("Leaving") != "",
	}
}

// recorder records what reaches the caller.
type recorder struct {
	complete bool
	started  bool
	events   int
	leaves   bool
}

func (r *recorder) Notice(notice control.Notice) { r.leaves = notice.Leaving }

func (r *recorder) CompleteResponse(*http.Response, []byte) { r.complete = true }
func (r *recorder) StartStream(*http.Response) error        { r.started = true; return nil }
func (r *recorder) Event(forward.Event) error               { r.events++; return nil }

// forwardTo forwards a call to a server that sends a text and then, until the caller
// closes the connection, repeats another one. It returns the result, what reached the
// caller and the number of bytes that were accepted.
func forwardTo(t *testing.T, first, endless string) (Result, *recorder, int) {
	t.Helper()
	accepted := make(chan int, 1)
	client := NewClient(func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Read(make([]byte, 4096))
			total, _ := far.Write([]byte(first))
			chunk := []byte(strings.Repeat(endless, 4096/max(len(endless), 1)))
			for endless != "" {
				n, err := far.Write(chunk)
				total += n
				if err != nil {
					break
				}
			}
			accepted <- total
			_ = far.Close()
		}()
		return near, nil
	})
	received := &recorder{}
	attempt := ForwardAttempt{ID: "a", Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}}
	timeouts := Timeouts{Dial: time.Minute, Header: time.Minute, Gap: time.Minute}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	result := client.Forward(ctx, "server:1", testProtocol{}, attempt, timeouts, func(context.Context) error { return nil }, received)
	return result, received, <-accepted
}

const (
	sealedHead = "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n"
	streamHead = sealedHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// TestResponseNeedsSealAndID guards against a response that another program or another
// request's run made and that reaches the caller.
func TestResponseNeedsSealAndID(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	for name, response := range map[string]string{
		"no seal":    "HTTP/1.1 200 OK\r\nId: a\r\n" + body,
		"another id": "HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\n" + body,
	} {
		result, received, _ := forwardTo(t, response, "")
		if received.complete || result.Outcome != control.Lost || result.Cause == nil || result.Cause.Code != code.AnswerMismatched {
			t.Errorf("%s: delivered %t, result %+v", name, received.complete, result)
		}
	}
	if result, received, _ := forwardTo(t, sealedHead+body, ""); !received.complete || result.Outcome != control.Succeeded {
		t.Errorf("a sealed response: %+v", result)
	}
}

// TestBytesWithoutEnd guards against a server in trouble that sends bytes which are no
// response until the caller closes, and fills the memory of the node.
func TestBytesWithoutEnd(t *testing.T) {
	const maxHead = 256 << 10
	cases := []struct {
		name, first, endless string
		most                 int
	}{
		{"status line", "HTTP/1.1 200 ", "O", maxHead},
		{"no HTTP", "", "\x00", maxHead},
		{"header line", "HTTP/1.1 200 OK\r\nId: ", "a", maxHead},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n", maxHead},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", maxHead},
		{"chunk extension", sealedHead + "Transfer-Encoding: chunked\r\n\r\n2;", "x", maxHead},
		{"trailer", sealedHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "X: y\r\n", maxHead},
		{"body", sealedHead + "\r\n", "b", 2 * maxForwardResponseBytes},
		{"chunks", sealedHead + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n", 16 * maxForwardResponseBytes},
		{"event", streamHead, "4\r\ndata\r\n", 8 << 20},
	}
	for _, c := range cases {
		result, received, accepted := forwardTo(t, c.first, c.endless)
		if received.complete || received.events > 0 || result.Outcome != control.Lost {
			t.Errorf("%s: delivered %t, %d events, result %+v", c.name, received.complete, received.events, result)
		}
		if accepted > c.most {
			t.Errorf("%s: %d bytes were accepted, want at most %d", c.name, accepted, c.most)
		}
	}
}

// TestReceiverReturnsCause guards against an attempt that the node ended with a cause and
// that is not repeated, because its receiver learned of the end first.
func TestReceiverReturnsCause(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(code.New(code.OutdatedWeights, "stopped"))
	if got := failedResult(ctx, &stoppedError{cause: context.Cause(ctx)}); got.Outcome != control.Lost || got.Cause.Code != code.OutdatedWeights {
		t.Errorf("the cause itself: got %+v, want an attempt that may have run", got)
	}
	if got := failedResult(ctx, &stoppedError{cause: net.ErrClosed}); got.Outcome != control.Stopped {
		t.Errorf("another error: got %+v, want a stopped attempt", got)
	}
}

// TestLeavingInHeadOfStream guards against a leaving report that is handled only when the
// stream that brought it ends.
func TestLeavingInHeadOfStream(t *testing.T) {
	const head = sealedHead + "Leaving: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	result, received, _ := forwardTo(t, head+"4\r\ndata\r\n", "")
	if result.Outcome != control.Lost || !received.leaves {
		t.Errorf("a stream that breaks off: report received %t, result %+v", received.leaves, result)
	}
	if _, received, _ := forwardTo(t, strings.Replace(head, "Id: a", "Id: b", 1)+"4\r\ndata\r\n", ""); received.leaves {
		t.Error("the response to another attempt counts as a report of the server")
	}
}

// TestManyBodiesWithoutEnd guards against servers that all send a body without end and fill
// the memory of the node together, against a small response that fails beside them, and
// against a server that is blamed for the memory of the node.
func TestManyBodiesWithoutEnd(t *testing.T) {
	const calls, limit = 24, 16 << 20
	budget := memory.NewBudget(limit)
	var most, failed, stopped atomic.Int64
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			account, small := budget.NewResponseAccount(), budget.NewResponseAccount()
			_, err := readBody(readerFunc(func(p []byte) (int, error) {
				most.Store(max(most.Load(), budget.Used()))
				return len(p), nil
			}), account, -1)
			if err != nil {
				failed.Add(1)
			}
			if result := failedResult(t.Context(), err); result.Outcome == control.Stopped && result.Cause.Code == code.AnswerTooLarge {
				stopped.Add(1)
			}
			if data, err := readBody(strings.NewReader("small"), small, -1); err != nil || string(data) != "small" {
				t.Errorf("a small response: %q, %v", data, err)
			}
			account.Release()
			small.Release()
		})
	}
	group.Wait()
	if failed.Load() != calls || stopped.Load() == 0 || most.Load() > limit {
		t.Errorf("%d of %d bodies without end failed, %d for memory; %d bytes were held", failed.Load(), calls, stopped.Load(), most.Load())
	}
	if left := budget.Used(); left != 0 {
		t.Errorf("%d bytes still count", left)
	}
}

// TestEventsCounted guards against events of streams that take memory beside the budget,
// and that still count after the attempt.
func TestEventsCounted(t *testing.T) {
	budget := memory.NewBudget(512 << 10)
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(streamHead)), nil)
	if err != nil {
		t.Fatal(err)
	}
	for size, want := range map[int]control.Outcome{100 << 10: control.Succeeded, 900 << 10: control.Stopped} {
		account := budget.NewResponseAccount()
		body := strings.NewReader("data: " + strings.Repeat("x", size) + "\n\n")
		err := receiveStream(body, response, account, &recorder{})
		if got := bodyResult(t.Context(), Result{}, err); got.Outcome != want {
			t.Errorf("an event of %d bytes: got %+v, want outcome %v", size, got, want)
		}
		if used := budget.Used(); used != 0 {
			t.Errorf("%d bytes still count", used)
		}
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
