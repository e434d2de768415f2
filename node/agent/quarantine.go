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

// quarantineQueueSize is the maximum number of quarantined fingerprints that
// wait to be stored.
const quarantineQueueSize = 256

// runQuarantineWrites stores quarantined fingerprints one after the other. A
// failed write is repeated until the quarantine expires, because no other node
// stores the same entry.
func (a *Agents) runQuarantineWrites(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case entry := <-a.quarantineWrites:
			for entry.ExpiresAt.After(time.Now()) && !a.storeQuarantineEntry(ctx, entry) {
				if !worker.Sleep(ctx, retryInterval) {
					return
				}
			}
		}
	}
}

// storeQuarantineEntry stores one entry and returns whether it succeeded.
func (a *Agents) storeQuarantineEntry(ctx context.Context, entry quarantine.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	if err := confkv.WriteQuarantined(ctx, a.options.Service, entry); err != nil {
		a.logCallFailure("store quarantine", err)
		return false
	}
	return true
}

// watchQuarantine reads the quarantined fingerprints and then watches for
// changes.
func (a *Agents) watchQuarantine(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := a.readQuarantine(ctx)
		a.firstQuarantineReadOnce.Do(func() { close(a.firstQuarantineRead) })
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
		a.logCallFailure("read quarantine", err)
		return revision, err
	}
	a.reportQuarantined(entries)
	return revision, nil
}

// followQuarantine reports changes after a revision. It returns nil when a watch
// returns a lower revision, which means that the service was restored from an
// older copy.
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
		a.reportQuarantined(entries)
		after = revision
	}
	return nil
}

// reportQuarantined reports entries in messages of at most
// quarantine.MaxDigestEntries entries, the maximum that the control thread
// accepts.
func (a *Agents) reportQuarantined(entries []quarantine.Entry) {
	for chunk := range slices.Chunk(entries, quarantine.MaxDigestEntries) {
		a.tell(control.QuarantineSeen{Entries: chunk, FromService: true})
	}
}
