package settings

import (
	"fmt"
	"strings"
)

// Page renders the settings table as Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nSettings of a node, in INI form. `tanagerspread --check-settings FILE` prints every fault of a file.\n")
	section := ""
	for _, row := range table {
		if row.Section != section {
			section = row.Section
			fmt.Fprintf(&b, "\n## [%s]\n\n| key | value | default | meaning |\n|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", row.Key, row.Form, defaultText(row), row.Meaning)
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
