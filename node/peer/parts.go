package peer

import (
	"strconv"
	"strings"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/quarantine"
)

// maxPartIDBytes and maxServerIDBytes bound the identifiers in reports about prompt parts.
const (
	maxPartIDBytes   = 64
	maxServerIDBytes = 128
)

// maxPartDepth bounds the position of a part in a prompt.
const maxPartDepth = 1 << 10

// partCrashWire is the encoded form of a crash that may be due to a prompt part.
type partCrashWire struct {
	Part   string `json:"i"`
	Server string `json:"s"`
	AgeMS  int64  `json:"a"`
	Depth  int    `json:"d,omitempty"`
}

// partAgeWire is the encoded form of a part with the time since it was proven.
type partAgeWire struct {
	Part  string `json:"i"`
	AgeMS int64  `json:"a"`
}

func partReportsToWire(w *digestWire, reports membership.PartReports) {
	for _, c := range reports.Crashes[:min(len(reports.Crashes), quarantine.MaxDigestEntries)] {
		w.PartCrashes = append(w.PartCrashes, partCrashWire{
			Part: string(c.Part), Server: string(c.Server), AgeMS: ceilMS(c.Age), Depth: c.Depth,
		})
	}
	w.PartProofs = partAgesToWire(reports.Proofs)
	for _, part := range reports.Quarantined[:min(len(reports.Quarantined), quarantine.MaxDigestEntries)] {
		w.QuarantinedParts = append(w.QuarantinedParts, encodeQuarantinedPart(part))
	}
}

// encodeQuarantinedPart returns the time since the quarantine in whole seconds, rounded up,
// and the id of the part. Periodic digests have such texts, so they are short.
func encodeQuarantinedPart(part membership.PartAge) string {
	seconds := (part.Age + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(seconds), 10) + " " + string(part.Part)
}

// decodeQuarantinedPart returns the part that encodeQuarantinedPart encoded, or false when
// the text is malformed.
func decodeQuarantinedPart(encoded string) (membership.PartAge, bool) {
	age, id, _ := strings.Cut(encoded, " ")
	seconds, err := strconv.ParseInt(age, 10, 64)
	if err != nil || seconds < 0 || seconds > maxAgeMS/1000 || !isPartID(id) {
		return membership.PartAge{}, false
	}
	return membership.PartAge{Part: quarantine.PartID(id), Age: time.Duration(seconds) * time.Second}, true
}

func partAgesToWire(ages []membership.PartAge) []partAgeWire {
	var encoded []partAgeWire
	for _, part := range ages[:min(len(ages), quarantine.MaxDigestEntries)] {
		encoded = append(encoded, partAgeWire{Part: string(part.Part), AgeMS: ceilMS(part.Age)})
	}
	return encoded
}

// partReportsFromWire decodes what a peer reports about parts. It omits reports beyond
// quarantine.MaxDigestEntries and malformed ones.
func partReportsFromWire(w digestWire) membership.PartReports {
	reports := membership.PartReports{Proofs: partAgesFromWire(w.PartProofs)}
	for _, encoded := range w.QuarantinedParts[:min(len(w.QuarantinedParts), quarantine.MaxDigestEntries)] {
		if part, ok := decodeQuarantinedPart(encoded); ok {
			reports.Quarantined = append(reports.Quarantined, part)
		}
	}
	for _, c := range w.PartCrashes[:min(len(w.PartCrashes), quarantine.MaxDigestEntries)] {
		if !isPartID(c.Part) || c.Server == "" || len(c.Server) > maxServerIDBytes || !isAge(c.AgeMS) || c.Depth < 0 || c.Depth > maxPartDepth {
			continue
		}
		reports.Crashes = append(reports.Crashes, membership.PartCrash{
			Part: quarantine.PartID(c.Part), Server: fleet.ServerID(c.Server),
			Age: time.Duration(c.AgeMS) * time.Millisecond, Depth: c.Depth,
		})
	}
	return reports
}

func partAgesFromWire(encoded []partAgeWire) []membership.PartAge {
	var ages []membership.PartAge
	for _, part := range encoded[:min(len(encoded), quarantine.MaxDigestEntries)] {
		if isPartID(part.Part) && isAge(part.AgeMS) {
			ages = append(ages, membership.PartAge{Part: quarantine.PartID(part.Part), Age: time.Duration(part.AgeMS) * time.Millisecond})
		}
	}
	return ages
}

func isPartID(id string) bool {
	return id != "" && len(id) <= maxPartIDBytes
}

func isAge(ms int64) bool {
	return ms >= 0 && ms <= maxAgeMS
}
