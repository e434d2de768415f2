package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is the longest time of a case; a longer one counts as not run.
const limit = 110 * time.Second

// Main runs a case and exits with its code. The first argument is the folder of the case,
// the second the repository. Without TROUBLE=0 the case has its disruption.
func Main(run func(site *Site, trouble bool) (int, error)) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE-FOLDER REPOSITORY")
		os.Exit(NotRun)
	}
	os.Exit(start(os.Args[1], os.Args[2], run))
}

func start(folder, root string, run func(site *Site, trouble bool) (int, error)) int {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	record.Printf("trouble: %t", trouble)
	site, err := newSite(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer site.close()
	type outcome struct {
		code int
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		code, err := run(site, trouble)
		done <- outcome{code, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case result := <-done:
		if result.err != nil {
			record.Printf("not run: %v", result.err)
			fmt.Fprintln(os.Stderr, result.err)
			return NotRun
		}
		return result.code
	case <-time.After(limit):
		record.Printf("not run: longer than %v", limit)
	case <-signals:
		record.Printf("not run: ended by a signal")
	}
	return NotRun
}

// Conclude writes the result of a case to the record and to standard output and returns
// its exit code.
func (s *Site) Conclude(broken bool, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	s.Record.Printf("%s", text)
	fmt.Println(text)
	if broken {
		return Broken
	}
	return Held
}
