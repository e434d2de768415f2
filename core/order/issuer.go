package order

import (
	"time"

	"tanagerspread/chart"
)

// Issuer is this node's part in the selection of the issuer.
type Issuer struct {
	Terms Terms
	Chart chart.Instance
	// Lease is the lease of the current attempt or term.
	Lease string
	// Attempt numbers the attempts to become issuer. It tells this attempt's
	// results and claim from those of earlier ones.
	Attempt uint64
	// SafeUntil is when the node must stop issuing by its own clock unless
	// the lease is confirmed again.
	SafeUntil time.Time
	// Claimed is when the key was claimed.
	Claimed time.Time
	// OtherSeen is when another holder may have had the key for the last time.
	OtherSeen time.Time
	// Revision is the revision of the claimed key.
	Revision uint64
	// Highest is the highest fencing number that this node has seen.
	Highest uint64
	// Fence is the fencing number of the term, or 0 before the first order.
	Fence uint64
}

// Confirm extends the safe time. The lease runs at least from the time at
// which the call was made.
func (i *Issuer) Confirm(asked time.Time) {
	if until := asked.Add(i.Terms.LeaseTime - i.Terms.LeaseMargin); until.After(i.SafeUntil) {
		i.SafeUntil = until
	}
}

// Safe reports whether the lease cannot have been taken over yet.
func (i *Issuer) Safe(now time.Time) bool {
	return now.Before(i.SafeUntil)
}

// WaitedOut reports whether no order of an earlier holder can be in flight.
func (i *Issuer) WaitedOut(now time.Time) bool {
	return !now.Before(i.OtherSeen.Add(i.Terms.SettleTime))
}

// ChooseFence fixes the fencing number of the term. It is the revision of the
// key, or the next number after the highest one that an engine has seen when
// the service was restored from an older copy.
func (i *Issuer) ChooseFence() {
	i.Fence = max(i.Revision, i.Highest+1)
	i.Highest = i.Fence
}

// NoteFencing remembers a number that an engine has seen and reports whether
// it is newer than that of the term.
func (i *Issuer) NoteFencing(seen uint64) bool {
	i.Highest = max(i.Highest, seen)
	return i.Fence != 0 && seen > i.Fence
}

// EndTerm forgets everything that belongs to the term.
func (i *Issuer) EndTerm() {
	i.Lease = ""
	i.SafeUntil = time.Time{}
	i.Claimed = time.Time{}
	i.Revision = 0
	i.Fence = 0
}
