// Package quarantine finds requests that crash backend servers and keeps them
// from running again.
package quarantine

import (
	"crypto/sha256"
	"strconv"

	"tanagerspread/core/request"
)

// Fingerprint identifies a request by organisation, route and content.
type Fingerprint [16]byte

// inputBytes is the capacity for the hashed text on the stack.
const inputBytes = 256

// derivation separates fingerprints from any other use of the hash.
const derivation = "tanagerspread request fingerprint v1"

// Of returns the fingerprint of a request. The body digest binds method, path
// and body.
func Of(organisation request.Organisation, route request.Route, bodyDigest string) Fingerprint {
	var space [inputBytes]byte
	input := append(space[:0], derivation...)
	input = appendPart(input, string(organisation))
	input = appendPart(input, strconv.Itoa(int(route.Kind)))
	input = appendPart(input, route.Name)
	input = appendPart(input, bodyDigest)
	sum := sha256.Sum256(input)
	return Fingerprint(sum[:len(Fingerprint{})])
}

// appendPart prefixes each part with its length, so that no two requests have
// the same encoding.
func appendPart(input []byte, part string) []byte {
	input = strconv.AppendInt(input, int64(len(part)), 10)
	input = append(input, ':')
	return append(input, part...)
}
