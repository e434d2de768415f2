package memory

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestLargeAccountsLeaveRoom guards against large bodies that leave no memory for
// ordinary calls, requests that leave none for the responses to calls that have run, and
// reservations that outlive their account.
func TestLargeAccountsLeaveRoom(t *testing.T) {
	budget := NewBudget(1 << 20)
	large, small, response := budget.NewAccount(), budget.NewAccount(), budget.NewResponseAccount()
	for large.Grow(smallBytes) {
	}
	if used := budget.Used(); used != 3<<18 || !budget.Scarce() {
		t.Errorf("large accounts hold %d bytes, want %d", used, 3<<18)
	}
	if !small.Grow(smallBytes) || small.Grow(1) {
		t.Error("an account of smallBytes is refused, or a larger one is not")
	}
	others := []*Account{budget.NewAccount(), budget.NewAccount()}
	if !others[0].Grow(smallBytes) || !others[1].Grow(smallBytes) || budget.NewAccount().Grow(1) {
		t.Error("requests use the part of responses, or not theirs")
	}
	if !response.Grow(smallBytes) || response.Grow(1) {
		t.Error("a small response is refused, or a larger one is not")
	}
	large.Release()
	small.Release()
	response.Release()
	others[0].Release()
	others[1].Release()
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}

// TestReadAllCountsArrivedBytes guards against data that counts before it arrives,
// that counts less than its buffer, or that still counts after a refusal.
func TestReadAllCountsArrivedBytes(t *testing.T) {
	content := bytes.Repeat([]byte("x"), 100_000)
	budget := NewBudget(1 << 20)
	for name, test := range map[string]struct {
		reader io.Reader
		length int64
		limit  int64
		want   error
	}{
		"length":         {bytes.NewReader(content), 100_000, 1 << 20, nil},
		"no length":      {iotest.DataErrReader(bytes.NewReader(content)), -1, 1 << 20, nil},
		"at the limit":   {bytes.NewReader(content), -1, 100_000, nil},
		"over the limit": {bytes.NewReader(content), -1, 99_999, ErrTooLarge},
		"broken":         {iotest.TimeoutReader(iotest.OneByteReader(strings.NewReader("xy"))), 9 << 20, 1 << 20, iotest.ErrTimeout},
		"no memory":      {io.LimitReader(zeros{}, 8<<20), 8 << 20, 8 << 20, ErrNoMemory},
	} {
		account := budget.NewAccount()
		data, err := ReadAll(test.reader, account, test.length, test.limit)
		if !errors.Is(err, test.want) || err == nil && !bytes.Equal(data, content) {
			t.Errorf("%s: got %d bytes and error %v, want error %v", name, len(data), err, test.want)
		}
		if account.Held() != int64(cap(data)) {
			t.Errorf("%s: the account holds %d bytes, the buffer has %d", name, account.Held(), cap(data))
		}
		account.Release()
	}
}

// zeros is a reader without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestOptionalMemory guards against memory that calls can do without and that makes the
// budget scarce for all others.
func TestOptionalMemory(t *testing.T) {
	budget := NewBudget(1 << 20)
	accounts := 0
	for budget.NewAccount().GrowOptional(128 << 10) {
		accounts++
	}
	if accounts != 4 || budget.Scarce() {
		t.Errorf("%d accounts of an eighth of the budget got optional memory, scarce: %v; want 4 and not", accounts, budget.Scarce())
	}
	if !budget.NewAccount().Grow(128 << 10) {
		t.Error("other memory is refused")
	}
}
