package ctl

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/node/confkv"
	"tanagerspread/node/rules"
)

// platformWait bounds the calls of one command that reads.
const platformWait = 10 * time.Second

// errNotAccepted ends an apply whose version is committed but not known to be
// in force on every node.
var errNotAccepted = errors.New("committed, not yet accepted")

// errConflict ends an apply that lost to another one.
var errConflict = errors.New("another configuration was applied first")

// serviceOptions are the options of commands on the rules in force.
type serviceOptions struct {
	KeyValue string `long:"key-value" value-name:"IP:PORT" required:"yes" description:"address of the key-value service"`
	app      *app
}

func (o *serviceOptions) service() (kv.Service, error) {
	if o.app.clients.KeyValue == nil {
		return nil, errors.New("this build has no client of the key-value service")
	}
	return o.app.clients.KeyValue(o.KeyValue), nil
}

// applyCommand is rules apply.
type applyCommand struct {
	serviceOptions
	Base    uint64        `long:"base" required:"yes" description:"version that the file was written against; 0 for the first one"`
	Author  string        `long:"author" required:"yes" description:"who applies the rules"`
	ApplyID string        `long:"apply-id" description:"identifier of the apply; give the same one to repeat an apply whose outcome is unknown"`
	Wait    time.Duration `long:"wait" default:"17s" description:"longest wait for acceptance"`
}

// Execute applies a rules file and reports what is true of it.
func (c *applyCommand) Execute(args []string) error {
	if len(args) != 1 {
		return &errUsage{reason: "apply takes 1 argument: FILE"}
	}
	text, err := readRules(args[0])
	if err != nil {
		return err
	}
	if _, faults := rules.Parse(text); len(faults) > 0 {
		return c.app.printFaults(faults)
	}
	service, err := c.service()
	if err != nil {
		return err
	}
	list, err := c.app.vmList()
	if err != nil {
		return err
	}
	if c.ApplyID == "" {
		c.ApplyID = uuid.NewString()
	}
	report, fault := ApplyRules(context.Background(), ApplyOptions{
		Service: service, List: list, Parse: rules.Load, Base: config.Version(c.Base),
		ApplyID: c.ApplyID, Author: c.Author, Text: []byte(text), Wait: c.Wait,
	})
	return c.report(report, fault)
}

func (c *applyCommand) report(report ApplyReport, fault *code.Error) error {
	switch {
	case fault == nil:
		return c.app.print(report, fmt.Sprintf("version %d is accepted (apply id %s)\n", report.Version, report.ApplyID))
	case fault.Code == code.NotAccepted:
		text := fmt.Sprintf("version %d is committed (apply id %s); not acknowledged by: %s\n",
			report.Version, report.ApplyID, strings.Join(report.Missing, ", "))
		return errors.Join(c.app.print(report, text), errNotAccepted)
	case fault.Code == code.VersionConflict:
		report.Conflict = fault.Detail
		return errors.Join(c.app.print(report, ""), errConflict, fault)
	}
	return fmt.Errorf("apply id %s: %w", c.ApplyID, fault)
}

// showCommand is rules show.
type showCommand struct {
	serviceOptions
	Version uint64 `long:"version" description:"version to show; 0 for the current one"`
}

// Execute prints a version of the rules.
func (c *showCommand) Execute([]string) error {
	service, err := c.service()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformWait)
	defer cancel()
	shown, fault := c.read(ctx, service)
	if fault != nil {
		return fault
	}
	text := fmt.Sprintf("; version %d, applied by %s at %s, apply id %s\n%s",
		shown.Version, shown.Author, shown.AppliedAt.Format(time.RFC3339), shown.ApplyID, shown.Text)
	return c.app.print(confkv.NewDocument(shown), text)
}

func (c *showCommand) read(ctx context.Context, service kv.Service) (config.Configuration, *code.Error) {
	if c.Version != 0 {
		return confkv.ReadVersion(ctx, service, config.Version(c.Version))
	}
	current, _, fault := confkv.Read(ctx, service)
	if fault == nil && current.Version == 0 {
		fault = code.New(code.KeyMissing, "no configuration was applied yet")
	}
	return current, fault
}

// historyCommand is rules history.
type historyCommand struct {
	serviceOptions
	Last int `long:"last" default:"10" description:"number of versions to list"`
}

// applied is one line of the history.
type applied struct {
	Version config.Version `json:"version"`
	Author  string         `json:"author"`
	At      time.Time      `json:"at"`
	ApplyID string         `json:"apply_id"`
	// Changes counts the rules that differ from the version before.
	Changes int `json:"changes"`
}

// Execute lists the latest versions, newest first.
func (c *historyCommand) Execute([]string) error {
	service, err := c.service()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformWait)
	defer cancel()
	list, fault := c.list(ctx, service)
	if fault != nil {
		return fault
	}
	var b strings.Builder
	for _, a := range list {
		fmt.Fprintf(&b, "%d\t%s\t%s\t%d rules changed\t%s\n", a.Version, a.At.Format(time.RFC3339), a.Author, a.Changes, a.ApplyID)
	}
	return c.app.print(list, b.String())
}

// list reads versions one by one, because each may have up to 1 MiB.
func (c *historyCommand) list(ctx context.Context, service kv.Service) ([]applied, *code.Error) {
	next, _, fault := confkv.Read(ctx, service)
	var out []applied
	for fault == nil && next.Version > 0 && len(out) < c.Last {
		shown := next
		next, fault = confkv.ReadVersion(ctx, service, shown.Version-1)
		if fault != nil && fault.Code == code.KeyMissing {
			next, fault = config.Configuration{}, nil
		}
		changes := len(rules.Diff(string(next.Text), string(shown.Text)))
		out = append(out, applied{Version: shown.Version, Author: shown.Author, At: shown.AppliedAt, ApplyID: shown.ApplyID, Changes: changes})
	}
	return out, fault
}

// registerForce adds the commands on the rules in force to the rules group.
func (a *app) registerForce(group *flags.Command) error {
	options := serviceOptions{app: a}
	commands := []struct {
		name, short string
		data        any
	}{
		{"apply", "put a rules file into force", &applyCommand{serviceOptions: options}},
		{"show", "print the rules in force or an earlier version", &showCommand{serviceOptions: options}},
		{"history", "list who applied the latest versions", &historyCommand{serviceOptions: options}},
	}
	for _, c := range commands {
		if _, err := group.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			return err
		}
	}
	return nil
}
