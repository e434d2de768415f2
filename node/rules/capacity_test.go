package rules_test

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"tanagerspread/node/rules"
)

const (
	targetOrganisations = 1400
	targetModels        = 10
)

// targetRules returns a rules file with the given number of organisations, each
// with limits and with the given number of tokens, and targetModels models.
func targetRules(organisations, tokens int) string {
	var b strings.Builder
	b.WriteString("[classes]\nurgent = priority=0 queue=100 first-token=1500ms ; M. Tasker\n[organisations]\n")
	for i := range organisations {
		fmt.Fprintf(&b, "organisation-%04d = rate=10/s burst=20 token-rate=20000/s token-burst=400000 ; M. Tasker, ticket 20260101-%04d\n", i, i)
	}
	b.WriteString("[tokens]\n")
	for i := range organisations * tokens {
		fmt.Fprintf(&b, "%x = organisation=organisation-%04d ; M. Tasker, ticket 20260101-%04d\n", sha256.Sum256(fmt.Append(nil, i)), i%organisations, i)
	}
	b.WriteString("[models]\n")
	for i := range targetModels {
		fmt.Fprintf(&b, "model-%02d = weights=1 class=urgent ; M. Tasker\n", i)
	}
	return b.String()
}

// TestTargetRules guards against rules of the target size that exceed the
// maximum size of a value in the key-value service. It prints the sizes that
// docs/CAPACITY.md lists.
func TestTargetRules(t *testing.T) {
	text := targetRules(targetOrganisations, 1)
	if _, faults := rules.Parse(text); len(faults) > 0 {
		t.Fatal(faults[0])
	}
	perOrganisation := float64(len(targetRules(2*targetOrganisations, 1))-len(text)) / targetOrganisations
	perToken := float64(len(targetRules(targetOrganisations, 2))-len(text)) / targetOrganisations
	t.Logf("%d organisations with one token each: %d bytes, %.0f bytes a line of an organisation, %.0f bytes a line of a token",
		targetOrganisations, len(text), perOrganisation-perToken, perToken)
	t.Logf("1 MiB holds %.0f organisations with one token, or %d organisations with %.1f tokens each", rules.MaxBytes/perOrganisation,
		targetOrganisations, (rules.MaxBytes/float64(targetOrganisations)-perOrganisation+perToken)/perToken)
}

// BenchmarkParseTarget measures the parsing of rules with 1,400 organisations,
// and the heap memory of the parsed rules in bytes.
func BenchmarkParseTarget(b *testing.B) {
	text := targetRules(targetOrganisations, 1)
	before := heapBytes()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, faults := rules.Parse(text); len(faults) > 0 {
			b.Fatal(faults[0])
		}
	}
	b.StopTimer()
	parsed, _ := rules.Parse(text)
	b.ReportMetric(float64(heapBytes()-before), "B/rules")
	runtime.KeepAlive(parsed)
}

// heapBytes returns the bytes of allocated heap memory after a garbage
// collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
