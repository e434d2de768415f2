package quarantine

import "time"

// maxProofs bounds the proofs that a node remembers for maxCrashAge.
const maxProofs = 8192

// proofs has the time of the last proof of each part or fingerprint. Those of the period
// before the current one are kept too, so that a proof is remembered for one to two periods.
type proofs[K comparable] struct {
	current, previous map[K]time.Time
	rotatedAt         time.Time
}

func newProofs[K comparable](now time.Time) proofs[K] {
	return proofs[K]{current: map[K]time.Time{}, previous: map[K]time.Time{}, rotatedAt: now}
}

// record remembers a proof and reports whether it is later than the known one.
func (p *proofs[K]) record(now time.Time, id K, at time.Time) bool {
	if !at.After(p.last(id)) {
		return false
	}
	if len(p.current) >= maxProofs || now.Sub(p.rotatedAt) >= maxCrashAge {
		p.previous, p.current = p.current, map[K]time.Time{}
		p.rotatedAt = now
	}
	p.current[id] = at
	return true
}

// last returns the time of the last proof, or the zero time.
func (p *proofs[K]) last(id K) time.Time {
	if at, known := p.current[id]; known {
		return at
	}
	return p.previous[id]
}
