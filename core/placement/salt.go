package placement

import (
	"strconv"
	"strings"
)

// saltFields is the number of fields of a salt.
const saltFields = 3

// Salt returns the text that binds cached parts to a model, a weight version and the
// scope of the organisations that share them. No server reports under which weight version
// a part was computed, so only the salt keeps versions and organisations apart.
func Salt(model string, weights int, scope string) string {
	return model + "/" + strconv.Itoa(weights) + "/" + scope
}

// ScopeOf returns the scope of a salt, or an empty text for a text that is not a salt.
func ScopeOf(salt string) string {
	fields := strings.SplitN(salt, "/", saltFields)
	if len(fields) < saltFields {
		return ""
	}
	return fields[saltFields-1]
}

// WeightsOf returns the model and the weight version of a salt. They are empty and 0
// for a text that is not a salt.
func WeightsOf(salt string) (model string, weights int) {
	fields := strings.SplitN(salt, "/", saltFields)
	if len(fields) < saltFields {
		return "", 0
	}
	weights, err := strconv.Atoi(fields[1])
	if err != nil {
		return "", 0
	}
	return fields[0], weights
}
