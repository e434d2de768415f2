package runtime_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/core/cachekey"
)

// TestSharedPrefix guards against an export that makes the store evict the
// manifests of other prompts with the same prefix.
func TestSharedPrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startCacheSite(t)
		shared := strings.Repeat("r", cachekey.BlockBytes)
		first := shared + strings.Repeat("a", 2*cachekey.BlockBytes)
		second := shared + strings.Repeat("b", 2*cachekey.BlockBytes)
		for _, prompt := range []string{first, second} {
			s.send(prompt)
			time.Sleep(time.Minute)
		}
		for _, prompt := range []string{first, second} {
			s.clearEngineCaches()
			if cached := s.send(prompt); cached != 3*cachekey.BlockTokens {
				t.Errorf("prompt with the second block %.1q: %d cached tokens, want 3 blocks", prompt[cachekey.BlockBytes:], cached)
			}
			time.Sleep(time.Minute)
		}
		s.checkBlocks()
	})
}
