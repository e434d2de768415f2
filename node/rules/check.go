package rules

import (
	"encoding/hex"
	"fmt"

	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/request"
	"tanagerspread/node/inifile"
)

// checkReferences returns a fault for each reference of a rule to a name that no
// rule defines, and for each contradiction between rules.
func checkReferences(rules *config.Rules, entries []inifile.Entry) []inifile.Fault {
	var faults []inifile.Fault
	for _, e := range entries {
		for _, reason := range conflicts(rules, e) {
			faults = append(faults, inifile.Fault{Line: e.Line, Section: e.Section, Key: e.Key, Code: code.RuleConflict, Reason: reason})
		}
	}
	return faults
}

// conflicts returns a reason for each undefined name in a rule and for each
// contradiction. A reference that could not be parsed is empty and has its own
// fault.
func conflicts(rules *config.Rules, e inifile.Entry) []string {
	switch e.Section {
	case "tokens":
		return tokenConflicts(rules, e.Key)
	case "models":
		return append(classConflicts(rules, rules.Models[e.Key].Class), nameConflicts(rules, e.Key)...)
	case "services":
		return classConflicts(rules, rules.Services[e.Key].Class)
	case "organisations":
		return organisationConflicts(rules, rules.Organisations[request.Organisation(e.Key)])
	}
	return nil
}

func tokenConflicts(rules *config.Rules, key string) []string {
	var digest request.Digest
	if _, err := hex.Decode(digest[:], []byte(key[:min(len(key), 2*len(digest))])); err != nil {
		return nil
	}
	name := rules.Tokens[digest].Organisation
	if _, defined := rules.Organisations[name]; defined || name == "" {
		return nil
	}
	return []string{fmt.Sprintf("no rule defines the organisation %s", name)}
}

func classConflicts(rules *config.Rules, class request.Class) []string {
	if _, defined := rules.Classes[class]; defined || class == "" {
		return nil
	}
	return []string{fmt.Sprintf("no rule defines the class %s", class)}
}

func nameConflicts(rules *config.Rules, name string) []string {
	if _, isService := rules.Services[name]; !isService {
		return nil
	}
	return []string{"a service has the same name, so an organisation's list of allowed names is ambiguous"}
}

func organisationConflicts(rules *config.Rules, o config.Organisation) []string {
	var reasons []string
	if (o.Rate > 0) != (o.Burst > 0) {
		reasons = append(reasons, "rate and burst need each other")
	}
	if (o.TokenRate > 0) != (o.TokenBurst > 0) {
		reasons = append(reasons, "token-rate and token-burst need each other")
	}
	for _, name := range o.Models {
		_, isModel := rules.Models[name]
		_, isService := rules.Services[name]
		if !isModel && !isService {
			reasons = append(reasons, fmt.Sprintf("no rule defines the model or service %s", name))
		}
	}
	return reasons
}
