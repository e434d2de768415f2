// Command tanagersoak runs seeds of the soak and prints what was broken.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"tanagerspread/soak"
)

type arguments struct {
	Binary string `long:"binary" required:"true" value-name:"FILE" description:"the program tanagerspread"`
	Seed   uint64 `long:"seed" description:"the first seed; by default one of the time of day"`
	Seeds  int    `long:"seeds" default:"1" description:"number of seeds"`
	Faults int    `long:"faults" default:"20" description:"faults of each seed"`
	Logs   string `long:"logs" value-name:"DIR" description:"keep the logs of the nodes there"`
}

func main() {
	os.Exit(run())
}

func run() int {
	var given arguments
	if _, err := flags.Parse(&given); err != nil {
		return 2
	}
	if given.Seed == 0 {
		given.Seed = uint64(time.Now().UnixNano())
	}
	code := 0
	for seed := given.Seed; seed < given.Seed+uint64(given.Seeds); seed++ {
		if !runSeed(given, seed) {
			code = 1
		}
	}
	return code
}

func runSeed(given arguments, seed uint64) bool {
	dir, err := os.MkdirTemp(given.Logs, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	report, err := soak.Run(context.Background(), soak.Options{Binary: given.Binary, Dir: dir, Seed: seed, Faults: given.Faults})
	fmt.Printf("seed %d: %d calls, %d answered, %d broken\n", seed, report.Calls, report.Answered, len(report.Broken))
	if err == nil && len(report.Broken) == 0 {
		if given.Logs == "" {
			_ = os.RemoveAll(dir)
		}
		return true
	}
	if err != nil {
		fmt.Println("  failed:", err)
	}
	for _, broken := range report.Broken {
		fmt.Println("  broken:", broken)
	}
	for _, injected := range report.Injected {
		fmt.Println("  fault:", injected)
	}
	logs, _ := filepath.Abs(dir)
	fmt.Println("  logs:", logs)
	return false
}
