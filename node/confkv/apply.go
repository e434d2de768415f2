package confkv

import (
	"context"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/node/worker"
)

const (
	// maxApplyCalls bounds the writes and reads that settle one apply.
	maxApplyCalls = 8
	// settleInterval is the time between two tries to settle a lost response.
	settleInterval = 250 * time.Millisecond
)

// Apply writes a configuration as the successor of base by compare-and-swap
// and returns it with its version. An apply whose id is already in place is
// reported as done. The loser of a race gets code.VersionConflict with the
// version, author and apply id of the winner; code.OutcomeOfApplyUnknown
// means that a response was lost and could not be read back.
func Apply(ctx context.Context, service kv.Service, base config.Version, wanted config.Configuration) (config.Configuration, *code.Error) {
	wanted.Version = base + 1
	found, revision, err := Read(ctx, service)
	if err != nil {
		return wanted, code.Wrap(code.KeyValueAway, "the current configuration could not be read; nothing was written", err)
	}
	if done, applied := alreadyApplied(ctx, service, found, wanted); applied {
		return done, nil
	}
	if found.Version != base {
		return wanted, conflict(found)
	}
	if err := keepHistory(ctx, service, found); err != nil {
		return wanted, err
	}
	if err := swap(ctx, service, revision, wanted); err != nil {
		return wanted, err
	}
	// The next apply writes the history of this version when it is missing.
	_ = keepHistory(ctx, service, wanted)
	return wanted, nil
}

// alreadyApplied recognises a second apply with the same id, also when later
// versions are in place.
func alreadyApplied(ctx context.Context, service kv.Service, found, wanted config.Configuration) (config.Configuration, bool) {
	if found.Version > 0 && found.ApplyID == wanted.ApplyID {
		return found, true
	}
	if found.Version <= wanted.Version {
		return config.Configuration{}, false
	}
	kept, err := ReadVersion(ctx, service, wanted.Version)
	return kept, err == nil && kept.ApplyID == wanted.ApplyID
}

// swap writes the value and settles a lost response by reading back. The
// expected revision makes a repeated write safe.
func swap(ctx context.Context, service kv.Service, revision kv.Revision, wanted config.Configuration) *code.Error {
	data, err := Encode(wanted)
	if err != nil {
		return err
	}
	lost := false
	for range maxApplyCalls {
		_, err = service.Put(ctx, kv.Write{Key: KeyCurrent, Value: data, Expected: revision})
		if err == nil {
			return nil
		}
		lost = lost || err.Code != code.CompareFailed
		settled, settleErr := settle(ctx, service, wanted)
		if settled == config.Written {
			return nil
		}
		if settleErr != nil && settleErr.Code == code.VersionConflict {
			return settleErr
		}
		if !worker.Sleep(ctx, settleInterval) {
			break
		}
	}
	if lost {
		return code.Wrap(code.OutcomeOfApplyUnknown, "the response to the write was lost and could not be read back", err)
	}
	return err
}

// settle finds out what became of a write.
func settle(ctx context.Context, service kv.Service, wanted config.Configuration) (config.WriteOutcome, *code.Error) {
	found, _, err := Read(ctx, service)
	if err != nil {
		return 0, err
	}
	settlement := config.ResolveWrite(found, wanted)
	switch settlement {
	case config.VersionTaken:
		return settlement, conflict(found)
	case config.Superseded:
		return settlePassed(ctx, service, wanted)
	}
	return settlement, nil
}

func settlePassed(ctx context.Context, service kv.Service, wanted config.Configuration) (config.WriteOutcome, *code.Error) {
	kept, err := ReadVersion(ctx, service, wanted.Version)
	if err != nil {
		return 0, err
	}
	if kept.ApplyID == wanted.ApplyID {
		return config.Written, nil
	}
	return config.VersionTaken, conflict(kept)
}

func conflict(winner config.Configuration) *code.Error {
	return code.Newf(code.VersionConflict, "version %d by %s with apply id %s is in place", winner.Version, winner.Author, winner.ApplyID)
}

// keepHistory stores a version in the history. Each apply does so for the
// version that it replaces, so the history has no gaps when an applier fails
// after its write.
func keepHistory(ctx context.Context, service kv.Service, c config.Configuration) *code.Error {
	if c.Version == 0 {
		return nil
	}
	data, err := Encode(c)
	if err != nil {
		return err
	}
	for range maxApplyCalls {
		_, err = service.Put(ctx, kv.Write{Key: HistoryKey(c.Version), Value: data, Expected: kv.Absent})
		if err == nil || err.Code == code.CompareFailed {
			return nil
		}
		if !worker.Sleep(ctx, settleInterval) {
			break
		}
	}
	return err
}

// ReadVersion returns a version of the history, or code.KeyMissing.
func ReadVersion(ctx context.Context, service kv.Service, version config.Version) (config.Configuration, *code.Error) {
	entry, err := service.Get(ctx, HistoryKey(version))
	if err != nil {
		return config.Configuration{}, err
	}
	return Decode(entry.Value)
}

// Repair replaces an older configuration by a newer one. It returns
// code.CompareFailed when the service holds something else meanwhile.
func Repair(ctx context.Context, service kv.Service, replaced, newer config.Configuration) *code.Error {
	found, revision, err := Read(ctx, service)
	if err != nil {
		return err
	}
	if !found.SameApply(replaced) {
		return code.New(code.CompareFailed, "the configuration changed before its repair")
	}
	data, err := Encode(newer)
	if err != nil {
		return err
	}
	if _, err = service.Put(ctx, kv.Write{Key: KeyCurrent, Value: data, Expected: revision}); err != nil {
		return err
	}
	_ = keepHistory(ctx, service, newer)
	return nil
}
