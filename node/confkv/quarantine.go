package confkv

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/fleet"
	"tanagerspread/core/quarantine"
)

// PrefixQuarantine is where quarantined fingerprints are stored.
const PrefixQuarantine = "quarantine/"

// quarantined is the stored form of a quarantined fingerprint.
type quarantined struct {
	Server string    `json:"server"`
	Until  time.Time `json:"until"`
}

// StoreQuarantined writes a quarantined fingerprint under a lease, so that the
// service deletes the key when the quarantine expires. A fingerprint that is
// already stored is no error.
func StoreQuarantined(ctx context.Context, service kv.Service, entry quarantine.Entry) *code.Error {
	data, err := json.Marshal(quarantined{Server: string(entry.Server), Until: entry.ExpiresAt})
	if err != nil {
		return code.Wrap(code.Internal, "the quarantine entry cannot be encoded", err)
	}
	lease, refused := service.Grant(ctx, time.Until(entry.ExpiresAt))
	if refused != nil {
		return refused
	}
	key := PrefixQuarantine + hex.EncodeToString(entry.Fingerprint[:])
	_, refused = service.Put(ctx, kv.Write{Key: key, Value: data, Expected: kv.Absent, Lease: lease})
	if refused != nil && refused.Code == code.CompareFailed {
		return nil
	}
	return refused
}

// Quarantined returns the stored fingerprints and the revision of the list.
func Quarantined(ctx context.Context, service kv.Service) ([]quarantine.Entry, kv.Revision, *code.Error) {
	stored, revision, err := service.List(ctx, PrefixQuarantine)
	if err != nil {
		return nil, kv.Absent, err
	}
	var out []quarantine.Entry
	for _, entry := range stored {
		if decoded, ok := DecodeQuarantined(entry); ok {
			out = append(out, decoded)
		}
	}
	return out, revision, nil
}

// DecodeQuarantined returns a stored fingerprint. It reports false for an
// entry that is not one.
func DecodeQuarantined(entry kv.Entry) (quarantine.Entry, bool) {
	digits, found := strings.CutPrefix(entry.Key, PrefixQuarantine)
	id, err := hex.DecodeString(digits)
	var value quarantined
	if !found || err != nil || len(id) != len(quarantine.Fingerprint{}) || json.Unmarshal(entry.Value, &value) != nil {
		return quarantine.Entry{}, false
	}
	return quarantine.Entry{
		Fingerprint: quarantine.Fingerprint(id), Kind: quarantine.Quarantined,
		Server: fleet.ServerID(value.Server), ExpiresAt: value.Until,
	}, true
}
