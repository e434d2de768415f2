package placement

import "time"

const (
	// slowTransfer is the time on the link of an engine from which on cached parts should
	// stay where they are: it is a noticeable part of the targets of calls.
	slowTransfer = 50 * time.Millisecond
	// typicalLongPrompt is the length in tokens of a prompt whose cache is large.
	typicalLongPrompt = 4 * longPromptTokens
)

// transferTime returns the time that a transfer takes at a rate in bytes a second. It is 0
// at an unknown rate.
func transferTime(bytes, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(bytes / rate * float64(time.Second))
}

// MovesSlowly reports whether the cache of a long prompt takes long to move between the
// engines of a service.
func MovesSlowly(tokenBytes int64, linkRate float64) bool {
	return transferTime(typicalLongPrompt*float64(tokenBytes), linkRate) >= slowTransfer
}
