// Package rules parses, checks, formats and compares the operators' rules file:
// an INI file with one rule per line, each with a trailing comment that says who
// asked for it.
package rules

import (
	"cmp"
	"slices"
	"strings"

	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/request"
	"tanagerspread/node/inifile"
)

// MaxBytes is the maximum size of a rules file. It equals the maximum size of a
// value in the key-value service.
const MaxBytes = 1 << 20

// maxCommentBytes is the maximum size of the comment of one rule.
const maxCommentBytes = 256

// Parse returns the rules of a text, or all its faults ordered by line.
func Parse(text string) (*config.Rules, []inifile.Fault) {
	if len(text) > MaxBytes {
		return nil, []inifile.Fault{{Code: code.ConfigTooLarge, Reason: "the rules are larger than 1 MiB"}}
	}
	entries, faults := inifile.Parse(text, inifile.Codes{Malformed: code.RuleMalformed, Repeated: code.RuleConflict})
	rules := newRules()
	for _, e := range entries {
		faults = append(faults, addRule(rules, e)...)
	}
	faults = append(faults, checkReferences(rules, entries)...)
	slices.SortStableFunc(faults, func(a, b inifile.Fault) int { return cmp.Compare(a.Line, b.Line) })
	if len(faults) > 0 {
		return nil, faults
	}
	return rules, nil
}

// Load returns the rules of a text, or its first fault as an error with the
// fault's code.
func Load(text []byte) (*config.Rules, *code.Error) {
	rules, faults := Parse(string(text))
	if len(faults) > 0 {
		return nil, code.New(faults[0].Code, faults[0].Error())
	}
	return rules, nil
}

func newRules() *config.Rules {
	return &config.Rules{
		Organisations: map[request.Organisation]config.Organisation{},
		Tokens:        map[request.Digest]config.Token{},
		Classes:       map[request.Class]config.Class{},
		Models:        map[string]config.Model{},
		Services:      map[string]config.Service{},
		Servers:       map[string]config.ServerRule{},
		Comments:      map[string]string{},
	}
}

// addRule parses one rule into rules and returns its faults.
func addRule(rules *config.Rules, e inifile.Entry) []inifile.Fault {
	newFault := func(c code.Code, reason string) inifile.Fault {
		return inifile.Fault{Line: e.Line, Section: e.Section, Key: e.Key, Code: c, Reason: reason}
	}
	var faults []inifile.Fault
	if e.Comment == "" {
		faults = append(faults, newFault(code.RuleUnattributed, "the rule has no trailing comment that says who asked for it"))
	}
	if len(e.Comment) > maxCommentBytes {
		faults = append(faults, newFault(code.RuleMalformed, "the comment is longer than 256 bytes"))
	}
	section := findSection(e.Section)
	if section == nil {
		return append(faults, newFault(code.RuleMalformed, "the section is unknown"))
	}
	for _, err := range section.add(rules, e.Key, e.Value) {
		faults = append(faults, newFault(code.RuleMalformed, err.Error()))
	}
	rules.Comments[config.RuleName(e.Section, e.Key)] = e.Comment
	return faults
}

// Format returns rules as a text that Parse reads. Sections and keys have a fixed
// order, so equal rules have equal texts.
func Format(rules *config.Rules) string {
	var b strings.Builder
	for _, section := range sections {
		lines := section.lines(rules)
		if len(lines) == 0 {
			continue
		}
		if b.Len() > 0 {
			b.WriteString("\n")
		}
		b.WriteString("[" + section.name + "]\n")
		for _, line := range lines {
			comment := rules.Comments[config.RuleName(section.name, line.key)]
			b.WriteString(strings.TrimSpace(line.key+" = "+line.value) + " ; " + comment + "\n")
		}
	}
	return b.String()
}
