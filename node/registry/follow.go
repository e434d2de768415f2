package registry

import (
	"context"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/event"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/worker"
)

// follower keeps the entries under one prefix up to date: it lists them and then
// watches for changes.
type follower struct {
	registry *Registry
	prefix   string
}

// run lists and watches until the context is cancelled. It starts again
// retryInterval after a failed call.
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
		eventlog.Write(f.registry.options.Logger, event.ServiceCallFailed, err, "call", "follow "+f.prefix, "code", int(err.Code))
		if !worker.Sleep(ctx, retryInterval) {
			return
		}
	}
}

// list reads and reports all entries and returns the revision of the list.
func (f *follower) list(ctx context.Context) (kv.Revision, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, revision, err := f.registry.options.Service.List(ctx, f.prefix)
	if err != nil {
		return 0, err
	}
	f.registry.replace(f.prefix, entries)
	f.registry.reportVMs()
	return revision, nil
}

// watch reports changes after a revision until a call fails.
func (f *follower) watch(ctx context.Context, after kv.Revision) *code.Error {
	for {
		changes, revision, err := f.registry.options.Service.Watch(ctx, f.prefix, after)
		if err != nil {
			return err
		}
		after = revision
		if len(changes) == 0 {
			continue
		}
		f.registry.mu.Lock()
		for _, change := range changes {
			f.registry.apply(change, false)
		}
		f.registry.mu.Unlock()
		f.registry.reportVMs()
	}
}
