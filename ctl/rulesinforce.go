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

// platformTimeout limits all reads of one show or history command together.
const platformTimeout = 10 * time.Second

// errNotAccepted is returned by an apply whose version is committed but not
// confirmed to be in force on every node.
var errNotAccepted = errors.New("committed, not yet accepted")

// errConflict is returned by an apply when the current configuration is not its
// base version.
var errConflict = errors.New("another configuration was applied first")

// keyValueOptions are the options of the commands that use the key-value service.
type keyValueOptions struct {
	KeyValue string `long:"key-value" value-name:"IP:PORT" required:"yes" description:"address of the key-value service"`
	app      *app
}

func (o *keyValueOptions) keyValueService() (kv.Service, error) {
	if o.app.clients.KeyValue == nil {
		return nil, errors.New("this build has no client of the key-value service")
	}
	return o.app.clients.KeyValue(o.KeyValue), nil
}

// applyCommand implements rules apply.
type applyCommand struct {
	keyValueOptions
	Base    uint64        `long:"base" required:"yes" description:"version that the file was written against; 0 for the first one"`
	Author  string        `long:"author" required:"yes" description:"who applies the rules"`
	ApplyID string        `long:"apply-id" description:"identifier of the apply; give the same one to repeat an apply whose outcome is unknown"`
	Wait    time.Duration `long:"wait" default:"17s" description:"longest wait for acceptance"`
}

// Execute applies a rules file and prints whether the version is accepted,
// committed or in conflict with another one.
func (c *applyCommand) Execute(args []string) error {
	if len(args) != 1 {
		return &usageError{reason: "apply takes 1 argument: FILE"}
	}
	text, err := readRules(args[0])
	if err != nil {
		return err
	}
	if _, faults := rules.Parse(text); len(faults) > 0 {
		return c.app.printFaults(faults)
	}
	service, err := c.keyValueService()
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
	result, codeErr := ApplyRules(context.Background(), ApplyOptions{
		KeyValue: service, VMList: list, Parse: rules.Load, Base: config.Version(c.Base),
		ApplyID: c.ApplyID, Author: c.Author, Text: []byte(text), Wait: c.Wait,
	})
	return c.printResult(result, codeErr)
}

func (c *applyCommand) printResult(result ApplyResult, codeErr *code.Error) error {
	switch {
	case codeErr == nil:
		return c.app.print(result, fmt.Sprintf("version %d is accepted (apply id %s)\n", result.Version, result.ApplyID))
	case codeErr.Code == code.NotAccepted:
		text := fmt.Sprintf("version %d is committed (apply id %s); not acknowledged by: %s\n",
			result.Version, result.ApplyID, strings.Join(result.Missing, ", "))
		return errors.Join(c.app.print(result, text), errNotAccepted)
	case codeErr.Code == code.VersionConflict:
		result.Conflict = codeErr.Detail
		return errors.Join(c.app.print(result, ""), errConflict, codeErr)
	}
	return fmt.Errorf("apply id %s: %w", c.ApplyID, codeErr)
}

// showCommand implements rules show.
type showCommand struct {
	keyValueOptions
	Version uint64 `long:"version" description:"version to show; 0 for the current one"`
}

// Execute prints a version of the rules.
func (c *showCommand) Execute([]string) error {
	service, err := c.keyValueService()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	configuration, codeErr := c.readVersion(ctx, service)
	if codeErr != nil {
		return codeErr
	}
	text := fmt.Sprintf("; version %d, applied by %s at %s, apply id %s\n%s",
		configuration.Version, configuration.Author, configuration.AppliedAt.Format(time.RFC3339), configuration.ApplyID, configuration.Text)
	return c.app.print(confkv.NewDocument(configuration), text)
}

func (c *showCommand) readVersion(ctx context.Context, service kv.Service) (config.Configuration, *code.Error) {
	if c.Version != 0 {
		return confkv.ReadVersion(ctx, service, config.Version(c.Version))
	}
	current, _, codeErr := confkv.Read(ctx, service)
	if codeErr == nil && current.Version == 0 {
		codeErr = code.New(code.KeyMissing, "no configuration was applied yet")
	}
	return current, codeErr
}

// historyCommand implements rules history.
type historyCommand struct {
	keyValueOptions
	Last int `long:"last" default:"10" description:"number of versions to list"`
}

// historyEntry is one version in the history.
type historyEntry struct {
	Version config.Version `json:"version"`
	Author  string         `json:"author"`
	At      time.Time      `json:"at"`
	ApplyID string         `json:"apply_id"`
	// Changes is the number of rules that differ from the previous version.
	Changes int `json:"changes"`
}

// Execute lists the latest versions, newest first.
func (c *historyCommand) Execute([]string) error {
	service, err := c.keyValueService()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	history, codeErr := c.readHistory(ctx, service)
	if codeErr != nil {
		return codeErr
	}
	var b strings.Builder
	for _, entry := range history {
		fmt.Fprintf(&b, "%d\t%s\t%s\t%d rules changed\t%s\n", entry.Version, entry.At.Format(time.RFC3339), entry.Author, entry.Changes, entry.ApplyID)
	}
	return c.app.print(history, b.String())
}

// readHistory returns the latest versions, newest first. It reads them one by
// one, because each may have up to 1 MiB.
func (c *historyCommand) readHistory(ctx context.Context, service kv.Service) ([]historyEntry, *code.Error) {
	next, _, codeErr := confkv.Read(ctx, service)
	var entries []historyEntry
	for codeErr == nil && next.Version > 0 && len(entries) < c.Last {
		configuration := next
		next, codeErr = confkv.ReadVersion(ctx, service, configuration.Version-1)
		if codeErr != nil && codeErr.Code == code.KeyMissing {
			next, codeErr = config.Configuration{}, nil
		}
		changes := len(rules.Diff(string(next.Text), string(configuration.Text)))
		entries = append(entries, historyEntry{Version: configuration.Version, Author: configuration.Author, At: configuration.AppliedAt, ApplyID: configuration.ApplyID, Changes: changes})
	}
	return entries, codeErr
}

// registerRulesInForce adds the commands that read and write the rules in force
// to the rules group.
func (a *app) registerRulesInForce(group *flags.Command) error {
	options := keyValueOptions{app: a}
	commands := []struct {
		name, short string
		data        any
	}{
		{"apply", "put a rules file into force", &applyCommand{keyValueOptions: options}},
		{"show", "print the rules in force or an earlier version", &showCommand{keyValueOptions: options}},
		{"history", "list who applied the latest versions", &historyCommand{keyValueOptions: options}},
	}
	for _, c := range commands {
		if _, err := group.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			return err
		}
	}
	return nil
}
