// Command tanagerspread runs a node on an entry VM.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"

	"tanagerspread/core/event"
	"tanagerspread/node/clock"
	"tanagerspread/node/inifile"
	"tanagerspread/node/process"
	"tanagerspread/node/settings"
	"tanagerspread/platform"
)

// Exit codes of tanagerspread.
const (
	// exitStopped means that the planned stop is complete, or that the command line
	// asked for no node and succeeded.
	exitStopped = 0
	// exitFailed means that the node failed.
	exitFailed = 1
	// exitUsage means that the command line is invalid.
	exitUsage = 2
	// exitFaults means that the settings have faults.
	exitFaults = 3
	// exitInterrupted means that a second SIGINT ended the process before its
	// planned stop was complete.
	exitInterrupted = 4
)

// heapShare is the fraction of the memory limit of the process that is set as the
// memory limit of the Go runtime. The remainder is for stacks and socket buffers.
const heapShare = 0.6

// options are the command-line options.
type options struct {
	Settings      string `long:"settings" value-name:"FILE" description:"run a node with the settings of FILE"`
	CheckSettings string `long:"check-settings" value-name:"FILE" description:"print every fault of FILE and exit"`
	Deployed      bool   `long:"deployed" description:"run a node on the users' machines, or check its settings with --check"`
	DeployedFile  string `long:"deployed-settings" env:"TANAGERSPREAD_CONFIG" value-name:"FILE" description:"settings that the platform writes for the process"`
	Tuning        string `long:"tuning" value-name:"FILE" description:"with --deployed: prices of the ways to serve a call"`
	Check         bool   `long:"check" description:"with --deployed: print every fault of the settings and exit"`
	LogLevel      string `long:"log-level" choice:"error" choice:"info" choice:"debug" default:"info" description:"with --deployed: the least severe log events"`
	Version       bool   `long:"version" description:"print the version and exit"`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	var opts options
	parser := flags.NewNamedParser("tanagerspread", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return fail(errOut, err)
	}
	extraArgs, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, err)
		return exitStopped
	case err != nil || len(extraArgs) > 0:
		_, _ = fmt.Fprintln(errOut, "usage:", err, extraArgs)
		return exitUsage
	case opts.Version:
		_, _ = fmt.Fprintln(out, "tanagerspread", version())
		return exitStopped
	case opts.CheckSettings != "":
		_, faults := settings.Read(opts.CheckSettings)
		return printFaults(out, faults)
	case opts.Settings != "":
		return serve(opts.Settings, out, errOut)
	case opts.Deployed:
		return serveDeployed(opts, out, errOut)
	}
	_, _ = fmt.Fprintln(errOut, "usage: --settings, --deployed, --check-settings or --version is required")
	return exitUsage
}

// serve runs a node until its planned stop is complete or a second SIGINT
// arrives, and returns the exit code.
func serve(path string, out, errOut io.Writer) int {
	nodeSettings, faults := settings.Read(path)
	if len(faults) > 0 {
		return printFaults(errOut, faults)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	err := process.Run(context.Background(), process.Options{
		Settings: nodeSettings,
		Log:      out,
		Signals:  signals,
		Listen:   net.Listen,
	})
	return exitCode(err, errOut)
}

// serveDeployed runs a node on the users' machines until its planned stop is
// complete or a second SIGINT arrives, and returns the exit code. With --check it
// only checks the settings.
func serveDeployed(opts options, out, errOut io.Writer) int {
	nodeSettings, faults := platform.ReadSettings(opts.DeployedFile)
	for _, fault := range faults {
		_, _ = fmt.Fprintln(errOut, fault)
	}
	tuning, tuningFaults := readTuning(opts.Tuning)
	exit := printFaults(errOut, tuningFaults)
	switch {
	case len(faults) > 0 || exit != exitStopped:
		return exitFaults
	case opts.Check:
		return exitStopped
	}
	debug.SetMemoryLimit(int64(float64(nodeSettings.MemoryBytes) * heapShare))
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	return exitCode(process.RunDeployed(context.Background(), process.DeployedOptions{
		Settings:       nodeSettings,
		Tuning:         tuning,
		Log:            out,
		LogLevel:       event.Level(opts.LogLevel),
		Signals:        signals,
		Reloads:        reloads,
		ReloadSettings: func() (*platform.Settings, []platform.Fault) { return platform.ReadSettings(opts.DeployedFile) },
		Suspended:      clock.Now().Suspended,
	}), errOut)
}

// readTuning reads the tuning settings from a file. It returns the defaults when
// path is empty.
func readTuning(path string) (settings.Tuning, []inifile.Fault) {
	if path == "" {
		return settings.DefaultTuning(), nil
	}
	return settings.ReadTuning(path)
}

func exitCode(err error, errOut io.Writer) int {
	switch {
	case err == nil:
		return exitStopped
	case errors.Is(err, process.ErrInterrupted):
		_, _ = fmt.Fprintln(errOut, err)
		return exitInterrupted
	}
	return fail(errOut, err)
}

func printFaults(out io.Writer, faults []inifile.Fault) int {
	for _, fault := range faults {
		_, _ = fmt.Fprintln(out, fault)
	}
	if len(faults) > 0 {
		return exitFaults
	}
	return exitStopped
}

func fail(errOut io.Writer, err error) int {
	_, _ = fmt.Fprintln(errOut, err)
	return exitFailed
}

// version returns the module version from the build information.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
