package rig

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Verdict is the result of a case: the breaches of the rule that were seen.
type Verdict struct {
	Broken  bool
	Summary string
}

// Main runs a case and exits. play gets the site's record and folders, and whether the
// disruption takes place (TROUBLE=0 leaves it out).
func Main(play func(options Options, trouble bool) (Verdict, error)) {
	record := flag.String("record", "record.txt", "file of the record")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	go endInTime()
	os.Exit(run(*record, *root, play))
}

func run(recordPath, root string, play func(options Options, trouble bool) (Verdict, error)) int {
	record, err := NewRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("trouble: %t", trouble)
	verdict, err := play(Options{Dir: dir, Root: root, Record: record}, trouble)
	if err != nil {
		record.Printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	record.Printf("verdict: broken %t; %s", verdict.Broken, verdict.Summary)
	fmt.Printf("broken: %t; %s\n", verdict.Broken, verdict.Summary)
	if verdict.Broken {
		return exitBroken
	}
	return exitHeld
}

// timeLimit is the longest time that a case may take.
const timeLimit = 118 * time.Second

// processes has the processes that this program started.
var processes struct {
	mu      sync.Mutex
	started []*os.Process
}

// endInTime ends all processes that this program started, and itself, when it is interrupted
// or takes too long.
func endInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	processes.mu.Lock()
	for _, process := range processes.started {
		_ = process.Kill()
	}
	fmt.Fprintln(os.Stderr, "the case was interrupted or took too long")
	os.Exit(exitNotRun)
}
