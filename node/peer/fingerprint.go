package peer

import (
	"encoding/base64"
	"time"

	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/quarantine"
)

// The sizes of an encoded fingerprint in bytes. The expiry is in seconds.
const (
	kindBytes        = 1
	fingerprintBytes = len(quarantine.Fingerprint{})
	secondsBytes     = 3
	packedBytes      = kindBytes + fingerprintBytes + secondsBytes
)

// encodeFingerprint returns the packed fingerprint in base64, followed by the
// identifier of the server. The remaining time is cut to whole seconds, so
// that an entry never lives longer because it was passed on.
func encodeFingerprint(known membership.FingerprintStatus) string {
	seconds := uint32(max(known.ExpiresIn/time.Second, 0))
	packed := make([]byte, 0, packedBytes)
	packed = append(packed, byte(known.Kind))
	packed = append(packed, known.ID[:]...)
	packed = append(packed, byte(seconds>>16), byte(seconds>>8), byte(seconds))
	return base64.RawURLEncoding.EncodeToString(packed) + string(known.Server)
}

// decodeFingerprint reports false for an item that is malformed or over its
// bound.
func decodeFingerprint(item string) (membership.FingerprintStatus, bool) {
	size := base64.RawURLEncoding.EncodedLen(packedBytes)
	if len(item) < size || len(item) > maxItemBytes {
		return membership.FingerprintStatus{}, false
	}
	packed, err := base64.RawURLEncoding.DecodeString(item[:size])
	if err != nil {
		return membership.FingerprintStatus{}, false
	}
	known := membership.FingerprintStatus{Kind: quarantine.Kind(packed[0]), Server: fleet.ServerID(item[size:])}
	copy(known.ID[:], packed[kindBytes:])
	expiry := packed[kindBytes+fingerprintBytes:]
	seconds := uint32(expiry[0])<<16 | uint32(expiry[1])<<8 | uint32(expiry[2])
	known.ExpiresIn = time.Duration(seconds) * time.Second
	return known, known.Kind >= quarantine.Suspect && known.Kind <= quarantine.Cleared
}
