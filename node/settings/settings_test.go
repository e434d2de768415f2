package settings_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"tanagerspread/core/code"
	"tanagerspread/node/settings"
)

const minimalSettings = "[node]\nid = n1\ndomain = hobart-a\nlisten = 127.0.0.1:8080\nadmin-listen = [::1]:8081\npeer-listen = 127.0.0.1:8082\n[platform]\nkey-value = 127.0.0.1:7001\nvm-list = 127.0.0.1:7002\n"

// TestExampleSettings guards against an example file that the node rejects or
// whose values differ from the defaults.
func TestExampleSettings(t *testing.T) {
	s, faults := settings.Read("../../ctl/example/node.ini")
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	defaults, faults := settings.Parse(strings.Replace(minimalSettings, "[::1]", "127.0.0.1", 1))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	defaults.Node = s.Node
	if !reflect.DeepEqual(s, defaults) {
		t.Errorf("example %+v differs from the defaults %+v", s, defaults)
	}
}

// TestFaults guards against a fault that is not reported, has the wrong code, or
// suppresses later faults.
func TestFaults(t *testing.T) {
	badCharts := t.TempDir()
	if err := os.WriteFile(filepath.Join(badCharts, "node.toml"), []byte(`name = "node"`), 0o600); err != nil {
		t.Fatal(err)
	}
	text := strings.Join([]string{
		"stray = 1",
		"[node]",
		"id = n1",
		"id = n1",
		"listen = hobart.example:8080",
		"admin-listen = 127.0.0.1:99999",
		"drain-delay = 5",
		"colour = red",
		"[limits]",
		"max-body-bytes = 0",
		"server-slots = many",
		"[weather]",
		"rain = yes",
		"[log]",
		"level = loud",
		"nonsense",
		"[tls]",
		"caller-cert = absent.pem",
		"[charts]",
		"directory = " + badCharts,
	}, "\n")
	want := []string{
		"0 node.domain 1802", "0 node.peer-listen 1802", "0 platform.key-value 1802", "0 platform.vm-list 1802", "0 tls.caller-key 1802", "0 charts.directory 1807",
		"1 .stray 1803", "4 node.id 1804", "5 node.listen 1805", "6 node.admin-listen 1803", "7 node.drain-delay 1803",
		"8 node.colour 1801", "10 limits.max-body-bytes 1803", "11 limits.server-slots 1803", "13 weather.rain 1801",
		"15 log.level 1803", "16 log. 1803",
	}
	_, faults := settings.Parse(text)
	var got []string
	for _, f := range faults {
		got = append(got, strings.Join([]string{strconv.Itoa(f.Line), f.Section + "." + f.Key, strconv.Itoa(int(f.Code))}, " "))
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %q\nwant %q", got, want)
	}
}

// TestUnreadableFile guards against a crash on a missing file, an oversized file
// or a directory.
func TestUnreadableFile(t *testing.T) {
	large := filepath.Join(t.TempDir(), "large.ini")
	if err := os.WriteFile(large, []byte(strings.Repeat("#\n", 64<<10)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"absent.ini", large, t.TempDir()} {
		_, faults := settings.Read(path)
		if len(faults) != 1 || faults[0].Code != code.SettingsUnreadable {
			t.Errorf("%s: got %v", path, faults)
		}
	}
}

// TestPage guards against a settings reference (docs/settings.md) that differs
// from the table. Run the test with -update to regenerate it.
func TestPage(t *testing.T) {
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "settings", []byte(settings.Page()))
}

// FuzzParse guards against input that makes Parse panic, or return settings
// together with faults.
func FuzzParse(f *testing.F) {
	f.Add(minimalSettings)
	f.Add("[node]\nid = \"\"\"\n[log\n= \n\\")
	f.Fuzz(func(t *testing.T, text string) {
		if s, faults := settings.Parse(text); (s == nil) != (len(faults) > 0) {
			t.Errorf("settings %+v with faults %v", s, faults)
		}
	})
}
