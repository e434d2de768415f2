package control

import (
	"testing"

	"tanagerspread/core/code"
)

// TestNoKeyWithoutOrganisations guards against calls that are refused for lack of a key
// although the configuration defines none, and against a configuration that defines
// organisations and lets calls without a key pass.
func TestNoKeyWithoutOrganisations(t *testing.T) {
	for _, keyless := range []bool{true, false} {
		s := forwardState(t, 1)
		rules := tenantRules(nil)
		rules.Keyless = keyless
		s.Handle(testStart, Configure{Version: 2, Rules: rules})
		decision := placeCall(s, testStart, "a", "review")
		if refusal, refused := decision.(Refusal); refused == keyless || refused && refusal.Err.Code != code.MissingToken {
			t.Errorf("keyless %v: got %+v", keyless, decision)
		}
	}
}
