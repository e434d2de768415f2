// Package once executes the reads and writes of at-most-once records in the
// key-value service. The control thread decides on each step.
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
	// claimTimeout is how long a claim is retried.
	claimTimeout = 3 * time.Second
	// writeTimeout is how long Complete and Release wait for the write.
	writeTimeout = 3 * time.Second
	// backgroundTimeout is how long a completion or release is retried.
	backgroundTimeout = 2 * time.Minute
	// askRetryDelay is the delay before the control thread is asked again.
	askRetryDelay = 20 * time.Millisecond
	// maxAsks is how many times the control thread is asked about one step.
	maxAsks = 50
	// maxBackgroundWrites is the maximum number of completions and releases in
	// progress.
	maxBackgroundWrites = 1024
)

// Options configures a recorder.
type Options struct {
	Control ingress.ControlThread
	Service kv.Service
	// Node is the name of the node, which is stored in each record.
	Node   string
	Logger logr.Logger
}

// Recorder implements ingress.Recorder on the key-value service.
type Recorder struct {
	options Options
	// backgroundContext is the context of the jobs in the background.
	backgroundContext context.Context
	backgroundSlots   chan struct{}
}

var _ ingress.Recorder = (*Recorder)(nil)

// New returns a recorder whose background jobs run in the context.
func New(backgroundContext context.Context, options Options) *Recorder {
	return &Recorder{options: options, backgroundContext: backgroundContext, backgroundSlots: make(chan struct{}, maxBackgroundWrites)}
}

// Claim creates the record of a request. It returns the stored response when an
// earlier call with the key has finished. Its error is code.KeyReused,
// code.InProgress, code.OutcomeUnknown, code.AnswerNotKept or
// code.ClaimUnavailable. A claim that may exist after an error is released in
// the background.
func (r *Recorder) Claim(ctx context.Context, claim ingress.Claim) (*ingress.StoredResponse, *code.Error) {
	now := time.Now()
	giveUpAt := now.Add(claimTimeout)
	if claim.Deadline.Before(giveUpAt) {
		giveUpAt = claim.Deadline
	}
	ownRecord := r.newRecord(claim)
	ownRecord.ClaimedAt = now
	step := r.runSteps(ctx, once.Job{Operation: once.Claim, OwnRecord: ownRecord, GiveUpAt: giveUpAt}, recordKey(claim))
	if step.Withdraw {
		r.runInBackground(once.Release, claim, ownRecord)
	}
	if step.Replay != nil {
		return storedResponse(step.Replay), nil
	}
	return nil, step.Refusal
}

// Complete stores the response. While the service is unreachable, it returns
// code.ClaimUnavailable after writeTimeout and continues in the background.
func (r *Recorder) Complete(ctx context.Context, claim ingress.Claim, stored ingress.StoredResponse) *code.Error {
	ownRecord := r.newRecord(claim)
	ownRecord.Response = newResponse(stored)
	return r.awaitResult(ctx, r.runInBackground(once.Complete, claim, ownRecord))
}

// Release releases the claim of a request that was not dispatched. While the
// service is unreachable, it returns code.ClaimUnavailable after writeTimeout and
// continues in the background.
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

// runInBackground runs a job in the background and returns a channel that
// delivers its result once. The result is code.Overloaded when
// maxBackgroundWrites jobs are in progress.
func (r *Recorder) runInBackground(operation once.Operation, claim ingress.Claim, ownRecord once.Record) <-chan *code.Error {
	result := make(chan *code.Error, 1)
	select {
	case r.backgroundSlots <- struct{}{}:
	default:
		result <- code.New(code.Overloaded, "too many records are being written")
		return result
	}
	job := once.Job{Operation: operation, OwnRecord: ownRecord, GiveUpAt: time.Now().Add(backgroundTimeout)}
	go func() {
		defer func() { <-r.backgroundSlots }()
		step := r.runSteps(r.backgroundContext, job, recordKey(claim))
		r.logFailure(operation, claim.Request, step.Refusal)
		result <- step.Refusal
	}()
	return result
}

// awaitResult returns the result of a background job. After writeTimeout it returns
// code.ClaimUnavailable, and the job continues.
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

// logFailure logs that a record was not completed or released.
func (r *Recorder) logFailure(operation once.Operation, id request.ID, err *code.Error) {
	if err == nil {
		return
	}
	failureEvent := event.ClaimReleaseFailed
	if operation == once.Complete {
		failureEvent = event.ResponseRecordFailed
	}
	eventlog.Write(r.options.Logger, failureEvent, err, "request", id)
}

// runSteps executes the steps of a job until the control thread stops it, and
// returns the last step.
func (r *Recorder) runSteps(ctx context.Context, job once.Job, key string) once.Step {
	job.ID = request.ID(uuid.NewString())
	step := r.ask(ctx, control.RecordBegin{Job: job})
	for step.Action != once.Stop {
		result := r.performStep(ctx, step, key)
		step = r.ask(ctx, control.RecordReport{Job: job.ID, Result: result})
	}
	return step
}

// ask returns the decision of the control thread. It repeats a question that did
// not fit into the queue of the control thread. A job without a decision stops
// and withdraws its claim, which may exist.
func (r *Recorder) ask(ctx context.Context, question control.Question) once.Step {
	var lastErr *code.Error
	for range maxAsks {
		decision, err := r.options.Control.Ask(ctx, question)
		if step, ok := decision.(control.RecordStep); ok {
			return step.Step
		}
		lastErr = err
		if ctx.Err() != nil || !worker.Sleep(ctx, askRetryDelay) {
			break
		}
	}
	noDecision := code.Wrap(code.ClaimUnavailable, "the control thread gave no decision on the record", lastErr)
	return once.Step{Action: once.Stop, Refusal: noDecision, Withdraw: true}
}

// performStep executes one read or write, after the delay of the step.
func (r *Recorder) performStep(ctx context.Context, step once.Step, key string) once.StepResult {
	if step.Delay > 0 && !worker.Sleep(ctx, step.Delay) {
		return once.StepResult{Outcome: once.Failed}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if step.Action == once.Write {
		return r.writeRecord(ctx, step, key)
	}
	return r.readRecord(ctx, key)
}

func (r *Recorder) readRecord(ctx context.Context, key string) once.StepResult {
	entry, err := r.options.Service.Get(ctx, key)
	if err != nil && err.Code == code.KeyMissing {
		return once.StepResult{Outcome: once.Absent}
	}
	if err != nil {
		return once.StepResult{Outcome: once.Failed}
	}
	return once.StepResult{Outcome: once.Found, Record: decodeRecord(entry.Value), Revision: uint64(entry.Revision)}
}

func (r *Recorder) writeRecord(ctx context.Context, step once.Step, key string) once.StepResult {
	value, encodeErr := encodeRecord(step.Record)
	if encodeErr != nil {
		return once.StepResult{Outcome: once.Failed}
	}
	_, err := r.options.Service.Put(ctx, kv.Write{Key: key, Value: value, Expected: kv.Revision(step.ExpectedRevision)})
	if err == nil {
		return once.StepResult{Outcome: once.Written}
	}
	if err.Code == code.CompareFailed {
		return once.StepResult{Outcome: once.Conflict}
	}
	return once.StepResult{Outcome: once.Failed}
}
