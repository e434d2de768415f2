package caches

import (
	"context"
	"sync"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/placement"
)

// boardLog bounds the events that a board keeps for copies; a copy that is
// further behind gets all parts.
const boardLog = 2048

// board holds what a followed store or engine said, so that peers may copy it
// instead of asking it themselves.
type board struct {
	epoch uint64
	held  map[placement.PartKey]int
	// log holds the newest events; next is the number of the one after them.
	log  []control.PartEvent
	next uint64
	// clock is the target's clock at received; asked is when the last call began.
	clock    int64
	asked    time.Time
	received time.Time
	// changed is closed when the target says something.
	changed chan struct{}
}

// Boards holds the board of each target that this node follows itself. It may
// be used by any goroutine.
type Boards struct {
	mu     sync.Mutex
	boards map[string]*board
}

// NewBoards returns an empty set of boards.
func NewBoards() *Boards {
	return &Boards{boards: map[string]*board{}}
}

// record takes over what a target said.
func (b *Boards) record(events control.CacheEvents) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.boards[events.Target]
	if at == nil || at.epoch != events.Epoch || events.Snapshot {
		next := uint64(1)
		if at != nil {
			next = at.next + boardLog + 1
			close(at.changed)
		}
		at = &board{epoch: events.Epoch, held: map[placement.PartKey]int{}, next: next, changed: make(chan struct{})}
		b.boards[events.Target] = at
	}
	for _, e := range events.Events {
		at.add(e)
	}
	at.clock, at.asked, at.received = events.Clock, events.Asked, events.Received
	close(at.changed)
	at.changed = make(chan struct{})
}

func (at *board) add(e control.PartEvent) {
	key := placement.PartKey{Salt: e.Salt, ID: e.ID}
	if e.Added {
		at.held[key] = e.Tokens
	} else {
		delete(at.held, key)
	}
	at.log = append(at.log, e)
	at.next++
	if len(at.log) > boardLog {
		at.log = at.log[len(at.log)-boardLog:]
	}
}

// forget drops the board of a target that is no longer followed.
func (b *Boards) forget(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at := b.boards[target]; at != nil {
		close(at.changed)
		delete(b.boards, target)
	}
}

// Copied is what a peer gets of a board.
type Copied struct {
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
func (b *Boards) Copy(ctx context.Context, target string, epoch, since uint64, wait time.Duration) (Copied, *code.Error) {
	begin := time.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		copied, changed, known := b.since(begin, target, epoch, since)
		if !known {
			return Copied{}, code.New(code.StoreAway, "the node does not follow the target")
		}
		if len(copied.Events.Events) > 0 || copied.Events.Snapshot {
			return copied, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return copied, nil
		case <-ctx.Done():
			return Copied{}, code.Wrap(code.StoreAway, "the wait for events was ended", ctx.Err())
		}
	}
}

func (b *Boards) since(begin time.Time, target string, epoch, since uint64) (Copied, <-chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.boards[target]
	if at == nil {
		return Copied{}, nil, false
	}
	copied := Copied{Next: at.next, Age: begin.Sub(at.asked), ClockAge: time.Since(at.received)}
	copied.Events = control.CacheEvents{Target: target, Epoch: at.epoch, Clock: at.clock}
	behind := at.next - since
	switch {
	case epoch != at.epoch || since == 0 || since > at.next || behind > uint64(len(at.log)):
		copied.Events.Snapshot = true
		for key, tokens := range at.held {
			copied.Events.Events = append(copied.Events.Events, control.PartEvent{Added: true, Salt: key.Salt, ID: key.ID, Tokens: tokens})
		}
	default:
		copied.Events.Events = append(copied.Events.Events, at.log[uint64(len(at.log))-behind:]...)
	}
	return copied, at.changed, true
}
