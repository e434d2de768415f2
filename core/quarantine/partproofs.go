package quarantine

import "time"

// maxProofs bounds the proofs that a node remembers for maxCrashAge.
const maxProofs = 8192

// proofs has the last proof of each part. Those of the period before the current one are
// kept too, so that a proof is remembered for one to two periods.
type proofs struct {
	current, previous map[PartID]time.Time
	rotatedAt         time.Time
}

func newProofs(now time.Time) proofs {
	return proofs{current: map[PartID]time.Time{}, previous: map[PartID]time.Time{}, rotatedAt: now}
}

// record remembers a proof and reports whether it is later than the known one.
func (p *proofs) record(now time.Time, proof PartProof) bool {
	if !proof.At.After(p.last(proof.Part)) {
		return false
	}
	if len(p.current) >= maxProofs || now.Sub(p.rotatedAt) >= maxCrashAge {
		p.previous, p.current = p.current, map[PartID]time.Time{}
		p.rotatedAt = now
	}
	p.current[proof.Part] = proof.At
	return true
}

// last returns the time of the last proof of a part, or the zero time.
func (p *proofs) last(part PartID) time.Time {
	if at, known := p.current[part]; known {
		return at
	}
	return p.previous[part]
}
