// Package reference renders the catalogues of result codes, log events and
// state charts as Markdown pages.
package reference

import (
	"fmt"
	"strings"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/event"
)

// Codes returns the page of result codes.
func Codes() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nGenerated from `core/code`; a test checks this page.\n\n")
	b.WriteString("| code | name | HTTP status | execution | retry | meaning |\n|---|---|---|---|---|---|\n")
	for _, c := range code.All() {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s | %s |\n", c.Code, c.Name, c.HTTPStatus, c.Execution, c.Retry, c.Meaning)
	}
	return b.String()
}

// Events returns the page of log events.
func Events() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nGenerated from `core/event`; a test checks this page. Every line carries its number in the field `event`.\n\n")
	b.WriteString("| event | level | message | fields |\n|---|---|---|---|\n")
	for _, e := range event.Sorted() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Text, strings.Join(e.Fields, ", "))
	}
	return b.String()
}

// Charts returns the page of state charts. It returns an error when a chart
// cannot be loaded.
func Charts() (string, error) {
	var b strings.Builder
	b.WriteString("# State charts\n\nGenerated from `chart/files`; a test checks this page.\n")
	for _, name := range chart.Names() {
		def, err := chart.Load(chart.Embedded(), name)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "\n## %s\n\n%s.\n\n```mermaid\n%s```\n", def.Name, def.Title, chart.Mermaid(def))
	}
	return b.String(), nil
}
