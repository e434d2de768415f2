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

// inputCapacity is the capacity for the hashed text on the stack.
const inputCapacity = 256

// domainSeparator separates fingerprints from any other use of the hash.
const domainSeparator = "tanagerspread request fingerprint v1"

// FingerprintOf returns the fingerprint of a request. The body digest binds method, path
// and body.
func FingerprintOf(organisation request.Organisation, route request.Route, bodyDigest string) Fingerprint {
	var buffer [inputCapacity]byte
	input := append(buffer[:0], domainSeparator...)
	input = appendField(input, string(organisation))
	input = appendField(input, strconv.Itoa(int(route.Kind)))
	input = appendField(input, route.Name)
	input = appendField(input, bodyDigest)
	sum := sha256.Sum256(input)
	return Fingerprint(sum[:len(Fingerprint{})])
}

// appendField prefixes each part with its length, so that no two requests have
// the same encoding.
func appendField(input []byte, field string) []byte {
	input = strconv.AppendInt(input, int64(len(field)), 10)
	input = append(input, ':')
	return append(input, field...)
}
