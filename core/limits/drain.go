package limits

import "time"

const (
	// drainDivisor is the inverse weight of a new interval in the smoothed one.
	drainDivisor = 8
	// maxDrainInterval bounds one interval, so that a stall of the servers does not
	// refuse calls long after it has ended.
	maxDrainInterval = 2 * time.Second
)

// Drain predicts how long a request waits from the intervals at which waiting requests
// have been taken from a queue.
type Drain struct {
	interval time.Duration
	takenAt  time.Time
}

// Taken records that a request was taken. othersWait is whether further ones wait:
// only an interval in which some always waited shows the speed of the servers.
func (d *Drain) Taken(now time.Time, othersWait bool) {
	if !d.takenAt.IsZero() {
		interval := min(now.Sub(d.takenAt), maxDrainInterval)
		if d.interval == 0 {
			d.interval = interval
		}
		d.interval += (interval - d.interval) / drainDivisor
	}
	d.takenAt = time.Time{}
	if othersWait {
		d.takenAt = now
	}
}

// Wait returns the predicted wait of a request with the given number of requests ahead
// of it. It is 0 when no request waited lately.
func (d *Drain) Wait(now time.Time, ahead int) time.Duration {
	if d.takenAt.IsZero() || ahead == 0 {
		return 0
	}
	interval := max(d.interval, min(now.Sub(d.takenAt), maxDrainInterval))
	return time.Duration(ahead) * interval
}
