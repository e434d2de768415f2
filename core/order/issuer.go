package order

import (
	"time"

	"tanagerspread/chart"
)

// Issuer is this node's part in the selection of the issuer.
type Issuer struct {
	Parameters Parameters
	Chart      chart.Instance
	// Lease is the lease of the current attempt or term.
	Lease string
	// Attempt numbers the attempts to become issuer. It tells this attempt's
	// results and claim from those of earlier ones.
	Attempt uint64
	// LeaseSafeUntil is when the node must stop issuing by its own clock unless
	// the lease is confirmed again.
	LeaseSafeUntil time.Time
	// ClaimedAt is when the key was claimed.
	ClaimedAt time.Time
	// OtherHolderSeenAt is when another holder may have had the key for the last time.
	OtherHolderSeenAt time.Time
	// Revision is the revision of the claimed key.
	Revision uint64
	// HighestFencing is the highest fencing number that this node has seen.
	HighestFencing uint64
	// FencingNumber is the fencing number of the term, or 0 before the first order.
	FencingNumber uint64
}

// ConfirmLease extends the safe time. The lease runs at least from the time at
// which the call was made.
func (i *Issuer) ConfirmLease(requestedAt time.Time) {
	if until := requestedAt.Add(i.Parameters.LeaseTTL - i.Parameters.LeaseMargin); until.After(i.LeaseSafeUntil) {
		i.LeaseSafeUntil = until
	}
}

// LeaseSafe reports whether the lease cannot have been taken over yet.
func (i *Issuer) LeaseSafe(now time.Time) bool {
	return now.Before(i.LeaseSafeUntil)
}

// EarlierOrdersFinished reports whether no order of an earlier holder can be in flight.
func (i *Issuer) EarlierOrdersFinished(now time.Time) bool {
	return !now.Before(i.OtherHolderSeenAt.Add(i.Parameters.TakeoverWait))
}

// ChooseFencingNumber fixes the fencing number of the term. It is the revision of the
// key, or the next number after the highest one that an engine has seen when
// the service was restored from an older copy.
func (i *Issuer) ChooseFencingNumber() {
	i.FencingNumber = max(i.Revision, i.HighestFencing+1)
	i.HighestFencing = i.FencingNumber
}

// RecordFencing remembers a number that an engine has seen and reports whether
// it is newer than that of the term.
func (i *Issuer) RecordFencing(seen uint64) bool {
	i.HighestFencing = max(i.HighestFencing, seen)
	return i.FencingNumber != 0 && seen > i.FencingNumber
}

// FinishTerm forgets everything that belongs to the term.
func (i *Issuer) FinishTerm() {
	i.Lease = ""
	i.LeaseSafeUntil = time.Time{}
	i.ClaimedAt = time.Time{}
	i.Revision = 0
	i.FencingNumber = 0
}
