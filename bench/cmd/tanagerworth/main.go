// Command tanagerworth writes the worth of the simulated days of fleetbench at
// each commit, from the entries of its journal.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"tanagerspread/bench/journal"
)

// options are the command-line options.
type options struct {
	Journal string `long:"journal" default:"journal" description:"directory of the entries"`
	Plot    string `long:"plot" description:"SVG file for the mean worth over the commits"`
	Series  string `long:"series" value-name:"TEXT" description:"write a table of the runs whose reason begins so instead"`
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
	if err := writeResults(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func writeResults(o options) error {
	entries, err := journal.Read(o.Journal)
	if err != nil {
		return err
	}
	if o.Series != "" {
		journal.WriteSeries(os.Stdout, entries, o.Series)
		return nil
	}
	journal.WriteWorth(os.Stdout, entries)
	if o.Plot == "" {
		return nil
	}
	return journal.SavePlot(o.Plot, entries)
}
