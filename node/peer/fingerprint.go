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
// in seconds.
const (
	kindBytes        = 1
	fingerprintBytes = len(quarantine.Fingerprint{})
	secondsLeftBytes = 3
	packedBytes      = kindBytes + fingerprintBytes + secondsLeftBytes
)

// encodeQuarantineStatus returns the packed status in base64, followed by the
// identifier of the server. The time left is rounded down to whole seconds, so
// that gossip never extends the life of an entry.
func encodeQuarantineStatus(status membership.QuarantineStatus) string {
	secondsLeft := uint32(max(status.ExpiresIn/time.Second, 0))
	packed := make([]byte, 0, packedBytes)
	packed = append(packed, byte(status.Kind))
	packed = append(packed, status.Fingerprint[:]...)
	packed = append(packed, byte(secondsLeft>>16), byte(secondsLeft>>8), byte(secondsLeft))
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
	secondsLeft := uint32(expiryBytes[0])<<16 | uint32(expiryBytes[1])<<8 | uint32(expiryBytes[2])
	status.ExpiresIn = time.Duration(secondsLeft) * time.Second
	return status, status.Kind >= quarantine.Suspect && status.Kind <= quarantine.Cleared
}
