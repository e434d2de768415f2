package control

import (
	"tanagerspread/core/once"
	"tanagerspread/core/request"
)

// RecordBegin starts a job on an at-most-once record. It is answered by
// RecordStep.
type RecordBegin struct {
	Job once.Job
}

// RecordReport reports the result of the last step of a job. It is answered by
// RecordStep.
type RecordReport struct {
	Job    request.ID
	Result once.StepResult
}

// RecordStep is the next step of a job on an at-most-once record.
type RecordStep struct {
	Step once.Step
}

// Subject returns the identifier of the job.
func (m RecordBegin) Subject() request.ID { return m.Job.ID }

// Subject returns the identifier of the job.
func (m RecordReport) Subject() request.ID { return m.Job }

func (RecordBegin) message()  {}
func (RecordReport) message() {}
func (RecordStep) decision()  {}
