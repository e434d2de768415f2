package control

import (
	"fmt"
	"testing"
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/request"
)

// BenchmarkManyParts measures the decisions on a call with many prompt parts, at 90
// engines and four stores, which request.MaxPlannedParts bounds.
func BenchmarkManyParts(b *testing.B) {
	for _, n := range []int{8, request.MaxPlannedParts, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := forwardState(b, 90)
			rules := forwardRules()
			for i := range 4 {
				name := fmt.Sprint("s", i)
				rules.CacheStores = append(rules.CacheStores, config.CacheStore{Name: name, Address: name, CapacityTokens: 1 << 20, Managed: true})
			}
			s.Handle(testStart, Configure{Version: 2, Rules: rules})
			parts := make([]request.Part, n)
			for i := range parts {
				parts[i] = request.Part{ID: fmt.Sprintf("%x", i), Tokens: 1}
			}
			now := testStart
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				now = now.Add(time.Millisecond)
				id := request.ID(fmt.Sprint(i))
				placeCall(s, now, id, "review", parts...)
				s.Handle(now, Abandon{Request: id})
			}
		})
	}
}
