package once

import (
	"fmt"
	"io/fs"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/request"
)

// ChartName is the name of the chart of an operation on a record.
const ChartName = "record"

// Tracker holds the jobs in progress. Only the control thread may use it.
type Tracker struct {
	machine *chart.Machine[*trackedJob]
	jobs    map[request.ID]*trackedJob
}

// trackedJob is one job with its chart instance.
type trackedJob struct {
	job           Job
	chart         chart.Instance
	lastResult    StepResult
	repeatedReads int
	step          Step
}

// NewTracker returns a tracker without jobs. It returns an error when the chart
// cannot be loaded or does not match the bindings.
func NewTracker(files fs.FS) (*Tracker, error) {
	def, err := chart.Load(files, ChartName)
	if err != nil {
		return nil, err
	}
	machine, err := chart.NewMachine(def, bindings())
	if err != nil {
		return nil, fmt.Errorf("bind: %w", err)
	}
	return &Tracker{machine: machine, jobs: map[request.ID]*trackedJob{}}, nil
}

// Start starts a job and returns its first step.
func (t *Tracker) Start(now time.Time, job Job) Step {
	j := &trackedJob{job: job, chart: t.machine.Start(now)}
	t.jobs[job.ID] = j
	return t.fire(now, j, chart.Event(job.Operation))
}

// Advance applies the result of a job's last step and returns the next step. A
// job that is no longer tracked is stopped and its claim is withdrawn.
func (t *Tracker) Advance(now time.Time, id request.ID, result StepResult) Step {
	j, ok := t.jobs[id]
	if !ok {
		return stopAndWithdraw()
	}
	j.lastResult = result
	return t.fire(now, j, chart.Event(result.Outcome))
}

// Expire fires the timeouts that have passed and removes the jobs that are in a
// final state. This finishes jobs whose traffic goroutine no longer reports.
func (t *Tracker) Expire(now time.Time) {
	for id, j := range t.jobs {
		_, _ = t.machine.Expire(&j.chart, j, now)
		if t.machine.IsFinal(&j.chart) {
			delete(t.jobs, id)
		}
	}
}

// Len returns the number of jobs in progress.
func (t *Tracker) Len() int {
	return len(t.jobs)
}

func (t *Tracker) fire(now time.Time, j *trackedJob, event chart.Event) Step {
	j.step = Step{Action: Stop}
	if err := t.machine.Fire(&j.chart, j, event, now); err != nil {
		delete(t.jobs, j.job.ID)
		return stopAndWithdraw()
	}
	if t.machine.IsFinal(&j.chart) {
		delete(t.jobs, j.job.ID)
		j.step.Withdraw = j.chart.Is(tagWithdraws)
	}
	return j.step
}

func stopAndWithdraw() Step {
	return Step{Action: Stop, Refusal: unavailableError(), Withdraw: true}
}

func unavailableError() *code.Error {
	return code.New(code.ClaimUnavailable, "the key-value service is away")
}
