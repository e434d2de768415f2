package ctl

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"

	"tanagerspread/core/code"
	"tanagerspread/core/configcheck"
	"tanagerspread/platform"
)

// configCheckCommand implements config check.
type configCheckCommand struct {
	Against string `long:"against" value-name:"FILE" description:"configuration in force, to list what differs"`
	app     *app
}

// registerConfig adds the config group and its command.
func (a *app) registerConfig(parser *flags.Parser) error {
	const groupText = "check the configuration of the users' machines"
	group, err := parser.AddCommand("config", groupText, groupText, &struct{}{})
	if err != nil {
		return err
	}
	const text = "list errors, entries without effect, contradicting limits and differences"
	_, err = group.AddCommand("check", text, text, &configCheckCommand{app: a})
	return err
}

// Execute prints the findings of a configuration. It returns errFaults when one of them
// is an error.
func (c *configCheckCommand) Execute(args []string) error {
	if len(args) != 1 {
		return &usageError{reason: "check takes 1 argument: FILE"}
	}
	text, err := readRules(args[0])
	if err != nil {
		return err
	}
	var inForce []byte
	if c.Against != "" {
		against, err := readRules(c.Against)
		if err != nil {
			return err
		}
		inForce = []byte(against)
	}
	findings, codeErr := platform.CheckConfig([]byte(text), inForce)
	if codeErr != nil {
		return codeErr
	}
	var b strings.Builder
	var faults error
	for _, f := range findings {
		path := f.Path
		if path == "" {
			path = "document"
		}
		fmt.Fprintf(&b, "%-7s %s: %d %s: %s\n", f.Severity, path, f.Code, code.Lookup(f.Code).Name, f.Reason)
		if f.Severity == configcheck.Error {
			faults = errFaults
		}
	}
	if len(findings) == 0 {
		return c.app.print([]platform.ConfigFinding{}, "no findings\n")
	}
	return errors.Join(c.app.print(findings, b.String()), faults)
}
