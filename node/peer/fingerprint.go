package peer

import (
	"encoding/base64"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/quarantine"
)

// The sizes in bytes of the fields of a packed fingerprint, in their order, and
// the size of all of them. The last field is the time left until the expiry, in
// seconds.
const (
	kindBytes        = 1
	fingerprintBytes = len(quarantine.Fingerprint{})
	secondsLeftBytes = 3
	packedBytes      = kindBytes + fingerprintBytes + secondsLeftBytes
)

// encodeFingerprint returns the packed fingerprint in base64, followed by the
// identifier of the server. The time left is rounded down to whole seconds, so
// that gossip never extends the life of an entry.
func encodeFingerprint(fingerprint membership.QuarantineStatus) string {
	secondsLeft := uint32(max(fingerprint.ExpiresIn/time.Second, 0))
	packed := make([]byte, 0, packedBytes)
	packed = append(packed, byte(fingerprint.Kind))
	packed = append(packed, fingerprint.Fingerprint[:]...)
	packed = append(packed, byte(secondsLeft>>16), byte(secondsLeft>>8), byte(secondsLeft))
	return base64.RawURLEncoding.EncodeToString(packed) + string(fingerprint.Server)
}

// decodeFingerprint returns the fingerprint that encodeFingerprint encoded. It
// returns false when the text is malformed, is longer than
// maxEncodedFingerprintBytes or has an unknown kind.
func decodeFingerprint(encoded string) (membership.QuarantineStatus, bool) {
	size := base64.RawURLEncoding.EncodedLen(packedBytes)
	if len(encoded) < size || len(encoded) > maxEncodedFingerprintBytes {
		return membership.QuarantineStatus{}, false
	}
	packed, err := base64.RawURLEncoding.DecodeString(encoded[:size])
	if err != nil {
		return membership.QuarantineStatus{}, false
	}
	fingerprint := membership.QuarantineStatus{Kind: quarantine.Kind(packed[0]), Server: fleet.ServerID(encoded[size:])}
	copy(fingerprint.Fingerprint[:], packed[kindBytes:])
	expiryBytes := packed[kindBytes+fingerprintBytes:]
	secondsLeft := uint32(expiryBytes[0])<<16 | uint32(expiryBytes[1])<<8 | uint32(expiryBytes[2])
	fingerprint.ExpiresIn = time.Duration(secondsLeft) * time.Second
	return fingerprint, fingerprint.Kind >= quarantine.Suspect && fingerprint.Kind <= quarantine.Cleared
}
