package ctl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"tanagerspread/node/inifile"
	"tanagerspread/node/rules"
)

// registerRules adds the rules group and its commands.
func (a *app) registerRules(parser *flags.Parser) error {
	group, err := parser.AddCommand("rules", "check, compare and apply rules", "check, compare and apply rules", &struct{}{})
	if err != nil {
		return err
	}
	return errors.Join(
		addCommand(group, "check", "list every fault of a rules file", []string{"FILE"}, a.rulesCheck),
		a.registerRulesInForce(group),
		addCommand(group, "diff", "compare two rules files rule by rule", []string{"OLD", "NEW"}, a.rulesDiff),
	)
}

func (a *app) rulesCheck(args []string) error {
	text, err := readRules(args[0])
	if err != nil {
		return err
	}
	_, faults := rules.Parse(text)
	if len(faults) == 0 {
		return a.print([]inifile.Fault{}, "no faults\n")
	}
	return a.printFaults(faults)
}

// printFaults prints every fault of a rules file and returns errFaults.
func (a *app) printFaults(faults []inifile.Fault) error {
	var b strings.Builder
	for _, fault := range faults {
		b.WriteString(fault.Error() + "\n")
	}
	return errors.Join(a.print(faults, b.String()), errFaults)
}

func (a *app) rulesDiff(args []string) error {
	before, err := readRules(args[0])
	if err != nil {
		return err
	}
	after, err := readRules(args[1])
	if err != nil {
		return err
	}
	changes := rules.Diff(before, after)
	var b strings.Builder
	for _, c := range changes {
		b.WriteString(changeText(c))
	}
	return a.print(changes, b.String())
}

func changeText(c rules.Change) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s [%s] %s\n", c.Kind, c.Section, c.Key)
	if c.Kind != rules.Added {
		fmt.Fprintf(&b, "  - %s ; %s\n", c.Old, c.OldAskedBy)
	}
	if c.Kind != rules.Removed {
		fmt.Fprintf(&b, "  + %s ; %s\n", c.New, c.NewAskedBy)
	}
	return b.String()
}

// readRules returns the text of a rules file. It reads at most one byte more
// than the limit, so that rules.Parse reports a file that is too large.
func readRules(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, rules.MaxBytes+1))
	return string(data), err
}
