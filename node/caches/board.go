package caches

import (
	"context"
	"sync"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/placement"
)

// maxFeedEvents bounds the events that a board keeps for copies; a copy that is
// further behind gets all parts.
const maxFeedEvents = 2048

// eventFeed holds what a followed store or engine said, so that peers may copy it
// instead of asking it themselves.
type eventFeed struct {
	epoch uint64
	parts map[placement.PartKey]int
	// events holds the newest events; next is the number of the one after them.
	events       []control.PartEvent
	nextPosition uint64
	// targetClock is the target's targetClock at received; asked is when the last call began.
	targetClock int64
	askedAt     time.Time
	receivedAt  time.Time
	// changed is closed when the target says something.
	changed chan struct{}
}

// Feeds holds the board of each target that this node follows itself. It may
// be used by any goroutine.
type Feeds struct {
	mu    sync.Mutex
	feeds map[string]*eventFeed
}

// NewFeeds returns an empty set of boards.
func NewFeeds() *Feeds {
	return &Feeds{feeds: map[string]*eventFeed{}}
}

// record takes over what a target said.
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
	feed.targetClock, feed.askedAt, feed.receivedAt = events.Clock, events.Asked, events.Received
	close(feed.changed)
	feed.changed = make(chan struct{})
}

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

// remove drops the board of a target that is no longer followed.
func (fs *Feeds) remove(target string) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if feed := fs.feeds[target]; feed != nil {
		close(feed.changed)
		delete(fs.feeds, target)
	}
}

// FeedCopy is what a peer gets of a board.
type FeedCopy struct {
	Events control.CacheEvents
	// Next is where the next copy begins.
	Next uint64
	// Age is how long before this call that of the target began on which the
	// events rest; it is negative when that one began later. ClockAge is how long
	// before the return its answer came.
	Age      time.Duration
	ClockAge time.Duration
}

// Copy returns the events of a target from a position on, or all its parts. It
// waits up to wait for events, and returns code.StoreAway when this node does
// not follow the target itself.
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

func (fs *Feeds) eventsSince(calledAt time.Time, target string, epoch, since uint64) (FeedCopy, <-chan struct{}, bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	feed := fs.feeds[target]
	if feed == nil {
		return FeedCopy{}, nil, false
	}
	feedCopy := FeedCopy{Next: feed.nextPosition, Age: calledAt.Sub(feed.askedAt), ClockAge: time.Since(feed.receivedAt)}
	feedCopy.Events = control.CacheEvents{Target: target, Epoch: feed.epoch, Clock: feed.targetClock}
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
