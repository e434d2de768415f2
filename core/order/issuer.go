package order

import (
	"time"

	"tanagerspread/chart"
)

// Issuer is the state of this node in the election of the issuer.
type Issuer struct {
	Parameters Parameters
	Chart      chart.Instance
	// Lease is the lease of the current attempt or term.
	Lease string
	// Attempt numbers the attempts to become issuer. It distinguishes the
	// results and the claim of this attempt from those of earlier ones.
	Attempt uint64
	// LeaseSafeUntil is when the node must stop issuing orders, by its own clock,
	// unless the lease is confirmed again before.
	LeaseSafeUntil time.Time
	// ClaimedAt is when the node claimed the issuer's key.
	ClaimedAt time.Time
	// OtherHolderSeenAt is the last time at which another node may have held the
	// key.
	OtherHolderSeenAt time.Time
	// Revision is the revision of the claimed key.
	Revision uint64
	// HighestFencing is the highest fencing number that this node has seen or
	// used.
	HighestFencing uint64
	// FencingNumber is the fencing number of the term, or 0 before the first order.
	FencingNumber uint64
}

// ConfirmLease extends LeaseSafeUntil after a successful call for the lease. The
// TTL is counted from requestedAt, when the call was made, because the lease
// cannot have started earlier.
func (i *Issuer) ConfirmLease(requestedAt time.Time) {
	if until := requestedAt.Add(i.Parameters.LeaseTTL - i.Parameters.LeaseMargin); until.After(i.LeaseSafeUntil) {
		i.LeaseSafeUntil = until
	}
}

// LeaseSafe reports whether no other node can hold the lease yet.
func (i *Issuer) LeaseSafe(now time.Time) bool {
	return now.Before(i.LeaseSafeUntil)
}

// EarlierOrdersFinished reports whether no order of an earlier holder can still
// be in flight.
func (i *Issuer) EarlierOrdersFinished(now time.Time) bool {
	return !now.Before(i.OtherHolderSeenAt.Add(i.Parameters.TakeoverWait))
}

// ChooseFencingNumber sets the fencing number of the term. It is the revision of
// the key. When the key-value service was restored from an older copy, the
// revision may be too low; then it is the highest number seen plus 1.
func (i *Issuer) ChooseFencingNumber() {
	i.FencingNumber = max(i.Revision, i.HighestFencing+1)
	i.HighestFencing = i.FencingNumber
}

// RecordFencing records a fencing number that an engine has seen and reports
// whether it is higher than that of the term.
func (i *Issuer) RecordFencing(seen uint64) bool {
	i.HighestFencing = max(i.HighestFencing, seen)
	return i.FencingNumber != 0 && seen > i.FencingNumber
}

// FinishTerm clears the state of the term.
func (i *Issuer) FinishTerm() {
	i.Lease = ""
	i.LeaseSafeUntil = time.Time{}
	i.ClaimedAt = time.Time{}
	i.Revision = 0
	i.FencingNumber = 0
}
