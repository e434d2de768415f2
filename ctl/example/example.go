// Package example embeds example files: the settings of a node and the rules
// of two sites.
package example

import "embed"

//go:embed *.rules *.ini
var files embed.FS

// Rules returns the rules file of a site, derwent or ulan.
func Rules(site string) (string, error) {
	text, err := files.ReadFile(site + ".rules")
	return string(text), err
}
