package once

import (
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/request"
)

// Operation is what a traffic goroutine does with a record. Its values are
// events of the record chart.
type Operation string

// The operations on a record.
const (
	// Claim creates the claim before the request is placed.
	Claim Operation = "claim"
	// Complete stores the response of a request that has run.
	Complete Operation = "complete"
	// Release gives up the claim of a request that was not dispatched.
	Release Operation = "release"
)

// Job is one operation on one record.
type Job struct {
	// ID identifies the job while it runs.
	ID        request.ID
	Operation Operation
	// OwnRecord is the record as this claim writes it. The tracker sets its
	// status.
	OwnRecord Record
	// GiveUpAt is when the job stops retrying because the key-value service is
	// unreachable.
	GiveUpAt time.Time
}

// Outcome is the outcome of one read or write. Its values are events of the
// record chart.
type Outcome string

// The outcomes of a read or a write.
const (
	// Absent means that a read found no record.
	Absent Outcome = "absent"
	// Found means that a read returned the record.
	Found Outcome = "found"
	// Written means that a compare-and-swap took effect.
	Written Outcome = "written"
	// Conflict means that a compare-and-swap found another revision.
	Conflict Outcome = "conflict"
	// Failed means that the step failed for another reason, for example because
	// the key-value service did not respond. A write may have taken effect.
	Failed Outcome = "away"
)

// StepResult is the result of one step.
type StepResult struct {
	Outcome Outcome
	// Record and Revision are set when a read returned the record.
	Record   Record
	Revision uint64
}

// Action is what a traffic goroutine does next.
type Action int

// The actions of a step.
const (
	// Read reads the record.
	Read Action = iota + 1
	// Write writes the record by compare-and-swap.
	Write
	// Stop finishes the job.
	Stop
)

// Step is the next step of a job.
type Step struct {
	Action Action
	// Delay is the time to wait before a read.
	Delay time.Duration
	// Record and ExpectedRevision are the value and the expected revision of a
	// write; revision 0 means that the record must not exist.
	Record           Record
	ExpectedRevision uint64
	// Refusal is the error of a stopped job that failed, or nil.
	Refusal *code.Error
	// Replay is the finished record whose response is returned instead of
	// running the request, or nil.
	Replay *Record
	// Withdraw is true when a refused claim may exist and must be released.
	Withdraw bool
}
