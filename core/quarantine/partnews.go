package quarantine

import (
	"slices"
	"sort"
	"time"
)

// maxPendingCrashes bounds the crashes that wait to be told.
const maxPendingCrashes = 16 * MaxDigestEntries

// PartNews is what a node tells its peers about parts, at most MaxDigestEntries of each
// kind.
type PartNews struct {
	Crashes     []PartCrash
	Proofs      []PartProof
	Quarantined []PartQuarantine
}

// IsEmpty reports whether there is nothing to tell.
func (n PartNews) IsEmpty() bool {
	return len(n.Crashes) == 0 && len(n.Proofs) == 0 && len(n.Quarantined) == 0
}

// partNews collects what the peers are to be told.
type partNews struct {
	pending PartNews
	// proofSent is when a proof of each part was last told.
	proofSent map[PartID]time.Time
}

func newPartNews() partNews {
	return partNews{proofSent: map[PartID]time.Time{}}
}

// addCrash adds a crash. When too many are waiting, the oldest one is not told.
func (n *partNews) addCrash(c PartCrash) {
	if len(n.pending.Crashes) >= maxPendingCrashes {
		n.pending.Crashes = slices.Delete(n.pending.Crashes, 0, 1)
	}
	n.pending.Crashes = append(n.pending.Crashes, c)
}

func (n *partNews) addQuarantine(q PartQuarantine) {
	n.pending.Quarantined = append(n.pending.Quarantined, q)
}

func (n *partNews) addProof(now time.Time, proof PartProof) {
	if now.Sub(n.proofSent[proof.Part]) < proofInterval {
		return
	}
	if len(n.proofSent) >= maxProofs {
		clear(n.proofSent)
	}
	n.proofSent[proof.Part] = now
	n.pending.Proofs = append(n.pending.Proofs, proof)
}

// TakeNews returns what the peers are to be told now. Crashes before a proof of their part
// are left out, so that the parts that most calls share are rarely told at all.
func (l *PartLedger) TakeNews() PartNews {
	pending := &l.news.pending
	pending.Crashes = slices.DeleteFunc(pending.Crashes, func(c PartCrash) bool {
		return l.proofs.last(c.Part).After(c.BrokeAt)
	})
	return PartNews{
		Crashes:     takeFirst(&pending.Crashes),
		Proofs:      takeFirst(&pending.Proofs),
		Quarantined: takeFirst(&pending.Quarantined),
	}
}

// takeFirst removes and returns the first MaxDigestEntries elements.
func takeFirst[T any](list *[]T) []T {
	count := min(len(*list), MaxDigestEntries)
	taken := slices.Clone((*list)[:count])
	*list = slices.Delete(*list, 0, count)
	return taken
}

// QuarantinedParts returns up to MaxDigestEntries quarantined parts, the latest first.
func (l *PartLedger) QuarantinedParts() []PartQuarantine {
	var list []PartQuarantine
	for _, p := range l.refused {
		list = append(list, PartQuarantine{Part: p.id, At: p.quarantinedAt})
	}
	sort.Slice(list, func(i, j int) bool {
		if !list[i].At.Equal(list[j].At) {
			return list[i].At.After(list[j].At)
		}
		return list[i].Part < list[j].Part
	})
	return list[:min(len(list), MaxDigestEntries)]
}
