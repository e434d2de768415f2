package rules_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"tanagerspread/core/code"
	"tanagerspread/node/rules"
)

// readExample returns the text of an example rules file of tanagerctl.
func readExample(t testing.TB, name string) string {
	t.Helper()
	text, err := os.ReadFile("../../ctl/example/" + name + ".rules")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestExamples guards against example rules that Parse rejects, and against a
// Format that loses a rule or its comment.
func TestExamples(t *testing.T) {
	for _, site := range []string{"derwent", "ulan"} {
		parsed, faults := rules.Parse(readExample(t, site))
		if len(faults) > 0 {
			t.Fatalf("%s: %v", site, faults)
		}
		reparsed, faults := rules.Parse(rules.Format(parsed))
		if len(faults) > 0 || !reflect.DeepEqual(parsed, reparsed) {
			t.Errorf("%s: rules differ after formatting and parsing: %v", site, faults)
		}
	}
}

// TestModelOptions guards against a Parse or a Format that loses the adapter or
// the role of a model.
func TestModelOptions(t *testing.T) {
	text := "[classes]\na = priority=0 queue=5 ; who\n[models]\nm = weights=1 class=a adapter=caption role=decode ; who\n"
	parsed, faults := rules.Parse(text)
	if len(faults) > 0 || parsed.Models["m"].Adapter != "caption" || parsed.Models["m"].Role != "decode" {
		t.Fatalf("models %+v: %v", parsed.Models, faults)
	}
	reparsed, faults := rules.Parse(rules.Format(parsed))
	if len(faults) > 0 || !reflect.DeepEqual(parsed, reparsed) {
		t.Errorf("rules differ after formatting and parsing: %v", faults)
	}
}

// TestFaults guards against a fault that is not reported, is reported for
// another line, or hides later faults.
func TestFaults(t *testing.T) {
	text := strings.Join([]string{
		"[classes]",
		"a = priority=0 queue=5",
		"b = priority=zero queue=5 ; who",
		"c = priority=1 queue=5 colour=red ; who",
		"c = priority=1 queue=5 ; who",
		"d = priority=1 ; who",
		"[models]",
		"m = weights=1 class=absent ; who",
		"[tokens]",
		"beef = organisation=o ; who",
		strings.Repeat("ab", 32) + " = organisation=absent ; who",
		"[organisations]",
		"o = rate=5 burst=2 ; who",
		"p = allow=absent ; who",
		"q = rate=5/s ; who",
		"[weather]",
		"rain = yes ; who",
		"no value",
	}, "\n")
	want := map[int]code.Code{
		2: code.RuleUnattributed, 3: code.RuleMalformed, 4: code.RuleMalformed, 5: code.RuleConflict, 6: code.RuleMalformed,
		8: code.RuleConflict, 10: code.RuleMalformed, 11: code.RuleConflict, 14: code.RuleConflict, 15: code.RuleConflict,
		17: code.RuleMalformed, 18: code.RuleMalformed,
	}
	_, faults := rules.Parse(text)
	got := map[int]code.Code{}
	for _, f := range faults {
		if f.Line == 13 {
			continue // The rate lacks its unit, so burst has no rate: two faults.
		}
		got[f.Line] = f.Code
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("faults by line: got %v, want %v\n%v", got, want, faults)
	}
}

// TestTooLarge guards against a Parse that accepts rules larger than a value in
// the key-value service may be.
func TestTooLarge(t *testing.T) {
	_, faults := rules.Parse(strings.Repeat("#\n", rules.MaxBytes))
	if len(faults) != 1 || faults[0].Code != code.ConfigTooLarge {
		t.Errorf("got %v", faults)
	}
}

// TestDiff guards against a diff that lacks a changed rule or the comment that
// says who asked for it.
func TestDiff(t *testing.T) {
	before := "[classes]\na = priority=0  queue=5 ; ann\nb = priority=1 queue=5 ; bob\n"
	after := "[classes]\na = priority=0 queue=5 ; ann\nb = priority=2 queue=5 ; eve\nc = priority=1 queue=1 ; dan\n"
	want := []rules.Change{
		{Kind: rules.Changed, Section: "classes", Key: "b", Old: "priority=1 queue=5", New: "priority=2 queue=5", OldAskedBy: "bob", NewAskedBy: "eve"},
		{Kind: rules.Added, Section: "classes", Key: "c", New: "priority=1 queue=1", NewAskedBy: "dan"},
	}
	if got := rules.Diff(before, after); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v", got)
	}
}

// FuzzParse guards against a text that crashes Parse, and against rules that
// differ after formatting and parsing.
func FuzzParse(f *testing.F) {
	f.Add(readExample(f, "derwent"))
	f.Add("[classes]\na = priority=0 queue=5 ; who\n")
	f.Add("[tokens]\n= organisation=o ; who\n[\n\"\"\"\n`a` = b ; c\n- = 1 ; x")
	f.Fuzz(func(t *testing.T, text string) {
		parsed, faults := rules.Parse(text)
		if len(faults) > 0 {
			return
		}
		reparsed, faults := rules.Parse(rules.Format(parsed))
		if len(faults) > 0 || !reflect.DeepEqual(parsed, reparsed) {
			t.Errorf("rules differ after formatting and parsing: %v", faults)
		}
	})
}
