package settings_test

import (
	"testing"

	"tanagerspread/core/code"
	"tanagerspread/node/settings"
)

// TestTuning guards against a setting that is not applied, and against an
// unknown, repeated or out-of-range setting that is accepted.
func TestTuning(t *testing.T) {
	got, faults := settings.ParseTuning("[prices]\nread-token = 0.5\n")
	if len(faults) != 0 || got.Prices.RecomputedToken != 0.5 || got.Prices.ResponseValue != settings.DefaultTuning().Prices.ResponseValue {
		t.Errorf("got %+v with %v", got, faults)
	}
	for text, want := range map[string]code.Code{
		"[prices]\nread-tokens = 1\n":                code.SettingUnknown,
		"[other]\nread-token = 1\n":                  code.SettingUnknown,
		"[prices]\nread-token = -1\n":                code.SettingInvalid,
		"[prices]\nread-token = cheap\n":             code.SettingInvalid,
		"[prices]\nread-token = 1\nread-token = 2\n": code.SettingRepeated,
	} {
		_, faults := settings.ParseTuning(text)
		if len(faults) != 1 || faults[0].Code != want {
			t.Errorf("%q: got %v, want code %d", text, faults, want)
		}
	}
}
