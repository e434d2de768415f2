package engine

import (
	"time"

	"tanagerspread/client/engine"
)

// maxEvents is the number of newest cache events that an engine retains.
const maxEvents = 10_000

// delayedEvent is a cache event that is returned from visibleAt on.
type delayedEvent struct {
	event     engine.CacheEvent
	visibleAt time.Time
}

// feed is the event feed of the cache.
type feed struct {
	events []delayedEvent
	// last is the sequence number of the newest event, dropped ones included.
	last uint64
	// delay is the time after which an event becomes visible.
	delay time.Duration
	// dropEvery drops every n-th event; 0 drops none.
	dropEvery uint64
}

func (f *feed) add(now time.Time, kind string, id blockID) {
	f.last++
	if f.dropEvery > 0 && f.last%f.dropEvery == 0 {
		return
	}
	e := engine.CacheEvent{Sequence: f.last, Kind: kind, Namespace: id.namespace, Key: id.key}
	f.events = append(f.events, delayedEvent{event: e, visibleAt: now.Add(f.delay)})
	if len(f.events) > maxEvents {
		f.events = f.events[len(f.events)-maxEvents:]
	}
}

// eventsAfter returns the events after a sequence number that are visible at
// now.
func (f *feed) eventsAfter(now time.Time, after uint64) engine.EventsReply {
	reply := engine.EventsReply{Last: after}
	for _, delayed := range f.events {
		if delayed.visibleAt.After(now) {
			break
		}
		if delayed.event.Sequence > after {
			reply.Events = append(reply.Events, delayed.event)
			reply.Last = delayed.event.Sequence
		}
	}
	return reply
}
