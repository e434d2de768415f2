package placement

import "time"

// slowTransfer is the time on the link of an engine from which on cached parts should stay
// where they are: it is a noticeable part of the targets of calls.
const slowTransfer = 50 * time.Millisecond

// transferTime returns the time that a transfer takes at a rate in bytes a second. It is 0
// at an unknown rate.
func transferTime(bytes, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(bytes / rate * float64(time.Second))
}

// MovesSlowly reports whether the cache of a number of tokens takes long to move between
// engines with a link of the given rate.
func MovesSlowly(tokens int, tokenBytes int64, linkRate float64) bool {
	return transferTime(float64(tokens)*float64(tokenBytes), linkRate) >= slowTransfer
}
