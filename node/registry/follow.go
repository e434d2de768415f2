package registry

import (
	"context"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/event"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/worker"
)

// follower keeps the entries under one prefix up to date: it lists them and
// then waits for changes.
type follower struct {
	registry *Registry
	prefix   string
	// lost is true while the service does not answer.
	lost bool
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := f.list(ctx)
		if err == nil {
			err = f.watch(ctx, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if err.Code == code.HistoryGone {
			continue
		}
		f.noteLost(err)
		if !worker.Pause(ctx, retryInterval) {
			return
		}
	}
}

// list reads all entries.
func (f *follower) list(ctx context.Context) (kv.Revision, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, revision, err := f.registry.options.Service.List(ctx, f.prefix)
	f.registry.noteCall(err)
	if err != nil {
		return 0, err
	}
	f.noteRegained()
	if f.registry.replace(f.prefix, entries, revision) {
		f.registry.report()
	}
	return revision, nil
}

// watch reports changes until a call fails.
func (f *follower) watch(ctx context.Context, after kv.Revision) *code.Error {
	for {
		changes, revision, err := f.registry.options.Service.Watch(ctx, f.prefix, after)
		if err != nil {
			return err
		}
		after = revision
		if f.applyAll(changes) {
			f.registry.report()
		}
	}
}

func (f *follower) applyAll(changes []kv.Change) bool {
	f.registry.mu.Lock()
	defer f.registry.mu.Unlock()
	changed := false
	for _, change := range changes {
		changed = f.registry.apply(change) || changed
	}
	return changed
}

func (f *follower) noteLost(err *code.Error) {
	if f.lost {
		return
	}
	f.lost = true
	f.registry.noteCall(err)
	eventlog.Write(f.registry.options.Logger, event.EntriesLost, err, "prefix", f.prefix, "code", int(err.Code))
}

// noteRegained logs the end of an outage.
func (f *follower) noteRegained() {
	if !f.lost {
		return
	}
	f.lost = false
	eventlog.Write(f.registry.options.Logger, event.EntriesRegained, nil, "prefix", f.prefix)
}
