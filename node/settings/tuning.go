package settings

import (
	"cmp"
	"os"
	"slices"
	"strconv"

	"tanagerspread/core/code"
	"tanagerspread/core/placement"
	"tanagerspread/node/inifile"
)

// Tuning holds the settings of a node on the users' machines that the platform
// does not write: the prices that placement compares.
type Tuning struct {
	Prices placement.Prices
}

// tuningRow describes one setting of the section prices. tuningTable lists the
// fields in this order, unkeyed.
type tuningRow struct {
	Key     string
	Default float64
	// Help is the meaning of the setting in the generated settings reference.
	Help  string
	field func(*Tuning) *float64
}

// tuningSection is the INI section of the tuning settings.
const tuningSection = "prices"

var tuningTable = []tuningRow{
	{"read-token", 1.5e-3, "price of a shared prompt token that is computed again", func(t *Tuning) *float64 { return &t.Prices.RecomputedToken }},
	{"moved-byte", 1.1e-9, "price of a transferred byte of KV cache", func(t *Tuning) *float64 { return &t.Prices.MovedByte }},
	{"domain-byte", 2e-5, "price of a byte transferred between two failure domains", func(t *Tuning) *float64 { return &t.Prices.CrossDomainByte }},
	{"late-worth", 1.9, "value that a late response loses, independent of its size", func(t *Tuning) *float64 { return &t.Prices.ResponseValue }},
	{"late-token", 0.7e-3, "value that a late response loses for each prompt token", func(t *Tuning) *float64 { return &t.Prices.TokenValue }},
}

// DefaultTuning returns the default tuning.
func DefaultTuning() Tuning {
	var t Tuning
	for _, row := range tuningTable {
		*row.field(&t) = row.Default
	}
	return t
}

// ReadTuning reads and validates a tuning file. It returns all faults ordered by
// line.
func ReadTuning(path string) (Tuning, []inifile.Fault) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Tuning{}, []inifile.Fault{{Code: code.SettingsUnreadable, Reason: err.Error()}}
	}
	if len(text) > maxFileBytes {
		return Tuning{}, []inifile.Fault{{Code: code.SettingsUnreadable, Reason: "the file is larger than 64 KiB"}}
	}
	return ParseTuning(string(text))
}

// ParseTuning parses and validates the text of a tuning file. It returns all
// faults ordered by line.
func ParseTuning(text string) (Tuning, []inifile.Fault) {
	t := DefaultTuning()
	entries, faults := inifile.Parse(text, inifile.Codes{Malformed: code.SettingInvalid, Repeated: code.SettingRepeated})
	for _, e := range entries {
		if fault := t.set(e); fault != nil {
			faults = append(faults, *fault)
		}
	}
	slices.SortStableFunc(faults, func(a, b inifile.Fault) int { return cmp.Compare(a.Line, b.Line) })
	return t, faults
}

func (t *Tuning) set(e inifile.Entry) *inifile.Fault {
	fault := inifile.Fault{Line: e.Line, Section: e.Section, Key: e.Key}
	index := slices.IndexFunc(tuningTable, func(row tuningRow) bool { return row.Key == e.Key })
	if e.Section != tuningSection || index < 0 {
		fault.Code, fault.Reason = code.SettingUnknown, "the setting is unknown"
		return &fault
	}
	value, err := strconv.ParseFloat(e.Value, 64)
	if err != nil || value < 0 || value > 1e6 {
		fault.Code, fault.Reason = code.SettingInvalid, "the value is not a number from 0 to 1000000"
		return &fault
	}
	*tuningTable[index].field(t) = value
	return nil
}
