// Package invariant asserts conditions that must always hold inside the
// program.
package invariant

import "fmt"

// Name identifies one invariant.
type Name string

// The invariants of the system.
const (
	AtMostOneDispatch      Name = "non-idempotent request is dispatched at most once"
	VersionIncreases       Name = "configuration version never decreases"
	SameOrganisation       Name = "cache scope belongs to the organisation of the request"
	SameWeights            Name = "new request uses blocks of its own weight version only"
	OwnResponse            Name = "response belongs to the request of the caller"
	NoNewWork              Name = "leaving server receives no new work"
	NotRunNotDispatched    Name = "request reported as not run was not dispatched"
	DrainInterruptsNothing Name = "node stops only when no request is in progress"
	CountsNotNegative      Name = "counts of work in progress are never negative"
	BudgetNotNegative      Name = "retry budget is never negative"
	QueueBounded           Name = "queue of a class stays within its bound"
	FencingIncreases       Name = "issuer never uses a fencing number that was seen before"
	LoadsBounded           Name = "orders in progress stay within the bound of the site"
	VerifiedBlocksOnly     Name = "imported block passed verification"
)

// Violation is the error of a failed invariant.
type Violation struct {
	Invariant Name
	Detail    string
}

// Error returns the name of the invariant and the detail.
func (v *Violation) Error() string {
	return fmt.Sprintf("invariant failed: %s: %s", v.Invariant, v.Detail)
}

// Checker reports violations to a handler. A node's handler logs and counts
// them. The zero value, for tests, panics.
type Checker struct {
	report func(*Violation)
}

// NewChecker returns a checker that calls report for each violation.
func NewChecker(report func(*Violation)) Checker {
	return Checker{report: report}
}

// Check reports a violation when the condition is false. It returns the
// condition, so that the caller can refuse the request when it does not hold.
func (c Checker) Check(condition bool, name Name, format string, args ...any) bool {
	if condition {
		return true
	}
	if c.report == nil {
		panic(&Violation{Invariant: name, Detail: fmt.Sprintf(format, args...)})
	}
	c.report(&Violation{Invariant: name, Detail: fmt.Sprintf(format, args...)})
	return false
}
