package settings

import (
	"fmt"
	"strconv"
	"strings"
)

// Page returns the generated settings reference, docs/settings.md, as Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nSettings of a node, in INI format. `tanagerspread --check-settings FILE` prints every fault of a file.\n")
	section := ""
	for _, row := range table {
		if row.Section != section {
			section = row.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | value | default | meaning |\n|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", row.Key, row.Form, defaultText(row), row.Meaning)
	}
	b.WriteString(tuningPage())
	return b.String()
}

// tuningPage returns the part of the settings reference about the tuning settings
// of a node on the users' machines.
func tuningPage() string {
	var b strings.Builder
	b.WriteString("\n# Settings on the users' machines\n\nThe platform writes the settings of a process. `tanagerspread --deployed --tuning FILE` reads prices from a second file, by default `deploy/node.ini`; `--check` prints every fault of both. Prices are in parts of the value of requests, as the deployment sheet states them.\n")
	fmt.Fprintf(&b, "\n## [%s]\n\n| key | value | default | meaning |\n|---|---|---|---|\n", tuningSection)
	for _, row := range tuningTable {
		fmt.Fprintf(&b, "| %s | number, 0 to 1000000 | `%s` | %s |\n", row.Key, strconv.FormatFloat(row.Default, 'f', -1, 64), row.Help)
	}
	return b.String()
}

func defaultText(row Setting) string {
	if row.Required {
		return "required"
	}
	if row.Default == "" {
		return "none"
	}
	return "`" + row.Default + "`"
}
