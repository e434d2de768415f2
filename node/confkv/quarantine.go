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

// PrefixQuarantine is the key prefix of quarantined fingerprints.
const PrefixQuarantine = "quarantine/"

// quarantineDocument is the stored form of a quarantined fingerprint.
type quarantineDocument struct {
	Server string    `json:"server"`
	Until  time.Time `json:"until"`
}

// WriteQuarantined writes a quarantined fingerprint under a lease, so that the
// service deletes the key when the quarantine expires. It returns no error when
// the fingerprint is already stored.
func WriteQuarantined(ctx context.Context, service kv.Service, entry quarantine.Entry) *code.Error {
	data, err := json.Marshal(quarantineDocument{Server: string(entry.Server), Until: entry.ExpiresAt})
	if err != nil {
		return code.Wrap(code.Internal, "the quarantine entry cannot be encoded", err)
	}
	lease, serviceErr := service.Grant(ctx, time.Until(entry.ExpiresAt))
	if serviceErr != nil {
		return serviceErr
	}
	key := PrefixQuarantine + hex.EncodeToString(entry.Fingerprint[:])
	_, serviceErr = service.Put(ctx, kv.Write{Key: key, Value: data, Expected: kv.Absent, Lease: lease})
	if serviceErr != nil && serviceErr.Code == code.CompareFailed {
		return nil
	}
	return serviceErr
}

// DeleteQuarantined deletes a fingerprint. It returns no error when none is stored.
func DeleteQuarantined(ctx context.Context, service kv.Service, f quarantine.Fingerprint) *code.Error {
	key := PrefixQuarantine + hex.EncodeToString(f[:])
	entry, err := service.Get(ctx, key)
	if err == nil {
		err = service.Delete(ctx, key, entry.Revision)
	}
	if err != nil && (err.Code == code.KeyMissing || err.Code == code.CompareFailed) {
		return nil
	}
	return err
}

// ListQuarantined returns the stored fingerprints and prompt parts and the revision of the
// list. It omits entries that cannot be decoded.
func ListQuarantined(ctx context.Context, service kv.Service) ([]quarantine.Entry, []quarantine.PartQuarantine, kv.Revision, *code.Error) {
	stored, revision, err := service.List(ctx, PrefixQuarantine)
	if err != nil {
		return nil, nil, kv.Absent, err
	}
	var entries []quarantine.Entry
	var parts []quarantine.PartQuarantine
	for _, entry := range stored {
		if decoded, ok := DecodeQuarantined(entry); ok {
			entries = append(entries, decoded)
		}
		if part, ok := DecodeQuarantinedPart(entry); ok {
			parts = append(parts, part)
		}
	}
	return entries, parts, revision, nil
}

// DecodeQuarantined returns the quarantined fingerprint of an entry, or false
// when its key or value is malformed.
func DecodeQuarantined(entry kv.Entry) (quarantine.Entry, bool) {
	hexDigits, hasPrefix := strings.CutPrefix(entry.Key, PrefixQuarantine)
	id, err := hex.DecodeString(hexDigits)
	var document quarantineDocument
	if !hasPrefix || err != nil || len(id) != len(quarantine.Fingerprint{}) || json.Unmarshal(entry.Value, &document) != nil {
		return quarantine.Entry{}, false
	}
	return quarantine.Entry{
		Fingerprint: quarantine.Fingerprint(id), Kind: quarantine.Quarantined,
		Server: fleet.ServerID(document.Server), ExpiresAt: document.Until,
	}, true
}
