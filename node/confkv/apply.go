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
	// maxApplyWrites bounds the writes of one key in an apply. Each failed write
	// of the current configuration is followed by a read of its outcome.
	maxApplyWrites = 8
	// writeRetryInterval is the time after a failed write before the next one.
	writeRetryInterval = 250 * time.Millisecond
)

// Apply writes a configuration as the successor of version base by
// compare-and-swap and returns it with its version. When the apply id is already
// stored, it returns the stored configuration without a write. It returns
// code.VersionConflict with the version, author and apply id of the winner when
// another apply was faster, and code.OutcomeOfApplyUnknown when the response to
// the write was lost and the outcome could not be read back.
func Apply(ctx context.Context, service kv.Service, base config.Version, wanted config.Configuration) (config.Configuration, *code.Error) {
	wanted.Version = base + 1
	current, revision, err := Read(ctx, service)
	if err != nil {
		return wanted, code.Wrap(code.KeyValueAway, "the current configuration could not be read; nothing was written", err)
	}
	if stored, applied := alreadyApplied(ctx, service, current, wanted); applied {
		return stored, nil
	}
	if current.Version != base {
		return wanted, versionConflict(current)
	}
	if err := writeHistory(ctx, service, current); err != nil {
		return wanted, err
	}
	if err := compareAndSwap(ctx, service, revision, wanted); err != nil {
		return wanted, err
	}
	// A failure is ignored, because the next apply writes the history of this
	// version when it is missing.
	_ = writeHistory(ctx, service, wanted)
	return wanted, nil
}

// alreadyApplied returns the stored configuration and true when an apply with
// the same id was written before, even when later versions have replaced it.
func alreadyApplied(ctx context.Context, service kv.Service, current, wanted config.Configuration) (config.Configuration, bool) {
	if current.Version > 0 && current.ApplyID == wanted.ApplyID {
		return current, true
	}
	if current.Version <= wanted.Version {
		return config.Configuration{}, false
	}
	stored, err := ReadVersion(ctx, service, wanted.Version)
	return stored, err == nil && stored.ApplyID == wanted.ApplyID
}

// compareAndSwap writes the configuration at the expected revision. After a
// failed write it reads back whether the write took effect, since the response
// may have been lost. The expected revision makes it safe to repeat the write.
func compareAndSwap(ctx context.Context, service kv.Service, revision kv.Revision, wanted config.Configuration) *code.Error {
	data, err := Encode(wanted)
	if err != nil {
		return err
	}
	responseLost := false
	for range maxApplyWrites {
		_, err = service.Put(ctx, kv.Write{Key: KeyCurrent, Value: data, Expected: revision})
		if err == nil {
			return nil
		}
		responseLost = responseLost || err.Code != code.CompareFailed
		outcome, readErr := readBack(ctx, service, wanted)
		if outcome == config.Written {
			return nil
		}
		if readErr != nil && readErr.Code == code.VersionConflict {
			return readErr
		}
		if !worker.Sleep(ctx, writeRetryInterval) {
			break
		}
	}
	if responseLost {
		return code.Wrap(code.OutcomeOfApplyUnknown, "the response to the write was lost and could not be read back", err)
	}
	return err
}

// readBack reads the outcome of a write whose response was lost. It returns
// code.VersionConflict when another apply took the version.
func readBack(ctx context.Context, service kv.Service, wanted config.Configuration) (config.WriteOutcome, *code.Error) {
	current, _, err := Read(ctx, service)
	if err != nil {
		return 0, err
	}
	outcome := config.ResolveWrite(current, wanted)
	switch outcome {
	case config.VersionTaken:
		return outcome, versionConflict(current)
	case config.Superseded:
		return readBackHistory(ctx, service, wanted)
	}
	return outcome, nil
}

// readBackHistory reads the outcome of a write from the history, because a later
// version is already in place.
func readBackHistory(ctx context.Context, service kv.Service, wanted config.Configuration) (config.WriteOutcome, *code.Error) {
	stored, err := ReadVersion(ctx, service, wanted.Version)
	if err != nil {
		return 0, err
	}
	if stored.ApplyID == wanted.ApplyID {
		return config.Written, nil
	}
	return config.VersionTaken, versionConflict(stored)
}

func versionConflict(winner config.Configuration) *code.Error {
	return code.Newf(code.VersionConflict, "version %d by %s with apply id %s is in place", winner.Version, winner.Author, winner.ApplyID)
}

// writeHistory stores a version in the history unless it is there already. Each
// apply also stores the version that it replaces, so that the history has no
// gaps when an applier fails after its write.
func writeHistory(ctx context.Context, service kv.Service, c config.Configuration) *code.Error {
	if c.Version == 0 {
		return nil
	}
	data, err := Encode(c)
	if err != nil {
		return err
	}
	for range maxApplyWrites {
		_, err = service.Put(ctx, kv.Write{Key: HistoryKey(c.Version), Value: data, Expected: kv.Absent})
		if err == nil || err.Code == code.CompareFailed {
			return nil
		}
		if !worker.Sleep(ctx, writeRetryInterval) {
			break
		}
	}
	return err
}

// ReadVersion returns a version from the history, or code.KeyMissing.
func ReadVersion(ctx context.Context, service kv.Service, version config.Version) (config.Configuration, *code.Error) {
	entry, err := service.Get(ctx, HistoryKey(version))
	if err != nil {
		return config.Configuration{}, err
	}
	return Decode(entry.Value)
}

// Repair replaces an older configuration in the service by a newer one. It
// returns code.CompareFailed when the service no longer holds the older one.
func Repair(ctx context.Context, service kv.Service, replaced, newer config.Configuration) *code.Error {
	current, revision, err := Read(ctx, service)
	if err != nil {
		return err
	}
	if !current.SameApply(replaced) {
		return code.New(code.CompareFailed, "the configuration changed before its repair")
	}
	data, err := Encode(newer)
	if err != nil {
		return err
	}
	if _, err = service.Put(ctx, kv.Write{Key: KeyCurrent, Value: data, Expected: revision}); err != nil {
		return err
	}
	_ = writeHistory(ctx, service, newer)
	return nil
}
