package caches

import (
	"sync"
	"time"

	"tanagerspread/core/control"
)

// holds has the times until which targets want no calls. The control thread sets them,
// the followers read them.
type holds struct {
	mu    sync.Mutex
	until map[heldTarget]time.Time
}

// heldTarget is a target at one address. At another address it is another process.
type heldTarget struct {
	name    string
	address string
}

func newHolds() *holds {
	return &holds{until: map[heldTarget]time.Time{}}
}

// set records the time of the command and forgets the times that have passed.
func (h *holds) set(command control.HoldCacheCalls) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for target, until := range h.until {
		if !now.Before(until) {
			delete(h.until, target)
		}
	}
	h.until[heldTarget{command.Target, command.Address}] = command.Until
}

// wait returns how long the target wants no calls.
func (h *holds) wait(target control.CacheTarget) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Until(h.until[heldTarget{target.Name, target.Address}])
}
