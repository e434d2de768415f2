package rules

import (
	"cmp"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/placement"
	"tanagerspread/core/request"
)

// section is one section of the file. add parses one rule into rules and returns
// its faults; lines returns the lines of the section's rules.
// The variable sections lists the fields in this order, unkeyed.
type section struct {
	name  string
	add   func(rules *config.Rules, key, value string) []error
	lines func(rules *config.Rules) []ruleLine
}

// ruleLine is one formatted rule without its comment.
type ruleLine struct {
	key   string
	value string
}

// sections lists the sections in the order of the text that Format returns.
var sections = []section{
	{"classes", addNamed(classOptions, classes), namedLines(classOptions, classes)},
	{"organisations", addNamed(organisationOptions, organisations), namedLines(organisationOptions, organisations)},
	{"tokens", addToken, tokenLines},
	{"models", addNamed(modelOptions, models), namedLines(modelOptions, models)},
	{"services", addNamed(serviceOptions, services), namedLines(serviceOptions, services)},
	{"servers", addNamed(serverOptions, servers), namedLines(serverOptions, servers)},
	{"policy", addPolicy, policyLines},
}

var classOptions = []option[config.Class]{
	numberOption("priority", true, 0, func(c *config.Class) *int { return &c.Priority }),
	numberOption("queue", true, 0, func(c *config.Class) *int { return &c.QueueLimit }),
	durationOption("first-token", "", func(c *config.Class) *time.Duration { return &c.FirstTokenTarget }),
}

var organisationOptions = []option[config.Organisation]{
	rateOption("rate", func(o *config.Organisation) *float64 { return &o.Rate }),
	numberOption("burst", false, 1, func(o *config.Organisation) *int { return &o.Burst }),
	rateOption("token-rate", func(o *config.Organisation) *float64 { return &o.TokenRate }),
	numberOption("token-burst", false, 1, func(o *config.Organisation) *int { return &o.TokenBurst }),
	namesOption("allow", func(o *config.Organisation) *[]string { return &o.Models }),
}

var tokenOptions = []option[config.Token]{
	nameOption("organisation", true, func(t *config.Token) *string { return (*string)(&t.Organisation) }),
}

var modelOptions = []option[config.Model]{
	numberOption("weights", true, 1, func(m *config.Model) *int { return &m.Weights }),
	nameOption("class", true, func(m *config.Model) *string { return (*string)(&m.Class) }),
	nameOption("adapter", false, func(m *config.Model) *string { return &m.Adapter }),
	nameOption("role", false, func(m *config.Model) *string { return &m.Role }),
}

var serviceOptions = []option[config.Service]{
	nameOption("class", true, func(s *config.Service) *string { return (*string)(&s.Class) }),
	flagOption("non-idempotent", true, func(s *config.Service) *bool { return &s.NonIdempotent }),
	flagOption("echo-optional", false, func(s *config.Service) *bool { return &s.EchoOptional }),
}

var serverOptions = []option[config.ServerRule]{
	flagOption("leaving", true, func(s *config.ServerRule) *bool { return &s.Leaving }),
}

// placementNames are the names of policies that placement.ByName accepts.
var placementNames = []string{placement.NameEstimate, placement.NameRoundRobin, placement.NameLeastLoad, placement.NameSticky}

var policyOptions = []option[config.Policy]{
	choiceOption("placement", placementNames, func(p *config.Policy) *string { return &p.Placement }),
	durationOption("link-price", "/MiB", func(p *config.Policy) *time.Duration { return &p.LinkPrice }),
	numberOption("export-min-blocks", false, 1, func(p *config.Policy) *int { return &p.ExportMinBlocks }),
}

func classes(r *config.Rules) map[request.Class]config.Class { return r.Classes }
func organisations(r *config.Rules) map[request.Organisation]config.Organisation {
	return r.Organisations
}
func models(r *config.Rules) map[string]config.Model       { return r.Models }
func services(r *config.Rules) map[string]config.Service   { return r.Services }
func servers(r *config.Rules) map[string]config.ServerRule { return r.Servers }

func findSection(name string) *section {
	for i := range sections {
		if sections[i].name == name {
			return &sections[i]
		}
	}
	return nil
}

// addNamed returns the add function of a section whose keys are names.
func addNamed[K ~string, T any](table []option[T], field func(*config.Rules) map[K]T) func(*config.Rules, string, string) []error {
	return func(rules *config.Rules, key, value string) []error {
		parsed, faults := parseOptions(table, value)
		if err := checkName(key); err != nil {
			faults = append(faults, err)
		}
		field(rules)[K(key)] = parsed
		return faults
	}
}

// namedLines returns the lines function of a section whose keys are names.
func namedLines[K ~string, T any](table []option[T], field func(*config.Rules) map[K]T) func(*config.Rules) []ruleLine {
	return func(rules *config.Rules) []ruleLine {
		var lines []ruleLine
		for key, value := range field(rules) {
			lines = append(lines, ruleLine{string(key), formatOptions(table, value)})
		}
		return sortLines(lines)
	}
}

// sortLines sorts lines by key in place and returns them.
func sortLines(lines []ruleLine) []ruleLine {
	slices.SortFunc(lines, func(a, b ruleLine) int { return cmp.Compare(a.key, b.key) })
	return lines
}

// addToken parses a token rule into rules. Its key is the SHA-256 digest of the
// bearer token in lower-case hexadecimal digits.
func addToken(rules *config.Rules, key, value string) []error {
	parsed, faults := parseOptions(tokenOptions, value)
	var digest request.Digest
	data, err := hex.DecodeString(key)
	if err != nil || len(data) != len(digest) || hex.EncodeToString(data) != key {
		return append(faults, errors.New("the key is not a SHA-256 digest of 64 hexadecimal digits in lower case"))
	}
	copy(digest[:], data)
	rules.Tokens[digest] = parsed
	return faults
}

func tokenLines(rules *config.Rules) []ruleLine {
	var lines []ruleLine
	for digest, token := range rules.Tokens {
		lines = append(lines, ruleLine{hex.EncodeToString(digest[:]), formatOptions(tokenOptions, token)})
	}
	return sortLines(lines)
}

// addPolicy parses a policy rule into rules. Its key is an option of the policy.
func addPolicy(rules *config.Rules, key, value string) []error {
	for _, o := range policyOptions {
		if o.name != key {
			continue
		}
		if err := o.parse(&rules.Policy, value); err != nil {
			return []error{err}
		}
		return nil
	}
	return []error{fmt.Errorf("policy %q is unknown", key)}
}

func policyLines(rules *config.Rules) []ruleLine {
	var lines []ruleLine
	for _, o := range policyOptions {
		if text := o.format(rules.Policy); text != "" {
			lines = append(lines, ruleLine{o.name, text})
		}
	}
	return sortLines(lines)
}
