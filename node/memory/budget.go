// Package memory counts the memory that callers and servers make a node use, so that
// it stays within one budget.
package memory

import "sync/atomic"

const (
	// smallBytes is the size up to which an account may use the parts of the budget
	// that large accounts leave free, so that ordinary calls are served while large
	// bodies are refused.
	smallBytes = 64 << 10
	// largeParts, requestParts and budgetParts are the sixteenths of the budget up to
	// which large accounts, accounts of requests and accounts of responses may
	// reserve. A call that has run thus finds memory for a small response.
	// optionalParts are those for memory that a call can do without.
	optionalParts = 8
	largeParts    = 12
	requestParts  = 15
	budgetParts   = 16
)

// Budget is the memory that all accounts share. Its methods may be called by any
// goroutine. Each reservation is one atomic addition, because asking the control
// thread would cost a message for each read. A nil budget has no limit.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Scarce reports whether more than half of the budget is reserved.
func (b *Budget) Scarce() bool {
	return b != nil && b.used.Load() > b.limit/budgetParts*optionalParts
}

// reserve reserves n bytes for an account that holds held bytes, unless that exceeds
// the part of the budget that the account may use.
func (b *Budget) reserve(held, n, parts int64) bool {
	if b == nil {
		return true
	}
	if held+n > smallBytes {
		parts = min(parts, largeParts)
	}
	limit := b.limit / budgetParts * parts
	if b.used.Add(n) > limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Account is the part of a budget that one connection or call holds. It must not be
// used by two goroutines at once. A nil account has no limit.
type Account struct {
	budget *Budget
	parts  int64
	held   int64
}

// NewAccount returns an account of a connection or a request that holds nothing.
func (b *Budget) NewAccount() *Account {
	return &Account{budget: b, parts: requestParts}
}

// NewResponseAccount returns an account of a response that holds nothing.
func (b *Budget) NewResponseAccount() *Account {
	return &Account{budget: b, parts: budgetParts}
}

// Grow reserves n more bytes. It returns false and reserves nothing when the budget
// does not allow it.
func (a *Account) Grow(n int64) bool {
	return a.grow(n, budgetParts)
}

// GrowOptional is Grow for memory that a call can do without. It returns false when the
// budget would be scarce with it.
func (a *Account) GrowOptional(n int64) bool {
	return a.grow(n, optionalParts)
}

func (a *Account) grow(n, parts int64) bool {
	if a == nil {
		return true
	}
	if !a.budget.reserve(a.held, n, min(a.parts, parts)) {
		return false
	}
	a.held += n
	return true
}

// Shrink releases n of the reserved bytes.
func (a *Account) Shrink(n int64) {
	if a == nil {
		return
	}
	a.held -= n
	if a.budget != nil {
		a.budget.used.Add(-n)
	}
}

// Held returns the number of bytes that the account holds.
func (a *Account) Held() int64 {
	if a == nil {
		return 0
	}
	return a.held
}

// Release releases all bytes of the account.
func (a *Account) Release() {
	a.Shrink(a.Held())
}
