package agent

import (
	"context"
	"slices"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/quarantine"
	"tanagerspread/node/confkv"
	"tanagerspread/node/worker"
)

// quarantineQueue bounds the quarantined fingerprints that wait to be stored.
const quarantineQueue = 256

// storeQuarantine writes quarantined fingerprints one after the other. A
// failed write is repeated until the quarantine expires, because no other node
// writes it.
func (a *Agents) storeQuarantine(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case entry := <-a.quarantined:
			for entry.ExpiresAt.After(time.Now()) && !a.stored(ctx, entry) {
				if !worker.Sleep(ctx, retryInterval) {
					return
				}
			}
		}
	}
}

func (a *Agents) stored(ctx context.Context, entry quarantine.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	if err := confkv.WriteQuarantined(ctx, a.options.Service, entry); err != nil {
		a.failed("store quarantine", err)
		return false
	}
	return true
}

// watchQuarantine reads the quarantined fingerprints and then waits for more.
func (a *Agents) watchQuarantine(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := a.readQuarantine(ctx)
		a.quarantineOnce.Do(func() { close(a.quarantineRead) })
		if err == nil {
			err = a.followQuarantine(ctx, revision)
		}
		if err != nil && !worker.Sleep(ctx, retryInterval) {
			return
		}
	}
}

func (a *Agents) readQuarantine(ctx context.Context) (kv.Revision, *code.Error) {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	entries, revision, err := confkv.ListQuarantined(ctx, a.options.Service)
	if err != nil {
		a.failed("read quarantine", err)
		return revision, err
	}
	a.quarantineSeen(entries)
	return revision, nil
}

// followQuarantine reports changes. It returns when the revisions go back,
// because the service was restored from an older copy.
func (a *Agents) followQuarantine(ctx context.Context, after kv.Revision) *code.Error {
	for ctx.Err() == nil {
		watchContext, cancel := context.WithTimeout(ctx, kv.WatchWait+serviceTimeout)
		changes, revision, err := a.options.Service.Watch(watchContext, confkv.PrefixQuarantine, after)
		cancel()
		if err != nil {
			return err
		}
		if revision < after {
			return nil
		}
		var entries []quarantine.Entry
		for _, change := range changes {
			if entry, ok := confkv.DecodeQuarantined(change.Entry); ok && !change.Deleted {
				entries = append(entries, entry)
			}
		}
		a.quarantineSeen(entries)
		after = revision
	}
	return nil
}

// quarantineSeen reports entries in messages of the size that the control
// thread accepts.
func (a *Agents) quarantineSeen(entries []quarantine.Entry) {
	for part := range slices.Chunk(entries, quarantine.MaxDigestEntries) {
		a.tell(control.QuarantineSeen{Entries: part, FromService: true})
	}
}
