package kv

import (
	"context"
	"sort"
	"strings"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
)

// Watch waits up to kv.WatchWait for changes under a prefix after a revision. It
// returns only the last change of each key. When the service was restored from a
// backup that is older than the given revision, Watch returns the lower current
// revision immediately, and the caller lists the keys again.
func (s *Store) Watch(ctx context.Context, prefix string, after kv.Revision) ([]kv.Change, kv.Revision, *code.Error) {
	if err := s.startCall(ctx, OpWatch, s.readLimiter); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(kv.WatchWait)
	defer timer.Stop()
	for {
		changes, revision, changed, err := s.poll(prefix, after)
		if err != nil || len(changes) > 0 || revision < after {
			return changes, revision, err
		}
		select {
		case <-ctx.Done():
			return nil, 0, code.Wrap(code.KeyValueAway, "the watch was given up", ctx.Err())
		case <-timer.C:
			return nil, revision, nil
		case <-changed:
		}
	}
}

// poll returns the changes after a revision, the current revision, and a
// channel that is closed at the next change.
func (s *Store) poll(prefix string, after kv.Revision) ([]kv.Change, kv.Revision, <-chan struct{}, *code.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return nil, 0, nil, unreachableError()
	}
	var changes []kv.Change
	for key, entry := range s.entries {
		if entry.Revision > after && strings.HasPrefix(key, prefix) {
			changes = append(changes, kv.Change{Entry: entry})
		}
	}
	for key, revision := range s.deleted {
		if revision > after && strings.HasPrefix(key, prefix) {
			changes = append(changes, kv.Change{Entry: kv.Entry{Key: key, Revision: revision}, Deleted: true})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Entry.Revision < changes[j].Entry.Revision })
	return changes, s.revision, s.changed, nil
}
