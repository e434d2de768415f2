package peer

import (
	"encoding/base64"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/quarantine"
)

// The sizes in bytes of the fields of a packed quarantine status, in their order,
// and the size of all of them. The last field is the time left until the expiry,
// in milliseconds.
const (
	kindBytes        = 1
	fingerprintBytes = len(quarantine.Fingerprint{})
	leftBytes        = 3
	packedBytes      = kindBytes + fingerprintBytes + leftBytes
)

// maxLeft is the longest time left that a packed status can state, in milliseconds.
const maxLeft = 1<<(8*leftBytes) - 1

// encodeQuarantineStatus returns the packed status in base64, followed by the
// identifier of the server. The time left is rounded down to whole
// milliseconds, so that gossip never extends the life of an entry.
func encodeQuarantineStatus(status membership.QuarantineStatus) string {
	left := uint32(min(max(status.ExpiresIn.Milliseconds(), 0), maxLeft))
	packed := make([]byte, 0, packedBytes)
	packed = append(packed, byte(status.Kind))
	packed = append(packed, status.Fingerprint[:]...)
	packed = append(packed, byte(left>>16), byte(left>>8), byte(left))
	return base64.RawURLEncoding.EncodeToString(packed) + string(status.Server)
}

// decodeQuarantineStatus returns the status that encodeQuarantineStatus encoded.
// It returns false when the text is malformed, is longer than
// maxEncodedFingerprintBytes or has an unknown kind.
func decodeQuarantineStatus(encoded string) (membership.QuarantineStatus, bool) {
	size := base64.RawURLEncoding.EncodedLen(packedBytes)
	if len(encoded) < size || len(encoded) > maxEncodedFingerprintBytes {
		return membership.QuarantineStatus{}, false
	}
	packed, err := base64.RawURLEncoding.DecodeString(encoded[:size])
	if err != nil {
		return membership.QuarantineStatus{}, false
	}
	status := membership.QuarantineStatus{Kind: quarantine.Kind(packed[0]), Server: fleet.ServerID(encoded[size:])}
	copy(status.Fingerprint[:], packed[kindBytes:])
	expiryBytes := packed[kindBytes+fingerprintBytes:]
	left := uint32(expiryBytes[0])<<16 | uint32(expiryBytes[1])<<8 | uint32(expiryBytes[2])
	status.ExpiresIn = time.Duration(left) * time.Millisecond
	return status, status.Kind >= quarantine.Suspect && status.Kind <= quarantine.Cleared
}
