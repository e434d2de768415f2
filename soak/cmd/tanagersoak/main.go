// Command tanagersoak runs the soak with one or more seeds and prints the
// violated guarantees. It exits with 1 when a seed failed.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"tanagerspread/soak"
)

type arguments struct {
	Binary  string `long:"binary" required:"true" value-name:"FILE" description:"the program tanagerspread"`
	Seed    uint64 `long:"seed" description:"the first seed; by default one of the time of day"`
	Seeds   int    `long:"seeds" default:"1" description:"number of seeds"`
	Faults  int    `long:"faults" default:"20" description:"faults of each seed"`
	Clients int    `long:"untrusted" value-name:"N" description:"number of clients that do not keep to the protocol"`
	Logs    string `long:"logs" value-name:"DIR" description:"keep the logs of the nodes there"`
}

func main() {
	os.Exit(run())
}

func run() int {
	var args arguments
	if _, err := flags.Parse(&args); err != nil {
		return 2
	}
	if args.Seed == 0 {
		args.Seed = uint64(time.Now().UnixNano())
	}
	code := 0
	for seed := args.Seed; seed < args.Seed+uint64(args.Seeds); seed++ {
		if !runSeed(args, seed) {
			code = 1
		}
	}
	return code
}

// runSeed runs one seed, prints its result and reports whether it passed. It
// removes the logs of a seed that passed unless a directory for them is set.
func runSeed(args arguments, seed uint64) bool {
	dir, err := os.MkdirTemp(args.Logs, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	report, err := soak.Run(context.Background(), soak.Options{Binary: args.Binary, Dir: dir, Seed: seed, Faults: args.Faults, Untrusted: args.Clients})
	fmt.Printf("seed %d: %d calls, %d answered, %d broken; %s\n", seed, report.Calls, report.Answered, len(report.Violations), strings.Join(report.Footprints, "; "))
	if err == nil && len(report.Violations) == 0 {
		if args.Logs == "" {
			_ = os.RemoveAll(dir)
		}
		return true
	}
	if err != nil {
		fmt.Println("  failed:", err)
	}
	for _, violation := range report.Violations {
		fmt.Println("  broken:", violation)
	}
	for _, fault := range report.Injected {
		fmt.Println("  fault:", fault)
	}
	logs, _ := filepath.Abs(dir)
	fmt.Println("  logs:", logs)
	return false
}
