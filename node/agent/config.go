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

// watchConfig reads the configuration and then watches for changes. A watch that
// returns no change is followed by a read, because a service that was restored
// from an older copy may continue from a lower revision.
func (a *Agents) watchConfig(ctx context.Context) {
	if !a.awaitQuarantineRead(ctx) {
		return
	}
	for ctx.Err() == nil {
		revision, err := a.readConfig(ctx)
		if err == nil {
			err = a.followConfig(ctx, revision)
		}
		if err != nil && err.Code == code.HistoryGone {
			continue
		}
		if err != nil && !worker.Sleep(ctx, retryInterval) {
			return
		}
	}
}

// awaitQuarantineRead waits for the first read of the quarantined fingerprints,
// so that a node that starts does not serve requests before it has tried to read
// them. It returns false when the context is cancelled.
func (a *Agents) awaitQuarantineRead(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-a.firstQuarantineRead:
		return true
	}
}

// followConfig reports changes after a revision until a watch returns none.
func (a *Agents) followConfig(ctx context.Context, after kv.Revision) *code.Error {
	for ctx.Err() == nil {
		startedAt := time.Now()
		watchContext, cancel := context.WithTimeout(ctx, kv.WatchWait+serviceTimeout)
		changes, revision, err := a.options.Service.Watch(watchContext, a.options.ConfigSource.Key, after)
		cancel()
		if err != nil {
			a.logCallFailure("watch configuration", err)
			return err
		}
		if len(changes) == 0 {
			return nil
		}
		for _, change := range changes {
			a.handleConfigChange(change, startedAt)
		}
		after = revision
	}
	return nil
}

// handleConfigChange reports a change of the configuration, unless it deletes
// the configuration or belongs to another key.
func (a *Agents) handleConfigChange(change kv.Change, startedAt time.Time) {
	if change.Deleted || change.Entry.Key != a.options.ConfigSource.Key {
		return
	}
	current, err := a.options.ConfigSource.Decode(change.Entry.Value)
	if err != nil {
		a.logCallFailure("watch", err)
		return
	}
	a.reportConfig(control.ConfigSeen{Current: current, FromService: true, AskedAt: startedAt})
}

// runConfigCommands executes commands that read or repair the configuration or write the
// record of the isolated organisations.
func (a *Agents) runConfigCommands(ctx context.Context) {
	if !a.awaitQuarantineRead(ctx) {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-a.configCommands:
			switch c := command.(type) {
			case control.WriteConfig:
				a.repairConfig(ctx, c)
			case control.WriteIsolation:
				a.writeIsolation(ctx, c)
			default:
				_, _ = a.readConfig(ctx)
			}
		}
	}
}

func (a *Agents) readConfig(ctx context.Context) (kv.Revision, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	askedAt := time.Now()
	current, revision, err := a.options.ConfigSource.Read(ctx, a.options.Service)
	if err != nil {
		a.logCallFailure("read configuration", err)
		return revision, err
	}
	a.reportConfig(control.ConfigSeen{Current: current, FromService: true, AskedAt: askedAt})
	return revision, nil
}

// repairConfig replaces an older stored configuration with the one in force at
// this node, and logs the result.
func (a *Agents) repairConfig(ctx context.Context, write control.WriteConfig) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	fields := []any{"version", uint64(write.Current.Version), "replaced", uint64(write.Replaced.Version)}
	if err := confkv.Repair(ctx, a.options.Service, write.Replaced, write.Current); err != nil {
		eventlog.Write(a.options.Logger, event.ConfigNotRepaired, err, append(fields, "code", int(err.Code))...)
		return
	}
	eventlog.Write(a.options.Logger, event.ConfigRepaired, nil, fields...)
}

// writeIsolation writes the record of the isolated organisations. A node that finds that
// another one wrote it sees the result in the entries.
func (a *Agents) writeIsolation(ctx context.Context, command control.WriteIsolation) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	if err := confkv.WriteIsolation(ctx, a.options.Service, command); err != nil && err.Code != code.CompareFailed {
		a.logCallFailure("write isolated organisations", err)
	}
}

// reportConfig parses a configuration and reports it. A configuration that
// cannot be parsed is reported without rules, so that the control thread knows
// its version.
func (a *Agents) reportConfig(message control.ConfigSeen) {
	if current := message.Current; current.Version > 0 {
		rules, err := a.parseRules(current.Text)
		if err != nil {
			eventlog.Write(a.options.Logger, event.ConfigUnreadable, err, "version", uint64(current.Version), "code", int(err.Code))
		} else {
			message.Rules = rules
		}
	}
	a.tell(message)
}

// parsedRules is a rules file with the rules that it contains.
type parsedRules struct {
	text  []byte
	rules *config.Rules
}

// parseRules returns the rules of a text. A text that equals the one parsed last
// is not parsed again: most reads return an unchanged text, and parsing the rules
// of 1,400 organisations takes tens of milliseconds.
func (a *Agents) parseRules(text []byte) (*config.Rules, *code.Error) {
	if last := a.lastParsed.Load(); last != nil && bytes.Equal(last.text, text) {
		return last.rules, nil
	}
	rules, err := a.options.Parse(text)
	if err != nil {
		return nil, err
	}
	a.lastParsed.Store(&parsedRules{text: text, rules: rules})
	return rules, nil
}
