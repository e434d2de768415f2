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
	// callWait bounds one call of the key-value service.
	callWait = time.Second
	// claimWait bounds how long a claim is tried.
	claimWait = 3 * time.Second
	// writeWait bounds how long a caller waits for a completion or release.
	writeWait = 3 * time.Second
	// backgroundWait bounds how long a completion or release is tried.
	backgroundWait = 2 * time.Minute
	// askWait is the delay before the control thread is asked again.
	askWait = 20 * time.Millisecond
	// maxAsks bounds how often the control thread is asked about one step.
	maxAsks = 50
	// maxBackground bounds the completions and releases in progress.
	maxBackground = 1024
)

// Options configures a recorder.
type Options struct {
	Control ingress.ControlThread
	Service kv.Service
	// Node is the name of the node, kept in each record.
	Node   string
	Logger logr.Logger
}

// Recorder implements ingress.Recorder over the key-value service.
type Recorder struct {
	options Options
	// life ends the work in the background.
	life  context.Context
	slots chan struct{}
}

var _ ingress.Recorder = (*Recorder)(nil)

// New returns a recorder whose background work ends with the context.
func New(life context.Context, options Options) *Recorder {
	return &Recorder{options: options, life: life, slots: make(chan struct{}, maxBackground)}
}

// Claim creates the record of a request. It returns the kept response of an
// earlier call, or an error: code.KeyReused, code.InProgress,
// code.OutcomeUnknown, code.AnswerNotKept or code.ClaimUnavailable. A claim
// that may exist after an error is released in the background.
func (r *Recorder) Claim(ctx context.Context, claim ingress.Claim) (*ingress.StoredResponse, *code.Error) {
	now := time.Now()
	until := now.Add(claimWait)
	if claim.Deadline.Before(until) {
		until = claim.Deadline
	}
	own := r.record(claim)
	own.ClaimedAt = now
	step := r.drive(ctx, once.Job{Operation: once.Claim, OwnRecord: own, GiveUpAt: until}, keyOf(claim))
	if step.Withdraw {
		r.start(once.Release, claim, own)
	}
	if step.Replay != nil {
		return keptOf(step.Replay), nil
	}
	return nil, step.Refusal
}

// Complete stores the response. While the service is away, it goes on in the
// background and returns code.ClaimUnavailable after a bounded wait.
func (r *Recorder) Complete(ctx context.Context, claim ingress.Claim, kept ingress.StoredResponse) *code.Error {
	own := r.record(claim)
	own.Response = responseOf(kept)
	return r.await(ctx, r.start(once.Complete, claim, own))
}

// Release gives up the claim of a request that was not sent. While the service
// is away, it goes on in the background and returns code.ClaimUnavailable
// after a bounded wait.
func (r *Recorder) Release(ctx context.Context, claim ingress.Claim) *code.Error {
	return r.await(ctx, r.start(once.Release, claim, r.record(claim)))
}

func (r *Recorder) record(claim ingress.Claim) once.Record {
	return once.Record{
		Claim:      claim.Request,
		Node:       r.options.Node,
		BodyDigest: claim.BodyDigest,
		ClaimedAt:  time.Now(),
		Deadline:   claim.Deadline,
	}
}

// start runs a job in the background. The channel gives its result once.
func (r *Recorder) start(operation once.Operation, claim ingress.Claim, own once.Record) <-chan *code.Error {
	result := make(chan *code.Error, 1)
	select {
	case r.slots <- struct{}{}:
	default:
		result <- code.New(code.Overloaded, "too many records are being written")
		return result
	}
	job := once.Job{Operation: operation, OwnRecord: own, GiveUpAt: time.Now().Add(backgroundWait)}
	go func() {
		defer func() { <-r.slots }()
		step := r.drive(r.life, job, keyOf(claim))
		r.logFailure(operation, claim.Request, step.Refusal)
		result <- step.Refusal
	}()
	return result
}

func (r *Recorder) await(ctx context.Context, result <-chan *code.Error) *code.Error {
	ctx, cancel := context.WithTimeout(ctx, writeWait)
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
	failed := event.ClaimReleaseFailed
	if operation == once.Complete {
		failed = event.ResponseRecordFailed
	}
	eventlog.Write(r.options.Logger, failed, err, "request", id)
}

// drive performs the steps of a job until it stops.
func (r *Recorder) drive(ctx context.Context, job once.Job, key string) once.Step {
	job.ID = request.ID(uuid.NewString())
	step := r.ask(ctx, control.RecordBegin{Job: job})
	for step.Action != once.Stop {
		report := r.perform(ctx, step, key)
		step = r.ask(ctx, control.RecordReport{Job: job.ID, Report: report})
	}
	return step
}

// ask repeats a question that the control thread had no room for. A job
// without a decision stops, and its claim counts as possibly made.
func (r *Recorder) ask(ctx context.Context, question control.Question) once.Step {
	var refused *code.Error
	for range maxAsks {
		decision, err := r.options.Control.Ask(ctx, question)
		if step, ok := decision.(control.RecordStep); ok {
			return step.Step
		}
		refused = err
		if ctx.Err() != nil || !worker.Sleep(ctx, askWait) {
			break
		}
	}
	withdraw := code.Wrap(code.ClaimUnavailable, "the control thread gave no decision on the record", refused)
	return once.Step{Action: once.Stop, Refusal: withdraw, Withdraw: true}
}

// perform carries out one read or write.
func (r *Recorder) perform(ctx context.Context, step once.Step, key string) once.StepResult {
	if step.Delay > 0 && !worker.Sleep(ctx, step.Delay) {
		return once.StepResult{Outcome: once.Unreachable}
	}
	ctx, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	if step.Action == once.Write {
		return r.write(ctx, step, key)
	}
	return r.read(ctx, key)
}

func (r *Recorder) read(ctx context.Context, key string) once.StepResult {
	entry, err := r.options.Service.Get(ctx, key)
	if err != nil && err.Code == code.KeyMissing {
		return once.StepResult{Outcome: once.Absent}
	}
	if err != nil {
		return once.StepResult{Outcome: once.Unreachable}
	}
	return once.StepResult{Outcome: once.Found, Record: decode(entry.Value), Revision: uint64(entry.Revision)}
}

func (r *Recorder) write(ctx context.Context, step once.Step, key string) once.StepResult {
	value, encodeErr := encode(step.Record)
	if encodeErr != nil {
		return once.StepResult{Outcome: once.Unreachable}
	}
	_, err := r.options.Service.Put(ctx, kv.Write{Key: key, Value: value, Expected: kv.Revision(step.ExpectedRevision)})
	if err == nil {
		return once.StepResult{Outcome: once.Written}
	}
	if err.Code == code.CompareFailed {
		return once.StepResult{Outcome: once.Conflict}
	}
	return once.StepResult{Outcome: once.Unreachable}
}
