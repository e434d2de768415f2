// Command tanagerbench measures nodes in front of a scaled site of stand-ins in
// virtual time.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jessevdk/go-flags"

	"tanagerspread/bench/measure"
	"tanagerspread/bench/report"
	"tanagerspread/bench/workload"
)

// options are the command-line options. There is one run for each combination of
// the values of the lists.
type options struct {
	Sites    []string      `long:"site" description:"site: derwent or ulan" default:"derwent" default:"ulan"`
	Policies []string      `long:"policy" description:"placement policy" default:"estimate" default:"round-robin" default:"least-load" default:"sticky"`
	Faults   []string      `long:"fault" description:"fault in the middle half of the measured time, or all" default:"none"`
	Loads    []float64     `long:"load" description:"share of the full request rate" default:"0.8"`
	Rules    string        `long:"rules" description:"site whose link rules apply; empty means the own ones"`
	Seed     uint64        `long:"seed" default:"1"`
	Engines  int           `long:"engines" default:"5"`
	Nodes    int           `long:"nodes" default:"3"`
	WarmUp   time.Duration `long:"warm-up" description:"virtual time that is not measured" default:"5m"`
	Duration time.Duration `long:"duration" description:"measured virtual time" default:"10m"`
	Prefill  float64       `long:"prefill-rate" description:"prompt tokens per second of an engine" default:"10000"`
	Tokens   float64       `long:"token-rate" description:"prompt tokens per second that each organisation may send; 0 means no limit"`
	JSON     string        `long:"json" description:"file for the results as JSON"`
	Plots    string        `long:"plots" description:"prefix of the SVG files"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	plans, err := buildPlans(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	runAsTest(func(t *testing.T) {
		runs := runAll(t, plans)
		if err := writeResults(o, runs); err != nil {
			t.Fatal(err)
		}
	})
}

// runAsTest runs the body as the only test of the process and exits, because
// testing/synctest works only within a test.
func runAsTest(body func(t *testing.T)) {
	testing.Init()
	if err := flag.CommandLine.Parse(nil); err != nil {
		os.Exit(2)
	}
	matchAll := func(string, string) (bool, error) { return true, nil }
	testing.Main(matchAll, []testing.InternalTest{{Name: "measure", F: body}}, nil, nil)
}

// runAll performs the runs one after the other, each in virtual time, and returns
// their summaries.
func runAll(t *testing.T, plans []measure.Options) []report.Run {
	var runs []report.Run
	for _, plan := range plans {
		startedAt := time.Now()
		synctest.Test(t, func(t *testing.T) {
			recording, err := measure.Run(t.Context(), plan)
			if err != nil {
				t.Fatal(err)
			}
			runs = append(runs, report.Summarize(recording))
		})
		fmt.Fprintf(os.Stderr, "%s %s %s load %.2f took %v\n", plan.Profile.Site, plan.Placement, plan.Fault,
			plan.Load, time.Since(startedAt).Round(time.Second))
	}
	return runs
}

func buildPlans(o options) ([]measure.Options, error) {
	faults := measure.Faults()
	if len(o.Faults) != 1 || o.Faults[0] != "all" {
		faults = nil
		for _, name := range o.Faults {
			faults = append(faults, measure.Fault(name))
		}
	}
	var plans []measure.Options
	for _, site := range o.Sites {
		profile, err := selectProfile(site, o.Rules)
		if err != nil {
			return nil, err
		}
		for _, policy := range o.Policies {
			for _, fault := range faults {
				for _, load := range o.Loads {
					plans = append(plans, measure.Options{
						Profile: profile, Placement: policy, Fault: fault, Seed: o.Seed, Load: load,
						Engines: o.Engines, Nodes: o.Nodes, WarmUp: o.WarmUp, Duration: o.Duration, PrefillRate: o.Prefill, TokenRate: o.Tokens,
					})
				}
			}
		}
	}
	return plans, nil
}

// selectProfile returns the workload of a site, with the link rules of another
// site if rules is not empty.
func selectProfile(site, rules string) (workload.Profile, error) {
	profile, err := workload.ProfileForSite(site)
	if err != nil {
		return profile, err
	}
	if rules == "" {
		return profile, nil
	}
	other, err := workload.ProfileForSite(rules)
	if err != nil {
		return profile, err
	}
	profile.LinkPrice = other.LinkPrice
	profile.ExportMinBlocks = other.ExportMinBlocks
	return profile, nil
}

func writeResults(o options, runs []report.Run) error {
	if err := report.WriteTable(os.Stdout, runs); err != nil {
		return err
	}
	if o.JSON != "" {
		if err := writeJSON(o.JSON, runs); err != nil {
			return err
		}
	}
	if o.Plots == "" {
		return nil
	}
	return report.SaveCharts(o.Plots, runs)
}

func writeJSON(path string, runs []report.Run) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.WriteJSON(file, runs), file.Close())
}
