// Package inifile parses INI text line by line with ini.v1. In this way it
// reports line numbers and repeated keys, which the library discards.
package inifile

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"

	"tanagerspread/core/code"
)

// Entry is one key with its value.
type Entry struct {
	Line    int
	Section string
	Key     string
	Value   string
	// Comment is the trailing comment of the line without its comment marker.
	Comment string
}

// Fault is one error in the text. Line is 0 if the fault does not belong to a
// line.
type Fault struct {
	Line    int       `json:"line,omitempty"`
	Section string    `json:"section,omitempty"`
	Key     string    `json:"key,omitempty"`
	Code    code.Code `json:"code"`
	Reason  string    `json:"reason"`
}

// Error formats the position, the code and the reason of the fault.
func (f Fault) Error() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	fmt.Fprintf(&b, "%d %s: %s", f.Code, code.Lookup(f.Code).Name, f.Reason)
	return b.String()
}

// Codes holds the codes of the faults that Parse reports.
type Codes struct {
	// Malformed is the code of a line that cannot be parsed.
	Malformed code.Code
	// Repeated is the code of a key that occurs more than once in a section.
	Repeated code.Code
}

// lineOptions makes ini.v1 parse a single line without continuation lines.
var lineOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

// Parse returns the entries of the text in order, and faults for lines that
// cannot be parsed and for repeated keys. Only the first occurrence of a key is
// in the entries.
func Parse(text string, codes Codes) ([]Entry, []Fault) {
	p := parser{codes: codes, firstLines: map[[2]string]int{}}
	for i, line := range strings.Split(text, "\n") {
		p.parseLine(i+1, strings.TrimSpace(line))
	}
	return p.entries, p.faults
}

type parser struct {
	codes   Codes
	section string
	// firstLines holds the line of the first occurrence of each section and key.
	firstLines map[[2]string]int
	entries    []Entry
	faults     []Fault
}

func (p *parser) parseLine(number int, line string) {
	if line == "" || line[0] == ';' || line[0] == '#' {
		return
	}
	file, err := ini.LoadSources(lineOptions, []byte(line))
	if err != nil {
		p.addFault(Fault{Line: number, Section: p.section, Code: p.codes.Malformed, Reason: "the line is neither a section nor a key with a value"})
		return
	}
	if names := file.SectionStrings(); line[0] == '[' {
		p.section = names[len(names)-1]
		return
	}
	for _, key := range file.Section("").Keys() {
		p.addEntry(Entry{Line: number, Section: p.section, Key: key.Name(), Value: key.Value(), Comment: commentText(key.Comment)})
	}
}

func (p *parser) addEntry(e Entry) {
	if e.Section == "" {
		p.addFault(Fault{Line: e.Line, Key: e.Key, Code: p.codes.Malformed, Reason: "the key stands before the first section"})
		return
	}
	key := [2]string{e.Section, e.Key}
	if first, repeated := p.firstLines[key]; repeated {
		p.addFault(Fault{Line: e.Line, Section: e.Section, Key: e.Key, Code: p.codes.Repeated, Reason: fmt.Sprintf("the key is already given in line %d", first)})
		return
	}
	p.firstLines[key] = e.Line
	p.entries = append(p.entries, e)
}

func (p *parser) addFault(f Fault) {
	p.faults = append(p.faults, f)
}

func commentText(comment string) string {
	return strings.TrimSpace(strings.TrimLeft(comment, ";# "))
}
