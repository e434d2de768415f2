package control

import (
	"time"

	"tanagerspread/core/request"
)

// journalLength is the number of decisions that a node remembers.
const journalLength = 256

// Record is one remembered decision with its inputs.
type Record struct {
	At           time.Time
	Request      request.ID
	Organisation request.Organisation
	Class        request.Class
	Route        string
	Action       string
	Detail       string
	Attempts     int
	PromptTokens int
}

// journal remembers the last decisions in a ring.
type journal struct {
	records [journalLength]Record
	next    int
	count   int
}

func (j *journal) add(now time.Time, a *active, action, detail string) {
	j.records[j.next] = Record{
		At:           now,
		Request:      a.ID,
		Organisation: a.organisation,
		Class:        a.class,
		Route:        a.Route.Name,
		Action:       action,
		Detail:       detail,
		Attempts:     int(a.attempts),
		PromptTokens: a.PromptTokens,
	}
	j.next = (j.next + 1) % journalLength
	j.count = min(j.count+1, journalLength)
}

// list returns the remembered decisions, oldest first.
func (j *journal) list() []Record {
	out := make([]Record, 0, j.count)
	first := (j.next - j.count + journalLength) % journalLength
	for i := range j.count {
		out = append(out, j.records[(first+i)%journalLength])
	}
	return out
}
