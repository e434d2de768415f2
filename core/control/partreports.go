package control

import (
	"time"

	"tanagerspread/core/membership"
	"tanagerspread/core/quarantine"
)

// partReportInterval is the shortest time between two messages to the peers about parts.
const partReportInterval = 100 * time.Millisecond

// sendPartReports sends what is new about parts to random peers. Each peer to which it is
// new relays it once.
func (s *State) sendPartReports(now time.Time) {
	if now.Sub(s.partReportsAt) < partReportInterval {
		return
	}
	reports := s.parts.TakeReports()
	if reports.IsEmpty() {
		return
	}
	s.partReportsAt = now
	digest := s.digest(now, false)
	digest.Parts = digestReports(now, reports)
	s.sendUrgent(digest)
}

// sampleQuarantinedParts returns a random quarantined part for a periodic digest, so that a
// node that missed the change learns of it.
func (s *State) sampleQuarantinedParts(now time.Time) []membership.PartAge {
	parts := s.parts.QuarantinedParts()
	if len(parts) == 0 {
		return nil
	}
	return quarantineAges(now, []quarantine.PartQuarantine{parts[s.random.IntN(len(parts))]})
}

// digestReports returns the reports for a digest.
func digestReports(now time.Time, reports quarantine.PartReports) membership.PartReports {
	reported := membership.PartReports{Quarantined: quarantineAges(now, reports.Quarantined)}
	for _, c := range reports.Crashes {
		reported.Crashes = append(reported.Crashes, membership.PartCrash{
			Part: c.Part, Server: c.Server, Age: now.Sub(c.BrokeAt), Depth: c.Depth,
		})
	}
	for _, proof := range reports.Proofs {
		reported.Proofs = append(reported.Proofs, membership.PartAge{Part: proof.Part, Age: now.Sub(proof.At)})
	}
	return reported
}

func quarantineAges(now time.Time, parts []quarantine.PartQuarantine) []membership.PartAge {
	var ages []membership.PartAge
	for _, part := range parts {
		ages = append(ages, membership.PartAge{Part: part.Part, Age: now.Sub(part.At)})
	}
	return ages
}

// recordPeerParts applies what a peer reports about parts. The proofs come first, so that
// a crash that they disprove does not count.
func (s *State) recordPeerParts(now time.Time, reports membership.PartReports) {
	for _, proof := range reports.Proofs[:min(len(reports.Proofs), quarantine.MaxDigestEntries)] {
		s.parts.RecordProof(now, quarantine.PartProof{Part: proof.Part, At: now.Add(-proof.Age)})
	}
	for _, c := range reports.Crashes[:min(len(reports.Crashes), quarantine.MaxDigestEntries)] {
		if brokeAt := now.Add(-c.Age); !s.contradict(now, c.Server, brokeAt) {
			s.parts.RecordCrash(now, quarantine.PartCrash{Part: c.Part, Server: c.Server, BrokeAt: brokeAt, Depth: c.Depth})
		}
	}
	for _, part := range reports.Quarantined[:min(len(reports.Quarantined), quarantine.MaxDigestEntries)] {
		s.parts.Learn(now, quarantine.PartQuarantine{Part: part.Part, At: now.Add(-part.Age)})
	}
	s.reviewParts(now)
}
