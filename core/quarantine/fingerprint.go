// Package quarantine identifies requests that crash backend servers (poison
// requests) and prevents them from running again.
package quarantine

import (
	"crypto/sha256"
	"strconv"

	"tanagerspread/core/request"
)

// Fingerprint identifies a request by organisation, route and content.
type Fingerprint [16]byte

// inputCapacity is the size in bytes of the stack buffer for the hash input. A
// longer input is moved to the heap.
const inputCapacity = 256

// domainSeparator keeps fingerprints distinct from all other uses of the hash.
const domainSeparator = "tanagerspread request fingerprint v1"

// FingerprintOf returns the fingerprint of a request. The body digest covers
// method, path and body.
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

// appendField appends a field with its length in front, so that no two requests
// have the same encoding.
func appendField(input []byte, field string) []byte {
	input = strconv.AppendInt(input, int64(len(field)), 10)
	input = append(input, ':')
	return append(input, field...)
}
