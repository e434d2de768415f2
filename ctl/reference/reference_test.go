package reference_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"tanagerspread/core/code"
	"tanagerspread/core/event"
	"tanagerspread/ctl/reference"
)

// TestPages guards against generated pages that are out of date. The flag
// -update regenerates them.
func TestPages(t *testing.T) {
	charts, err := reference.Charts()
	if err != nil {
		t.Fatal(err)
	}
	pages := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	for name, page := range map[string]string{"codes": reference.Codes(), "events": reference.Events(), "charts": charts} {
		pages.Assert(t, name, []byte(page))
	}
}

// TestNumbers guards against a result code or event number that is used twice.
func TestNumbers(t *testing.T) {
	codes := map[code.Code]string{}
	for _, c := range code.All() {
		if other, used := codes[c.Code]; used {
			t.Errorf("code %d is both %s and %s", c.Code, other, c.Name)
		}
		codes[c.Code] = c.Name
	}
	events := map[event.Number]string{}
	for _, e := range event.All() {
		if other, used := events[e.Number]; used {
			t.Errorf("event %d is both %q and %q", e.Number, other, e.Text)
		}
		events[e.Number] = e.Text
	}
}

// TestProofs guards against references to tests that do not exist in
// docs/proofs.md.
func TestProofs(t *testing.T) {
	page, err := os.ReadFile("../../docs/proofs.md")
	if err != nil {
		t.Fatal(err)
	}
	defined := map[string]bool{}
	err = filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range testFunctionPattern.FindAllStringSubmatch(string(source), -1) {
			defined[match[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, match := range testNamePattern.FindAllStringSubmatch(string(page), -1) {
		if !defined[match[1]] {
			t.Errorf("docs/proofs.md lists %s, which does not exist", match[1])
		}
	}
}

var (
	testFunctionPattern = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)
	testNamePattern     = regexp.MustCompile("`((?:Test|Fuzz)\\w+)`")
)
