package caches

import (
	"context"
	"sync"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/placement"
)

// maxFeedEvents is the maximum number of events that a feed keeps for peers. A
// peer that is further behind gets a snapshot of all parts.
const maxFeedEvents = 2048

// eventFeed holds the events of a followed target, which is a cache store or an
// engine, so that peers can copy them instead of calling the target themselves.
type eventFeed struct {
	epoch uint64
	// parts maps the cached parts of the target to their tokens.
	parts map[placement.PartKey]int
	// events holds the newest events; nextPosition is the position of the event
	// after them.
	events       []control.PartEvent
	nextPosition uint64
	// targetClock is the target's clock in milliseconds, as received at
	// receivedAt. askedAt and receivedAt are when the last call of the target
	// started and finished.
	targetClock int64
	askedAt     time.Time
	receivedAt  time.Time
	// changed is closed when a call of the target has finished, or when the feed
	// is removed.
	changed chan struct{}
}

// Feeds holds the event feed of each target that this node follows itself. It is
// safe for concurrent use.
type Feeds struct {
	mu    sync.Mutex
	feeds map[string]*eventFeed
}

// NewFeeds returns an empty set of event feeds.
func NewFeeds() *Feeds {
	return &Feeds{feeds: map[string]*eventFeed{}}
}

// record adds the events of a target to its feed. A snapshot or a new epoch
// starts a new feed, whose positions are so far beyond those of the old one that
// a peer that still follows the old feed gets a snapshot.
func (fs *Feeds) record(events control.CacheEvents) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	feed := fs.feeds[events.Target]
	if feed == nil || feed.epoch != events.Epoch || events.Snapshot {
		next := uint64(1)
		if feed != nil {
			next = feed.nextPosition + maxFeedEvents + 1
			close(feed.changed)
		}
		feed = &eventFeed{epoch: events.Epoch, parts: map[placement.PartKey]int{}, nextPosition: next, changed: make(chan struct{})}
		fs.feeds[events.Target] = feed
	}
	for _, e := range events.Events {
		feed.apply(e)
	}
	feed.targetClock, feed.askedAt, feed.receivedAt = events.ClockMS, events.AskedAt, events.ReceivedAt
	close(feed.changed)
	feed.changed = make(chan struct{})
}

// apply adds one event to the feed and removes the oldest one when the feed is
// full.
func (feed *eventFeed) apply(e control.PartEvent) {
	key := placement.PartKey{Salt: e.Salt, ID: e.ID}
	if e.Added {
		feed.parts[key] = e.Tokens
	} else {
		delete(feed.parts, key)
	}
	feed.events = append(feed.events, e)
	feed.nextPosition++
	if len(feed.events) > maxFeedEvents {
		feed.events = feed.events[len(feed.events)-maxFeedEvents:]
	}
}

// remove removes the feed of a target that is no longer followed.
func (fs *Feeds) remove(target string) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if feed := fs.feeds[target]; feed != nil {
		close(feed.changed)
		delete(fs.feeds, target)
	}
}

// FeedCopy is the copy of an event feed that a peer gets.
type FeedCopy struct {
	Events control.CacheEvents
	// Next is the position from which the next copy starts.
	Next uint64
	// Age is the time from the start of the target's call that returned the
	// events to the start of the call of Copy. It is negative when the call of
	// the target started later. ClockAge is the time from the response of the
	// target to the return of Copy.
	Age      time.Duration
	ClockAge time.Duration
}

// Copy returns the events of a target from a position on, or a snapshot of its
// parts when the epoch or the position is not in the feed; position 0 never is.
// Without events it waits for them up to the given time. It returns
// code.StoreAway when this node does not follow the target itself or when the
// context is cancelled.
func (fs *Feeds) Copy(ctx context.Context, target string, epoch, since uint64, wait time.Duration) (FeedCopy, *code.Error) {
	calledAt := time.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		feedCopy, changed, followed := fs.eventsSince(calledAt, target, epoch, since)
		if !followed {
			return FeedCopy{}, code.New(code.StoreAway, "the node does not follow the target")
		}
		if len(feedCopy.Events.Events) > 0 || feedCopy.Events.Snapshot {
			return feedCopy, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return feedCopy, nil
		case <-ctx.Done():
			return FeedCopy{}, code.Wrap(code.StoreAway, "the wait for events was ended", ctx.Err())
		}
	}
}

// eventsSince returns the events since a position, or a snapshot, and the channel
// that is closed at the next change. It returns false when the target is not
// followed.
func (fs *Feeds) eventsSince(calledAt time.Time, target string, epoch, since uint64) (FeedCopy, <-chan struct{}, bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	feed := fs.feeds[target]
	if feed == nil {
		return FeedCopy{}, nil, false
	}
	feedCopy := FeedCopy{Next: feed.nextPosition, Age: calledAt.Sub(feed.askedAt), ClockAge: time.Since(feed.receivedAt)}
	feedCopy.Events = control.CacheEvents{Target: target, Epoch: feed.epoch, ClockMS: feed.targetClock}
	// missing is the number of events from position since on.
	missing := feed.nextPosition - since
	switch {
	case epoch != feed.epoch || since == 0 || since > feed.nextPosition || missing > uint64(len(feed.events)):
		feedCopy.Events.Snapshot = true
		for key, tokens := range feed.parts {
			feedCopy.Events.Events = append(feedCopy.Events.Events, control.PartEvent{Added: true, Salt: key.Salt, ID: key.ID, Tokens: tokens})
		}
	default:
		feedCopy.Events.Events = append(feedCopy.Events.Events, feed.events[uint64(len(feed.events))-missing:]...)
	}
	return feedCopy, feed.changed, true
}
