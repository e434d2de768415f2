package once

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
)

// The delay before a repeated read doubles from firstDelay to maxDelay.
const (
	firstDelay = 50 * time.Millisecond
	maxDelay   = 2 * time.Second
)

// tagWithdraws marks the end of a claim that may have been written and must
// not stay.
const tagWithdraws chart.Tag = "withdraws"

func bindings() chart.Bindings[*entry] {
	return chart.Bindings[*entry]{Guards: guards(), Actions: actions(), Tags: []chart.Tag{tagWithdraws}}
}

func guards() map[string]func(*entry, time.Time) bool {
	return map[string]func(*entry, time.Time) bool{
		"may_try":   mayTry,
		"own_claim": func(e *entry, _ time.Time) bool { return e.own(Claimed) },
		"own_finished": func(e *entry, _ time.Time) bool {
			return e.own(Finished)
		},
		"own_released": func(e *entry, _ time.Time) bool { return e.own(Released) },
		"own_claim_or_released": func(e *entry, _ time.Time) bool {
			return e.own(Claimed) || e.report.Record.Status == Released
		},
		"released": func(e *entry, _ time.Time) bool { return e.report.Record.Status == Released },
		"released_and_may_try": func(e *entry, now time.Time) bool {
			return e.report.Record.Status == Released && mayTry(e, now)
		},
		"other_body": func(e *entry, _ time.Time) bool {
			stored := e.report.Record.BodyDigest
			return stored != "" && stored != e.job.Own.BodyDigest
		},
		"response_kept": func(e *entry, _ time.Time) bool {
			return e.report.Record.Status == Finished && e.report.Record.Response.Kept
		},
		"finished": func(e *entry, _ time.Time) bool { return e.report.Record.Status == Finished },
		"before_deadline": func(e *entry, now time.Time) bool {
			return now.Before(e.report.Record.Deadline.Add(clockMargin))
		},
	}
}

func actions() map[string]func(*entry, time.Time) {
	return map[string]func(*entry, time.Time){
		"read":               func(e *entry, _ time.Time) { e.step = Step{Action: Read} },
		"read_later":         readLater,
		"write_claim":        func(e *entry, _ time.Time) { e.write(Claimed) },
		"write_response":     func(e *entry, _ time.Time) { e.write(Finished) },
		"write_release":      func(e *entry, _ time.Time) { e.write(Released) },
		"replay":             replay,
		"refuse_away":        func(e *entry, _ time.Time) { e.step.Refused = unavailable() },
		"refuse_reused":      refuse(code.KeyReused, "the idempotency key was used with another body"),
		"refuse_not_kept":    refuse(code.AnswerNotKept, "the request ran and its response was too large to keep"),
		"refuse_in_progress": refuse(code.InProgress, "a request with this idempotency key is in progress"),
		"refuse_unknown":     refuse(code.OutcomeUnknown, "the request with this idempotency key may have run"),
		"refuse_lost":        refuse(code.OutcomeUnknown, "the record belongs to another claim"),
	}
}

func mayTry(e *entry, now time.Time) bool {
	return now.Before(e.job.Until)
}

func (e *entry) own(status Status) bool {
	return e.report.Record.Claim == e.job.Own.Claim && e.report.Record.Status == status
}

// write sets the next step to a compare-and-swap on the revision of the last
// read.
func (e *entry) write(status Status) {
	record := e.job.Own
	record.Status = status
	e.step = Step{Action: Write, Record: record, Expected: e.report.Revision}
}

func readLater(e *entry, _ time.Time) {
	delay := min(firstDelay<<min(e.reads, 10), maxDelay)
	e.reads++
	e.step = Step{Action: Read, Delay: delay}
}

func replay(e *entry, _ time.Time) {
	record := e.report.Record
	e.step.Replay = &record
}

func refuse(c code.Code, detail string) func(*entry, time.Time) {
	return func(e *entry, _ time.Time) { e.step.Refused = code.New(c, detail) }
}
