package agent

import (
	"bytes"
	"context"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/node/confkv"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/worker"
)

// watchConfig reads the configuration and then waits for changes. An empty
// watch is followed by a read, because a service that was restored from an
// older copy may count its revisions from a lower number.
func (a *Agents) watchConfig(ctx context.Context) {
	if !a.awaitQuarantine(ctx) {
		return
	}
	for ctx.Err() == nil {
		revision, err := a.readConfig(ctx)
		if err == nil {
			err = a.followConfig(ctx, revision)
		}
		if err != nil && !worker.Sleep(ctx, retryInterval) {
			return
		}
	}
}

// awaitQuarantine waits for the first attempt to read the quarantined
// fingerprints, so that a node that starts does not serve before it knows
// them. It reports false when the context ended.
func (a *Agents) awaitQuarantine(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-a.quarantineRead:
		return true
	}
}

// followConfig reports changes until a watch returns none.
func (a *Agents) followConfig(ctx context.Context, after kv.Revision) *code.Error {
	for ctx.Err() == nil {
		began := time.Now()
		watchContext, cancel := context.WithTimeout(ctx, kv.WatchWait+serviceTimeout)
		changes, revision, err := a.options.Service.Watch(watchContext, a.options.Source.Key, after)
		cancel()
		if err != nil {
			a.failed("watch configuration", err)
			return err
		}
		if len(changes) == 0 {
			return nil
		}
		for _, change := range changes {
			a.changeSeen(change, began)
		}
		after = revision
	}
	return nil
}

func (a *Agents) changeSeen(change kv.Change, began time.Time) {
	if change.Deleted || change.Entry.Key != a.options.Source.Key {
		return
	}
	current, err := a.options.Source.Decode(change.Entry.Value)
	if err != nil {
		a.failed("watch", err)
		return
	}
	a.seen(current, true, began)
}

// runReads carries out reads and repairs.
func (a *Agents) runReads(ctx context.Context) {
	if !a.awaitQuarantine(ctx) {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-a.reads:
			if write, ok := command.(control.WriteConfig); ok {
				a.repair(ctx, write)
				continue
			}
			_, _ = a.readConfig(ctx)
		}
	}
}

func (a *Agents) readConfig(ctx context.Context) (kv.Revision, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	asked := time.Now()
	current, revision, err := a.options.Source.Read(ctx, a.options.Service)
	if err != nil {
		a.failed("read configuration", err)
		return revision, err
	}
	a.seen(current, true, asked)
	return revision, nil
}

func (a *Agents) repair(ctx context.Context, write control.WriteConfig) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	fields := []any{"version", uint64(write.Current.Version), "replaced", uint64(write.Replaced.Version)}
	if err := confkv.Repair(ctx, a.options.Service, write.Replaced, write.Current); err != nil {
		eventlog.Write(a.options.Logger, event.ConfigNotRepaired, err, append(fields, "code", int(err.Code))...)
		return
	}
	eventlog.Write(a.options.Logger, event.ConfigRepaired, nil, fields...)
}

// seen parses a configuration and reports it. One that cannot be parsed is
// reported without rules, so that the node knows that it exists.
func (a *Agents) seen(current config.Configuration, service bool, asked time.Time) {
	message := control.ConfigSeen{Current: current, FromService: service, AskedAt: asked}
	if current.Version > 0 {
		rules, err := a.parse(current.Text)
		if err != nil {
			eventlog.Write(a.options.Logger, event.ConfigUnreadable, err, "version", uint64(current.Version), "code", int(err.Code))
		} else {
			message.Rules = rules
		}
	}
	a.tell(message)
}

// parsed is a rules file with its rules.
type parsed struct {
	text  []byte
	rules *config.Rules
}

// parse returns the rules of a text. Most reads return the same text as the
// one before, which is not parsed again: 1,400 organisations take tens of
// milliseconds.
func (a *Agents) parse(text []byte) (*config.Rules, *code.Error) {
	if last := a.parsed.Load(); last != nil && bytes.Equal(last.text, text) {
		return last.rules, nil
	}
	rules, err := a.options.Parse(text)
	if err != nil {
		return nil, err
	}
	a.parsed.Store(&parsed{text: text, rules: rules})
	return rules, nil
}
