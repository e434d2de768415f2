package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"tanagerspread/core/cachekey"
)

// Token returns one token of the response to a prompt. It depends only on the
// prompt and the sequence number, so that a resumed stream can be verified.
func Token(prompt string, sequence int) string {
	return formatToken(xxhash.Sum64String(prompt), sequence)
}

// Text returns the first n tokens of the response to a prompt.
func Text(prompt string, n int) string {
	promptHash := xxhash.Sum64String(prompt)
	var text strings.Builder
	for sequence := range n {
		text.WriteString(formatToken(promptHash, sequence))
	}
	return text.String()
}

func formatToken(promptHash uint64, sequence int) string {
	return "t" + strconv.Itoa(sequence) + "-" + strconv.FormatUint(promptHash&0xffff, 16) + " "
}

// promptTokens returns the number of tokens of a prompt.
func promptTokens(prompt string) int {
	return len(prompt) / cachekey.BytesPerToken
}

// prefixKeys returns block keys for a prompt whose request has none. They match
// only the keys of other requests without keys.
func prefixKeys(prompt string) []string {
	var keys []string
	for end := cachekey.BlockBytes; end <= len(prompt); end += cachekey.BlockBytes {
		sum := sha256.Sum256([]byte(prompt[:end]))
		keys = append(keys, "prompt-"+hex.EncodeToString(sum[:]))
	}
	return keys
}

// blockContent returns the expected content of a cache block. It depends only on
// the block's identity and size, so that a wrong import can be detected.
func blockContent(id blockID, size int) []byte {
	source := rand.NewChaCha8(sha256.Sum256([]byte(id.namespace + "/" + id.key)))
	content := make([]byte, size)
	_, _ = source.Read(content)
	return content
}
