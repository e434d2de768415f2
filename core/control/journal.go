package control

import (
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/request"
)

// journalLength is the number of decisions that the journal holds.
const journalLength = 256

// JournalEntry is one decision in the journal, with its inputs.
type JournalEntry struct {
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
	// Rule is the name of the rule that the decision followed. AskedBy is the
	// comment of that rule, which states who asked for it. Both are empty when no
	// rule with a comment applies.
	Rule    string
	AskedBy string
}

// journal keeps the last decisions in a ring buffer.
type journal struct {
	entries [journalLength]JournalEntry
	next    int
	count   int
	// rules and version are those of the configuration in force.
	rules   *config.Rules
	version config.Version
}

func (j *journal) recordAction(now time.Time, req *activeRequest, action, detail string) {
	j.write(now, req, JournalEntry{Action: action, Detail: detail})
}

// recordRefusal adds a refusal with its code.
func (j *journal) recordRefusal(now time.Time, req *activeRequest, err *code.Error) {
	j.write(now, req, JournalEntry{Action: "refuse", Detail: err.Detail, Code: err.Code})
}

func (j *journal) write(now time.Time, req *activeRequest, entry JournalEntry) {
	rule, askedBy := j.rule(req, entry)
	j.entries[j.next] = JournalEntry{
		At:           now,
		Request:      req.ID,
		Organisation: req.organisation,
		Class:        req.class,
		Route:        req.Route.Name,
		Action:       entry.Action,
		Detail:       entry.Detail,
		Code:         entry.Code,
		Version:      j.version,
		Rule:         rule,
		AskedBy:      askedBy,
		Attempts:     int(req.attempts),
		PromptTokens: req.PromptTokens,
	}
	j.next = (j.next + 1) % journalLength
	j.count = min(j.count+1, journalLength)
}

// rule returns the name of the rule that a decision followed and its comment,
// which states who asked for it. Both are empty when the rule has no comment.
func (j *journal) rule(req *activeRequest, entry JournalEntry) (name, askedBy string) {
	if j.rules == nil {
		return "", ""
	}
	name = ruleOf(req, entry.Action, entry.Code)
	askedBy, exists := j.rules.Comments[name]
	if !exists {
		return "", ""
	}
	return name, askedBy
}

// list returns the decisions in the journal, oldest first.
func (j *journal) list() []JournalEntry {
	out := make([]JournalEntry, 0, j.count)
	first := (j.next - j.count + journalLength) % journalLength
	for i := range j.count {
		out = append(out, j.entries[(first+i)%journalLength])
	}
	return out
}
