package ingress

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	"tanagerspread/core/code"
	"tanagerspread/node/memory"
)

// stalledBody is a body that stops after some bytes until released is closed.
type stalledBody struct {
	bytes    int
	released chan struct{}
}

func (b *stalledBody) Read(p []byte) (int, error) {
	if b.bytes == 0 {
		<-b.released
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.bytes)
	b.bytes -= n
	return n, nil
}

// TestRefusedBodyNotCounted guards against a body that was refused for memory and counts
// until its end, and against bodies in chunks that count only when they are complete.
func TestRefusedBodyNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := memory.NewBudget(1 << 20)
		front := NewFrontend(Options{Budget: budget, MaxBodyBytes: 4 << 20})
		released := make(chan struct{})
		results := make(chan *code.Error, 2)
		read := func(bytes int) {
			account := front.newCallMemory()
			defer account.release()
			r := httptest.NewRequest(http.MethodPost, "/", &stalledBody{bytes, released})
			r.ContentLength = -1
			_, err := front.readCountedBody(httptest.NewRecorder(), r, account)
			results <- err
		}
		go read(400 << 10)
		synctest.Wait()
		if used := budget.Used(); used < 400<<10 {
			t.Errorf("%d bytes count of a body of %d that has not ended", used, 400<<10)
		}
		before := budget.Used()
		go read(2 << 20)
		synctest.Wait()
		if used := budget.Used(); used != before {
			t.Errorf("%d bytes of a refused body still count", used-before)
		}
		close(released)
		codes := map[code.Code]int{}
		for range 2 {
			err := <-results
			codes[err.Code]++
			if err.Code == code.MalformedBody && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("the broken body got %v", err)
			}
		}
		if codes[code.Overloaded] != 1 || codes[code.MalformedBody] != 1 || budget.Used() != 0 {
			t.Errorf("got codes %v, %d bytes still count", codes, budget.Used())
		}
	})
}
