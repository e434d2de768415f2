package placement

import "strconv"

// Salt binds cached parts to a weight version and to an isolated organisation.
// No server tells under which version a part was made, so the salt alone keeps
// versions and organisations apart.
func Salt(weights int, isolation string) string {
	return "w" + strconv.Itoa(weights) + "/" + isolation
}
