// Command standin serves stand-ins of the platform's services on loopback
// addresses until it is interrupted.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// exitFailure is the exit code for invalid arguments and failed commands.
const exitFailure = 1

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

// run parses the arguments and serves the chosen stand-in.
func run(ctx context.Context, arguments []string) error {
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands(ctx) {
		if _, err := parser.AddCommand(c.name, c.help, c.help, c.commander); err != nil {
			return err
		}
	}
	_, err := parser.ParseArgs(arguments)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Println(flagsErr.Message)
		return nil
	}
	return err
}

// command is one subcommand.
type command struct {
	name      string
	help      string
	commander flags.Commander
}

func commands(ctx context.Context) []command {
	return []command{
		{"kv", "Serve the key-value service", &kvCommand{base: base{ctx: ctx}}},
		{"vmlist", "Serve the VM list from a JSON file", &vmlistCommand{base: base{ctx: ctx}}},
		{"weights", "Serve the weight store", &weightsCommand{base: base{ctx: ctx}}},
		{"engine", "Serve a model engine", &engineCommand{base: base{ctx: ctx}}},
		{"store", "Serve a store VM", &storeCommand{base: base{ctx: ctx}}},
		{"service", "Serve a plain service", &serviceCommand{base: base{ctx: ctx}}},
		{"site", "Serve all stand-ins of a site", &siteCommand{ctx: ctx}},
	}
}
