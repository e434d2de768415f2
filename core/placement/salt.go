package placement

import (
	"strconv"
	"strings"
)

// saltFields is the number of fields of a salt.
const saltFields = 3

// Salt binds cached parts to a model, a weight version and an isolated
// organisation. No server tells under which version a part was made, so the
// salt alone keeps versions and organisations apart.
func Salt(model string, weights int, isolation string) string {
	return model + "/" + strconv.Itoa(weights) + "/" + isolation
}

// WeightsOf returns the model and the weight version of a salt. The version of
// a salt of another form is 0.
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
