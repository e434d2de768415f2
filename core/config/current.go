package config

import "time"

// Configuration is one complete configuration as the key-value service stores
// it.
type Configuration struct {
	Version Version
	// ApplyID identifies the apply that produced the version.
	ApplyID string
	Author  string
	// AppliedAt is when the author applied the version.
	AppliedAt time.Time
	// Text is the rules file.
	Text []byte
}

// SameApply reports whether both configurations were written by the same apply.
func (c Configuration) SameApply(other Configuration) bool {
	return c.Version == other.Version && c.ApplyID == other.ApplyID
}

// WriteOutcome is the outcome of a write whose response was lost, as a later
// read shows it.
type WriteOutcome int

// The write outcomes.
const (
	// Written means that the write took effect.
	Written WriteOutcome = iota + 1
	// NotWritten means that the write did not take effect; it may be repeated
	// with the same expected revision.
	NotWritten
	// VersionTaken means that another apply wrote the version.
	VersionTaken
	// Superseded means that a later version is stored. The history of the own
	// version shows which apply wrote it.
	Superseded
)

// ResolveWrite compares the stored configuration that was read back with the own
// write and returns the outcome of that write.
func ResolveWrite(stored, own Configuration) WriteOutcome {
	switch {
	case stored.ApplyID == own.ApplyID && stored.Version >= own.Version:
		return Written
	case stored.Version < own.Version:
		return NotWritten
	case stored.Version == own.Version:
		return VersionTaken
	}
	return Superseded
}

// Repair returns the configuration that must replace the stored one, and whether
// a replacement is needed. A key-value service restored from an old copy holds
// an older version, or the same version from another apply. In the latter case
// the replacement gets the next version, because nodes never replace a version
// by another one with the same number.
func Repair(stored, inForce Configuration) (Configuration, bool) {
	if stored.Version < inForce.Version {
		return inForce, true
	}
	if stored.Version == inForce.Version && stored.ApplyID != inForce.ApplyID {
		inForce.Version++
		return inForce, true
	}
	return Configuration{}, false
}
