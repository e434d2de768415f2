package quarantine

import (
	"slices"
	"sort"
	"time"
)

// maxPendingCrashes bounds the crashes that wait to be sent.
const maxPendingCrashes = 16 * MaxDigestEntries

// PartReports is what a node reports to its peers about parts, at most MaxDigestEntries of each
// kind.
type PartReports struct {
	Crashes     []PartCrash
	Proofs      []PartProof
	Quarantined []PartQuarantine
}

// IsEmpty reports whether there is nothing to send.
func (n PartReports) IsEmpty() bool {
	return len(n.Crashes) == 0 && len(n.Proofs) == 0 && len(n.Quarantined) == 0
}

// reportQueue collects the reports to the peers.
type reportQueue struct {
	pending PartReports
	// proofSent is when a proof of each part was last sent.
	proofSent map[PartID]time.Time
}

func newReportQueue() reportQueue {
	return reportQueue{proofSent: map[PartID]time.Time{}}
}

// addCrash adds a crash. When too many are waiting, the oldest one is dropped.
func (n *reportQueue) addCrash(c PartCrash) {
	if len(n.pending.Crashes) >= maxPendingCrashes {
		n.pending.Crashes = slices.Delete(n.pending.Crashes, 0, 1)
	}
	n.pending.Crashes = append(n.pending.Crashes, c)
}

func (n *reportQueue) addQuarantine(q PartQuarantine) {
	n.pending.Quarantined = append(n.pending.Quarantined, q)
}

func (n *reportQueue) addProof(now time.Time, proof PartProof) {
	if now.Sub(n.proofSent[proof.Part]) < proofInterval {
		return
	}
	if len(n.proofSent) >= maxProofs {
		clear(n.proofSent)
	}
	n.proofSent[proof.Part] = now
	n.pending.Proofs = append(n.pending.Proofs, proof)
}

// TakeReports returns what is to be sent to the peers now. Crashes before a proof of their part
// are left out, so that the parts that most calls share are rarely sent at all.
func (l *PartLedger) TakeReports() PartReports {
	pending := &l.reports.pending
	pending.Crashes = slices.DeleteFunc(pending.Crashes, func(c PartCrash) bool {
		return l.proofs.last(c.Part).After(c.BrokeAt)
	})
	return PartReports{
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
