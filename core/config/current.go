package config

import "time"

// Current is one whole configuration as the key-value service holds it.
type Current struct {
	Version Version
	// ApplyID identifies the apply that produced the version.
	ApplyID string
	Author  string
	// At is when the author applied the version.
	At time.Time
	// Text is the rules file.
	Text []byte
}

// Same reports whether both values come from the same apply.
func (c Current) Same(other Current) bool {
	return c.Version == other.Version && c.ApplyID == other.ApplyID
}

// Settlement is what a read tells about a write whose response was lost.
type Settlement int

// The settlements of a write.
const (
	// Written means that the write took effect.
	Written Settlement = iota + 1
	// NotWritten means that the write did not take effect; it may be repeated
	// with the same expected revision.
	NotWritten
	// Lost means that another apply took the version.
	Lost
	// Passed means that a later version is in place. The history of the own
	// version tells who wrote it.
	Passed
)

// Settle compares the value that was read back with the own write.
func Settle(found, own Current) Settlement {
	switch {
	case found.ApplyID == own.ApplyID && found.Version >= own.Version:
		return Written
	case found.Version < own.Version:
		return NotWritten
	case found.Version == own.Version:
		return Lost
	}
	return Passed
}

// Repair returns the value that must replace the one found in the service,
// and whether any must. A service restored from an old copy holds an older
// version, or the same version from another apply. In the latter case the
// repair takes the next version, because nodes never replace a version by
// another one with the same number.
func Repair(found, inForce Current) (Current, bool) {
	if found.Version < inForce.Version {
		return inForce, true
	}
	if found.Version == inForce.Version && found.ApplyID != inForce.ApplyID {
		inForce.Version++
		return inForce, true
	}
	return Current{}, false
}
