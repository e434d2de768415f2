package control

import (
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/config"
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
	// Code is the result code of a refusal, or 0.
	Code code.Code
	// Version is the configuration that was in force.
	Version config.Version
	// Rule names the rule that the decision followed, and AskedBy is its
	// comment; both are empty when no rule applies.
	Rule    string
	AskedBy string
}

// journal remembers the last decisions in a ring.
type journal struct {
	records [journalLength]Record
	next    int
	count   int
	// rules and version are those in force.
	rules   *config.Rules
	version config.Version
}

func (j *journal) recordAction(now time.Time, a *active, action, detail string) {
	j.write(now, a, Record{Action: action, Detail: detail})
}

// recordRefusal remembers a refusal with its code.
func (j *journal) recordRefusal(now time.Time, a *active, err *code.Error) {
	j.write(now, a, Record{Action: "refuse", Detail: err.Detail, Code: err.Code})
}

func (j *journal) write(now time.Time, a *active, r Record) {
	rule, askedBy := j.rule(a, r)
	j.records[j.next] = Record{
		At:           now,
		Request:      a.ID,
		Organisation: a.organisation,
		Class:        a.class,
		Route:        a.Route.Name,
		Action:       r.Action,
		Detail:       r.Detail,
		Code:         r.Code,
		Version:      j.version,
		Rule:         rule,
		AskedBy:      askedBy,
		Attempts:     int(a.attempts),
		PromptTokens: a.PromptTokens,
	}
	j.next = (j.next + 1) % journalLength
	j.count = min(j.count+1, journalLength)
}

// rule returns the rule behind a decision and who asked for it.
func (j *journal) rule(a *active, r Record) (name, askedBy string) {
	if j.rules == nil {
		return "", ""
	}
	name = ruleOf(a, r.Action, r.Code)
	askedBy, exists := j.rules.Comments[name]
	if !exists {
		return "", ""
	}
	return name, askedBy
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
