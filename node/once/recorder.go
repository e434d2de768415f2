// Package once performs the reads and writes of at-most-once records against
// the key-value service. The control thread decides on each step.
package once

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/event"
	"tanagerspread/core/once"
	"tanagerspread/core/request"
	"tanagerspread/node/eventlog"
	"tanagerspread/node/ingress"
	"tanagerspread/node/worker"
)

const (
	// callTimeout bounds one call of the key-value service.
	callTimeout = time.Second
	// claimTimeout bounds how long a claim is tried.
	claimTimeout = 3 * time.Second
	// writeTimeout bounds how long a caller waits for a completion or release.
	writeTimeout = 3 * time.Second
	// backgroundTimeout bounds how long a completion or release is tried.
	backgroundTimeout = 2 * time.Minute
	// askRetryDelay is the delay before the control thread is asked again.
	askRetryDelay = 20 * time.Millisecond
	// maxAsks bounds how often the control thread is asked about one step.
	maxAsks = 50
	// maxBackgroundWrites bounds the completions and releases in progress.
	maxBackgroundWrites = 1024
)

// Options configures a recorder.
type Options struct {
	Control ingress.Asker
	Service kv.Service
	// Node is the name of the node, kept in each record.
	Node   string
	Logger logr.Logger
}

// Recorder implements ingress.Recorder over the key-value service.
type Recorder struct {
	options Options
	// backgroundContext ends the work in the background.
	backgroundContext context.Context
	backgroundSlots   chan struct{}
}

var _ ingress.Recorder = (*Recorder)(nil)

// New returns a recorder whose background work ends with the context.
func New(backgroundContext context.Context, options Options) *Recorder {
	return &Recorder{options: options, backgroundContext: backgroundContext, backgroundSlots: make(chan struct{}, maxBackgroundWrites)}
}

// Claim creates the record of a request. It returns the kept response of an
// earlier call, or an error: code.KeyReused, code.InProgress,
// code.OutcomeUnknown, code.AnswerNotKept or code.ClaimUnavailable. A claim
// that may exist after an error is released in the background.
func (r *Recorder) Claim(ctx context.Context, claim ingress.Claim) (*ingress.Kept, *code.Error) {
	now := time.Now()
	until := now.Add(claimTimeout)
	if claim.Deadline.Before(until) {
		until = claim.Deadline
	}
	ownRecord := r.newRecord(claim)
	ownRecord.ClaimedAt = now
	step := r.runSteps(ctx, once.Job{Operation: once.Claim, Own: ownRecord, Until: until}, recordKey(claim))
	if step.Withdraw {
		r.runInBackground(once.Release, claim, ownRecord)
	}
	if step.Replay != nil {
		return keptResponse(step.Replay), nil
	}
	return nil, step.Refused
}

// Complete stores the response. While the service is away, it goes on in the
// background and returns code.ClaimUnavailable after a bounded wait.
func (r *Recorder) Complete(ctx context.Context, claim ingress.Claim, kept ingress.Kept) *code.Error {
	ownRecord := r.newRecord(claim)
	ownRecord.Response = newResponse(kept)
	return r.awaitResult(ctx, r.runInBackground(once.Complete, claim, ownRecord))
}

// Release gives up the claim of a request that was not sent. While the service
// is away, it goes on in the background and returns code.ClaimUnavailable
// after a bounded wait.
func (r *Recorder) Release(ctx context.Context, claim ingress.Claim) *code.Error {
	return r.awaitResult(ctx, r.runInBackground(once.Release, claim, r.newRecord(claim)))
}

func (r *Recorder) newRecord(claim ingress.Claim) once.Record {
	return once.Record{
		Claim:      claim.Request,
		Node:       r.options.Node,
		BodyDigest: claim.BodyDigest,
		ClaimedAt:  time.Now(),
		Deadline:   claim.Deadline,
	}
}

// runInBackground runs a job in the background. The channel gives its result once.
func (r *Recorder) runInBackground(operation once.Operation, claim ingress.Claim, ownRecord once.Record) <-chan *code.Error {
	result := make(chan *code.Error, 1)
	select {
	case r.backgroundSlots <- struct{}{}:
	default:
		result <- code.New(code.Overloaded, "too many records are being written")
		return result
	}
	job := once.Job{Operation: operation, Own: ownRecord, Until: time.Now().Add(backgroundTimeout)}
	go func() {
		defer func() { <-r.backgroundSlots }()
		step := r.runSteps(r.backgroundContext, job, recordKey(claim))
		r.logFailure(operation, claim.Request, step.Refused)
		result <- step.Refused
	}()
	return result
}

func (r *Recorder) awaitResult(ctx context.Context, result <-chan *code.Error) *code.Error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return code.New(code.ClaimUnavailable, "the key-value service is away; the write goes on in the background")
	}
}

func (r *Recorder) logFailure(operation once.Operation, id request.ID, err *code.Error) {
	if err == nil {
		return
	}
	failureEvent := event.ReleaseFailed
	if operation == once.Complete {
		failureEvent = event.CompleteFailed
	}
	eventlog.Write(r.options.Logger, failureEvent, err, "request", id)
}

// runSteps performs the steps of a job until it stops.
func (r *Recorder) runSteps(ctx context.Context, job once.Job, key string) once.Step {
	job.ID = request.ID(uuid.NewString())
	step := r.ask(ctx, control.RecordBegin{Job: job})
	for step.Action != once.Stop {
		report := r.performStep(ctx, step, key)
		step = r.ask(ctx, control.RecordReport{Job: job.ID, Report: report})
	}
	return step
}

// ask repeats a question that the control thread had no room for. A job
// without a decision stops, and its claim counts as possibly made.
func (r *Recorder) ask(ctx context.Context, question control.Question) once.Step {
	var lastErr *code.Error
	for range maxAsks {
		decision, err := r.options.Control.Ask(ctx, question)
		if step, ok := decision.(control.RecordStep); ok {
			return step.Step
		}
		lastErr = err
		if ctx.Err() != nil || !worker.Pause(ctx, askRetryDelay) {
			break
		}
	}
	noDecision := code.Wrap(code.ClaimUnavailable, "the control thread gave no decision on the record", lastErr)
	return once.Step{Action: once.Stop, Refused: noDecision, Withdraw: true}
}

// performStep carries out one read or write.
func (r *Recorder) performStep(ctx context.Context, step once.Step, key string) once.Report {
	if step.Delay > 0 && !worker.Pause(ctx, step.Delay) {
		return once.Report{Outcome: once.Away}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if step.Action == once.Write {
		return r.writeRecord(ctx, step, key)
	}
	return r.readRecord(ctx, key)
}

func (r *Recorder) readRecord(ctx context.Context, key string) once.Report {
	entry, err := r.options.Service.Get(ctx, key)
	if err != nil && err.Code == code.KeyMissing {
		return once.Report{Outcome: once.Absent}
	}
	if err != nil {
		return once.Report{Outcome: once.Away}
	}
	return once.Report{Outcome: once.Found, Record: decodeRecord(entry.Value), Revision: uint64(entry.Revision)}
}

func (r *Recorder) writeRecord(ctx context.Context, step once.Step, key string) once.Report {
	value, encodeErr := encodeRecord(step.Record)
	if encodeErr != nil {
		return once.Report{Outcome: once.Away}
	}
	_, err := r.options.Service.Put(ctx, kv.Write{Key: key, Value: value, Expected: kv.Revision(step.Expected)})
	if err == nil {
		return once.Report{Outcome: once.Written}
	}
	if err.Code == code.CompareFailed {
		return once.Report{Outcome: once.Conflict}
	}
	return once.Report{Outcome: once.Away}
}
