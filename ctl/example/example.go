// Package example embeds example files: the settings of a node and the rules of
// two sites.
package example

import "embed"

//go:embed *.rules *.ini
var files embed.FS

// Rules returns the text of a site's rules file. The sites are derwent and ulan;
// it returns an error for any other.
func Rules(site string) (string, error) {
	text, err := files.ReadFile(site + ".rules")
	return string(text), err
}
