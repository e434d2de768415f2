// Package quarantine finds requests that crash backend servers and keeps them
// from running again.
package quarantine

import (
	"strconv"

	"github.com/zeebo/blake3"

	"tanagerspread/core/request"
)

// Fingerprint identifies a request by organisation, route and content.
type Fingerprint [16]byte

// derivation separates fingerprints from any other use of the hash.
const derivation = "tanagerspread request fingerprint v1"

// Of returns the fingerprint of a request. The body digest binds method, path
// and body.
func Of(organisation request.Organisation, route request.Route, bodyDigest string) Fingerprint {
	hasher := blake3.NewDeriveKey(derivation)
	for _, part := range []string{string(organisation), strconv.Itoa(int(route.Kind)), route.Name, bodyDigest} {
		// The hasher documents that WriteString never fails.
		_, _ = hasher.WriteString(strconv.Itoa(len(part)) + ":")
		_, _ = hasher.WriteString(part)
	}
	var f Fingerprint
	copy(f[:], hasher.Sum(nil))
	return f
}
