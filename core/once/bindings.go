package once

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
)

// The delay before a repeated read doubles from firstReadDelay to maxReadDelay.
const (
	firstReadDelay = 50 * time.Millisecond
	maxReadDelay   = 2 * time.Second
)

// tagWithdraws marks final states in which the claim may have been written and
// must be released.
const tagWithdraws chart.Tag = "withdraws"

func bindings() chart.Bindings[*trackedJob] {
	return chart.Bindings[*trackedJob]{Guards: guards(), Actions: actions(), Tags: []chart.Tag{tagWithdraws}}
}

func guards() map[string]func(*trackedJob, time.Time) bool {
	return map[string]func(*trackedJob, time.Time) bool{
		"may_try":   mayTry,
		"own_claim": func(j *trackedJob, _ time.Time) bool { return j.ownRecordIs(Claimed) },
		"own_finished": func(j *trackedJob, _ time.Time) bool {
			return j.ownRecordIs(Finished)
		},
		"own_released": func(j *trackedJob, _ time.Time) bool { return j.ownRecordIs(Released) },
		"own_claim_or_released": func(j *trackedJob, _ time.Time) bool {
			return j.ownRecordIs(Claimed) || j.lastResult.Record.Status == Released
		},
		"released": func(j *trackedJob, _ time.Time) bool { return j.lastResult.Record.Status == Released },
		"released_and_may_try": func(j *trackedJob, now time.Time) bool {
			return j.lastResult.Record.Status == Released && mayTry(j, now)
		},
		"other_body": func(j *trackedJob, _ time.Time) bool {
			stored := j.lastResult.Record.BodyDigest
			return stored != "" && stored != j.job.OwnRecord.BodyDigest
		},
		"response_kept": func(j *trackedJob, _ time.Time) bool {
			return j.lastResult.Record.Status == Finished && j.lastResult.Record.Response.Kept
		},
		"finished": func(j *trackedJob, _ time.Time) bool { return j.lastResult.Record.Status == Finished },
		"before_deadline": func(j *trackedJob, now time.Time) bool {
			return now.Before(j.lastResult.Record.Deadline.Add(clockMargin))
		},
	}
}

func actions() map[string]func(*trackedJob, time.Time) {
	return map[string]func(*trackedJob, time.Time){
		"read":               func(j *trackedJob, _ time.Time) { j.step = Step{Action: Read} },
		"read_later":         readLater,
		"write_claim":        func(j *trackedJob, _ time.Time) { j.setWriteStep(Claimed) },
		"write_response":     func(j *trackedJob, _ time.Time) { j.setWriteStep(Finished) },
		"write_release":      func(j *trackedJob, _ time.Time) { j.setWriteStep(Released) },
		"replay":             replay,
		"refuse_away":        func(j *trackedJob, _ time.Time) { j.step.Refusal = unavailableError() },
		"refuse_reused":      refuse(code.KeyReused, "the idempotency key was used with another body"),
		"refuse_not_kept":    refuse(code.AnswerNotKept, "the request ran and its response was too large to keep"),
		"refuse_in_progress": refuse(code.InProgress, "a request with this idempotency key is in progress"),
		"refuse_unknown":     refuse(code.OutcomeUnknown, "the request with this idempotency key may have run"),
		"refuse_lost":        refuse(code.OutcomeUnknown, "the record belongs to another claim"),
	}
}

// mayTry reports whether the job may still repeat a read or write.
func mayTry(j *trackedJob, now time.Time) bool {
	return now.Before(j.job.GiveUpAt)
}

// ownRecordIs reports whether the record that was read belongs to the job's claim
// and has the status.
func (j *trackedJob) ownRecordIs(status Status) bool {
	return j.lastResult.Record.Claim == j.job.OwnRecord.Claim && j.lastResult.Record.Status == status
}

// setWriteStep sets the next step to a compare-and-swap on the revision of the
// last read.
func (j *trackedJob) setWriteStep(status Status) {
	record := j.job.OwnRecord
	record.Status = status
	j.step = Step{Action: Write, Record: record, ExpectedRevision: j.lastResult.Revision}
}

func readLater(j *trackedJob, _ time.Time) {
	delay := min(firstReadDelay<<min(j.repeatedReads, 10), maxReadDelay)
	j.repeatedReads++
	j.step = Step{Action: Read, Delay: delay}
}

func replay(j *trackedJob, _ time.Time) {
	record := j.lastResult.Record
	j.step.Replay = &record
}

func refuse(c code.Code, detail string) func(*trackedJob, time.Time) {
	return func(j *trackedJob, _ time.Time) { j.step.Refusal = code.New(c, detail) }
}
