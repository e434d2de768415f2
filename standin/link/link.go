// Package link provides a network link of limited speed that transfers share.
package link

import (
	"context"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// chunksPerSecond is the number of chunks that a link of limited speed carries per
// second. Transfers share the link chunk by chunk.
const chunksPerSecond = 100

// Link limits the bytes per second of the transfers on it. It is safe for
// concurrent use.
type Link struct {
	limiter     *rate.Limiter
	transferred atomic.Int64
}

// New returns a link with a speed in bytes per second; 0 means no limit.
func New(bytesPerSecond float64) *Link {
	l := &Link{limiter: rate.NewLimiter(rate.Inf, 1)}
	l.SetRate(bytesPerSecond)
	return l
}

// SetRate changes the speed in bytes per second, for transfers in progress too; 0
// means no limit.
func (l *Link) SetRate(bytesPerSecond float64) {
	if bytesPerSecond <= 0 {
		l.limiter.SetLimit(rate.Inf)
		return
	}
	l.limiter.SetBurst(max(1, int(bytesPerSecond/chunksPerSecond)))
	l.limiter.SetLimit(rate.Limit(bytesPerSecond))
}

// Bytes returns the number of bytes that have been transferred.
func (l *Link) Bytes() int64 {
	return l.transferred.Load()
}

// Transfer waits until n bytes have been transferred. It returns an error when the
// context ends first.
func (l *Link) Transfer(ctx context.Context, n int) error {
	for n > 0 {
		chunk := n
		if l.limiter.Limit() != rate.Inf {
			chunk = min(n, l.limiter.Burst())
		}
		if err := l.limiter.WaitN(ctx, chunk); err != nil {
			return err
		}
		l.transferred.Add(int64(chunk))
		n -= chunk
	}
	return nil
}
