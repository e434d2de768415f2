package ctl

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/event"
)

func (a *app) registerReference(parser *flags.Parser) error {
	_, err := parser.AddCommand("charts", "print state charts as Mermaid diagrams", "print all state charts, or the named ones", &simpleCommand{run: a.charts})
	return errors.Join(
		err,
		addCommand(parser, "codes", "list the result codes", nil, a.codes),
		addCommand(parser, "events", "list the log events", nil, a.events),
	)
}

// chartDiagram is the JSON output for one chart.
type chartDiagram struct {
	Name    string `json:"name"`
	Title   string `json:"title"`
	Mermaid string `json:"mermaid"`
}

func (a *app) charts(names []string) error {
	if len(names) == 0 {
		names = chart.Names()
	}
	var diagrams []chartDiagram
	var b strings.Builder
	for _, name := range names {
		if !slices.Contains(chart.Names(), name) {
			return &usageError{reason: fmt.Sprintf("no chart is named %s; the charts are %s", name, strings.Join(chart.Names(), ", "))}
		}
		def, err := chart.Load(chart.Embedded(), name)
		if err != nil {
			return err
		}
		diagrams = append(diagrams, chartDiagram{Name: def.Name, Title: def.Title, Mermaid: chart.Mermaid(def)})
		fmt.Fprintf(&b, "%%%% %s: %s\n%s\n", def.Name, def.Title, chart.Mermaid(def))
	}
	return a.print(diagrams, b.String())
}

func (a *app) codes([]string) error {
	var b strings.Builder
	for _, c := range code.All() {
		fmt.Fprintf(&b, "%d %-26s %d %-8s %-9s %s\n", c.Code, c.Name, c.HTTPStatus, c.Execution, c.Retry, c.Meaning)
	}
	return a.print(code.All(), b.String())
}

func (a *app) events([]string) error {
	var b strings.Builder
	for _, e := range event.Sorted() {
		fmt.Fprintf(&b, "%d %-5s %s %v\n", e.Number, e.Level, e.Text, e.Fields)
	}
	return a.print(event.Sorted(), b.String())
}
