package once

import (
	"fmt"
	"io/fs"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/request"
)

// ChartName is the name of the record's chart.
const ChartName = "record"

// Book holds the jobs in progress. It is used by the control thread only.
type Book struct {
	machine *chart.Machine[*entry]
	entries map[request.ID]*entry
}

// entry is one job with its position in the chart.
type entry struct {
	job      Job
	position chart.Instance
	report   Report
	reads    int
	step     Step
}

// NewBook returns a book without jobs. It returns an error when the chart
// cannot be loaded.
func NewBook(files fs.FS) (*Book, error) {
	def, err := chart.Load(files, ChartName)
	if err != nil {
		return nil, err
	}
	machine, err := chart.NewMachine(def, bindings())
	if err != nil {
		return nil, fmt.Errorf("bind: %w", err)
	}
	return &Book{machine: machine, entries: map[request.ID]*entry{}}, nil
}

// Begin starts a job and returns its first step.
func (b *Book) Begin(now time.Time, job Job) Step {
	e := &entry{job: job, position: b.machine.Start(now)}
	b.entries[job.ID] = e
	return b.fire(now, e, chart.Event(job.Operation))
}

// Report takes the result of a job's last step and returns the next one. A
// job that is not known any more is stopped, and its claim is withdrawn.
func (b *Book) Report(now time.Time, id request.ID, report Report) Step {
	e, known := b.entries[id]
	if !known {
		return forgotten()
	}
	e.report = report
	return b.fire(now, e, chart.Event(report.Outcome))
}

// Expire ends the jobs whose traffic goroutine has stopped reporting.
func (b *Book) Expire(now time.Time) {
	for id, e := range b.entries {
		_, _ = b.machine.Expire(&e.position, e, now)
		if b.machine.IsFinal(&e.position) {
			delete(b.entries, id)
		}
	}
}

// Len returns the number of jobs in progress.
func (b *Book) Len() int {
	return len(b.entries)
}

func (b *Book) fire(now time.Time, e *entry, event chart.Event) Step {
	e.step = Step{Action: Stop}
	if err := b.machine.Fire(&e.position, e, event, now); err != nil {
		delete(b.entries, e.job.ID)
		return forgotten()
	}
	if b.machine.IsFinal(&e.position) {
		delete(b.entries, e.job.ID)
		e.step.Withdraw = e.position.Is(tagWithdraws)
	}
	return e.step
}

func forgotten() Step {
	return Step{Action: Stop, Refused: unavailable(), Withdraw: true}
}

func unavailable() *code.Error {
	return code.New(code.ClaimUnavailable, "the key-value service is away")
}
