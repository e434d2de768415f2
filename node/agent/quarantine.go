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

// quarantineQueueSize is the maximum number of quarantined fingerprints and prompt
// parts that wait to be stored.
const quarantineQueueSize = 256

// quarantineWrite is a quarantined fingerprint, or a quarantined prompt part, to store
// until expiresAt, or a cleared fingerprint to delete.
type quarantineWrite struct {
	entry     quarantine.Entry
	part      quarantine.PartQuarantine
	expiresAt time.Time
}

// runQuarantineWrites stores quarantined fingerprints and parts one after the other.
// A failed write is repeated until the quarantine expires, because no other node
// may store the same entry.
func (a *Agents) runQuarantineWrites(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case write := <-a.quarantineWrites:
			for write.expiresAt.After(time.Now()) && !a.storeQuarantined(ctx, write) {
				if !worker.Sleep(ctx, retryInterval) {
					return
				}
			}
		}
	}
}

// storeQuarantined stores one fingerprint or part and returns whether it succeeded.
func (a *Agents) storeQuarantined(ctx context.Context, write quarantineWrite) bool {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	var err *code.Error
	switch {
	case write.entry.Kind == quarantine.Cleared:
		err = confkv.DeleteQuarantined(ctx, a.options.Service, write.entry.Fingerprint)
	case write.part.Part != "":
		err = confkv.WriteQuarantinedPart(ctx, a.options.Service, write.part, write.expiresAt)
	default:
		err = confkv.WriteQuarantined(ctx, a.options.Service, write.entry)
	}
	if err != nil {
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
	entries, parts, revision, err := confkv.ListQuarantined(ctx, a.options.Service)
	if err != nil {
		a.logCallFailure("read quarantine", err)
		return revision, err
	}
	a.reportQuarantined(entries, parts)
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
		var parts []quarantine.PartQuarantine
		for _, change := range changes {
			if change.Deleted {
				continue
			}
			if entry, ok := confkv.DecodeQuarantined(change.Entry); ok {
				entries = append(entries, entry)
			}
			if part, ok := confkv.DecodeQuarantinedPart(change.Entry); ok {
				parts = append(parts, part)
			}
		}
		a.reportQuarantined(entries, parts)
		after = revision
	}
	return nil
}

// reportQuarantined reports entries and parts in messages of at most
// quarantine.MaxDigestEntries of them, the maximum that the control thread
// accepts.
func (a *Agents) reportQuarantined(entries []quarantine.Entry, parts []quarantine.PartQuarantine) {
	for chunk := range slices.Chunk(parts, quarantine.MaxDigestEntries) {
		a.tell(control.QuarantineSeen{Parts: chunk, FromService: true})
	}
	for chunk := range slices.Chunk(entries, quarantine.MaxDigestEntries) {
		a.tell(control.QuarantineSeen{Entries: chunk, FromService: true})
	}
}
