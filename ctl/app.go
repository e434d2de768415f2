package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"tanagerspread/client/kv"
	"tanagerspread/client/vmlist"
)

// Exit codes of tanagerctl.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that an operation on a file, node or service failed.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitFaults means that the rules file or the configuration has faults.
	ExitFaults = 3
	// ExitNotAccepted means that the rules are committed but not confirmed to
	// be in force on every node.
	ExitNotAccepted = 4
	// ExitConflict means that another configuration was applied first.
	ExitConflict = 5
)

// Clients holds the constructors of the clients of the platform services.
type Clients struct {
	// VMList returns a client of the VM list at an IP address and port. It is
	// nil when the build has no such client.
	VMList func(address string) vmlist.Lister
	// KeyValue returns a client of the key-value service at an IP address and
	// port. It is nil when the build has no such client.
	KeyValue func(address string) kv.Service
}

// options are the options that all commands share.
type options struct {
	Output string   `long:"output" choice:"text" choice:"json" default:"text" description:"form of the output"`
	Nodes  []string `long:"nodes" value-name:"IP:PORT" description:"admin address of a node; may be repeated"`
	VMList string   `long:"vm-list" value-name:"IP:PORT" description:"address of the VM list, which names the nodes"`
	CA     string   `long:"ca" value-name:"FILE" description:"certificate authority of the nodes; turns on TLS"`
	Cert   string   `long:"cert" value-name:"FILE" description:"certificate of the operator"`
	Key    string   `long:"key" value-name:"FILE" description:"private key of the operator"`
}

// app is one invocation of tanagerctl.
type app struct {
	options options
	clients Clients
	out     io.Writer
	errOut  io.Writer
}

// errFaults is returned by a command that has already printed the faults of a
// rules file.
var errFaults = errors.New("faults found")

// usageError is an error in the command line.
type usageError struct {
	reason string
}

// Error returns the reason.
func (e *usageError) Error() string { return e.reason }

// Run executes one command line and returns the exit code.
func Run(args []string, out, errOut io.Writer, clients Clients) int {
	a := &app{clients: clients, out: out, errOut: errOut}
	parser := flags.NewNamedParser("tanagerctl", flags.HelpFlag|flags.PassDoubleDash)
	if err := a.register(parser); err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitFailed
	}
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	var usageErr *usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errFaults):
		return ExitFaults
	case errors.Is(err, errNotAccepted):
		return ExitNotAccepted
	case errors.Is(err, errConflict):
		_, _ = fmt.Fprintln(errOut, err)
		return ExitConflict
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, err)
		return ExitOK
	case errors.As(err, &flagsErr), errors.As(err, &usageErr):
		_, _ = fmt.Fprintln(errOut, "usage:", err)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(errOut, err)
	return ExitFailed
}

// register adds the shared options and all commands. Each group of commands is
// registered in the file that implements it.
func (a *app) register(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Options", "", &a.options); err != nil {
		return err
	}
	return errors.Join(
		a.registerRules(parser),
		a.registerConfig(parser),
		a.registerNodes(parser),
		a.registerReference(parser),
		a.registerSandbox(parser),
	)
}

// simpleCommand is a command that has only the shared options.
type simpleCommand struct {
	run func(args []string) error
}

// Execute runs the command.
func (c *simpleCommand) Execute(args []string) error { return c.run(args) }

// commandParent is a parser or a command that takes subcommands.
type commandParent interface {
	AddCommand(name, short, long string, data any) (*flags.Command, error)
}

// addCommand registers a command that takes exactly the listed arguments and
// returns a usageError for any other number of them.
func addCommand(to commandParent, name, short string, arguments []string, run func(args []string) error) error {
	checked := func(args []string) error {
		if len(args) != len(arguments) {
			return &usageError{reason: fmt.Sprintf("%s takes %d arguments: %v", name, len(arguments), arguments)}
		}
		return run(args)
	}
	_, err := to.AddCommand(name, short, short, &simpleCommand{run: checked})
	return err
}

// print writes value as indented JSON when the output format is json, and text
// otherwise.
func (a *app) print(value any, text string) error {
	if a.options.Output == "json" {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	_, err := io.WriteString(a.out, text)
	return err
}
