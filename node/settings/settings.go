// Package settings reads the INI settings of a node and validates them
// together.
package settings

import (
	"cmp"
	"io/fs"
	"os"
	"slices"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/node/inifile"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 64 << 10

// Settings are the checked settings of a node.
type Settings struct {
	Node        string
	Domain      string
	Listen      string
	AdminListen string
	PeerListen  string
	KeyValue    string
	VMList      string
	// DrainDelay is the time during which a draining node still accepts requests.
	DrainDelay time.Duration
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64
	// ServerSlots bounds the concurrent attempts of the node at one backend
	// server.
	ServerSlots int
	// ChartsDir is the directory of chart files that replace embedded ones, or
	// is empty.
	ChartsDir string
	LogLevel  string
	CallerTLS TLS
	AdminTLS  TLS
	PeerTLS   TLS
}

// Read reads and validates a settings file. It returns all faults; the settings
// are nil if there is any.
func Read(path string) (*Settings, []inifile.Fault) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, []inifile.Fault{{Code: code.SettingsUnreadable, Reason: err.Error()}}
	}
	if info.Size() > maxFileBytes {
		return nil, []inifile.Fault{{Code: code.SettingsUnreadable, Reason: "the file is larger than 64 KiB"}}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []inifile.Fault{{Code: code.SettingsUnreadable, Reason: err.Error()}}
	}
	return Parse(string(text))
}

// Parse parses and validates the text of a settings file. It returns all faults
// ordered by line; the settings are nil if there is any.
func Parse(text string) (*Settings, []inifile.Fault) {
	entries, faults := inifile.Parse(text, inifile.Codes{Malformed: code.SettingInvalid, Repeated: code.SettingRepeated})
	s := &Settings{}
	present := map[[2]string]bool{}
	for _, e := range entries {
		present[[2]string{e.Section, e.Key}] = true
		faults = append(faults, s.set(e)...)
	}
	faults = append(faults, s.applyDefaults(present)...)
	faults = append(faults, s.checkTLS()...)
	faults = append(faults, s.checkCharts()...)
	slices.SortStableFunc(faults, func(a, b inifile.Fault) int { return cmp.Compare(a.Line, b.Line) })
	if len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// set validates and stores one entry and returns its fault, if any.
func (s *Settings) set(e inifile.Entry) []inifile.Fault {
	setting, reason := findSetting(e.Section, e.Key)
	if setting == nil {
		return []inifile.Fault{{Line: e.Line, Section: e.Section, Key: e.Key, Code: code.SettingUnknown, Reason: reason}}
	}
	if err := setting.set(s, e.Value); err != nil {
		return []inifile.Fault{{Line: e.Line, Section: e.Section, Key: e.Key, Code: err.Code, Reason: err.Detail}}
	}
	return nil
}

// applyDefaults sets absent settings to their defaults and returns a fault for
// each absent setting that is required.
func (s *Settings) applyDefaults(present map[[2]string]bool) []inifile.Fault {
	var faults []inifile.Fault
	for i := range table {
		row := &table[i]
		switch {
		case present[[2]string{row.Section, row.Key}]:
		case row.Required:
			faults = append(faults, inifile.Fault{Section: row.Section, Key: row.Key, Code: code.SettingMissing, Reason: "the setting is required"})
		case row.Default != "":
			if err := row.set(s, row.Default); err != nil {
				faults = append(faults, inifile.Fault{Section: row.Section, Key: row.Key, Code: err.Code, Reason: err.Detail})
			}
		}
	}
	return faults
}

// checkCharts loads all charts as the node does and returns a fault if one is
// invalid.
func (s *Settings) checkCharts() []inifile.Fault {
	if s.ChartsDir == "" {
		return nil
	}
	_, err := control.New(control.Options{Charts: s.Charts()}, time.Time{})
	if err == nil {
		return nil
	}
	return []inifile.Fault{{Section: "charts", Key: "directory", Code: code.ChartInvalid, Reason: err.Error()}}
}

// Charts returns the chart files of the node: the files in ChartsDir, and the
// embedded files for charts that ChartsDir does not contain.
func (s *Settings) Charts() fs.FS {
	if s.ChartsDir == "" {
		return chart.Embedded()
	}
	return chart.Overlay(os.DirFS(s.ChartsDir), chart.Embedded())
}
