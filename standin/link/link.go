// Package link limits the bytes per second of a link that transfers share.
package link

import (
	"context"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// chunksPerSecond is how often a transfer asks for its share of the link.
const chunksPerSecond = 100

// Link is a link of limited speed. It is safe for concurrent use.
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

// SetRate changes the speed for the rest of all transfers.
func (l *Link) SetRate(bytesPerSecond float64) {
	if bytesPerSecond <= 0 {
		l.limiter.SetLimit(rate.Inf)
		return
	}
	l.limiter.SetBurst(max(1, int(bytesPerSecond/chunksPerSecond)))
	l.limiter.SetLimit(rate.Limit(bytesPerSecond))
}

// Bytes returns how many bytes have crossed the link.
func (l *Link) Bytes() int64 {
	return l.transferred.Load()
}

// Transfer waits until n bytes have crossed the link. It returns the error of
// the context when that ends first.
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
