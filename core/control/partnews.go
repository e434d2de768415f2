package control

import (
	"time"

	"tanagerspread/core/membership"
	"tanagerspread/core/quarantine"
)

// partNewsInterval is the shortest time between two messages to the peers about parts.
const partNewsInterval = 100 * time.Millisecond

// sendPartNews tells random peers what is new about parts. Each peer that learns it from
// them relays it once.
func (s *State) sendPartNews(now time.Time) {
	if now.Sub(s.partNewsAt) < partNewsInterval {
		return
	}
	news := s.parts.TakeNews()
	if news.IsEmpty() {
		return
	}
	s.partNewsAt = now
	digest := s.digest(now, false)
	digest.Parts = reportedNews(now, news)
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

// reportedNews returns the news for a digest.
func reportedNews(now time.Time, news quarantine.PartNews) membership.PartNews {
	reported := membership.PartNews{Quarantined: quarantineAges(now, news.Quarantined)}
	for _, c := range news.Crashes {
		reported.Crashes = append(reported.Crashes, membership.PartCrash{
			Part: c.Part, Server: c.Server, Age: now.Sub(c.BrokeAt), Depth: c.Depth,
		})
	}
	for _, proof := range news.Proofs {
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
func (s *State) recordPeerParts(now time.Time, news membership.PartNews) {
	for _, proof := range news.Proofs[:min(len(news.Proofs), quarantine.MaxDigestEntries)] {
		s.parts.RecordProof(now, quarantine.PartProof{Part: proof.Part, At: now.Add(-proof.Age)})
	}
	for _, c := range news.Crashes[:min(len(news.Crashes), quarantine.MaxDigestEntries)] {
		s.parts.RecordCrash(now, quarantine.PartCrash{Part: c.Part, Server: c.Server, BrokeAt: now.Add(-c.Age), Depth: c.Depth})
	}
	for _, part := range news.Quarantined[:min(len(news.Quarantined), quarantine.MaxDigestEntries)] {
		s.parts.Learn(now, quarantine.PartQuarantine{Part: part.Part, At: now.Add(-part.Age)})
	}
	s.reviewParts(now)
}
