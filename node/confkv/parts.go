package confkv

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/quarantine"
)

// prefixQuarantinedPart is the key prefix of quarantined prompt parts. It begins with
// PrefixQuarantine, so that one watch covers both.
const prefixQuarantinedPart = PrefixQuarantine + "part-"

// partDocument is the stored form of a quarantined prompt part.
type partDocument struct {
	At time.Time `json:"at"`
}

// WriteQuarantinedPart writes a quarantined prompt part under a lease, so that the service
// deletes the key at expiresAt. It replaces nothing: it returns no error when the part is
// already stored.
func WriteQuarantinedPart(ctx context.Context, service kv.Service, part quarantine.PartQuarantine, expiresAt time.Time) *code.Error {
	data, err := json.Marshal(partDocument{At: part.At})
	if err != nil {
		return code.Wrap(code.Internal, "the quarantined part cannot be encoded", err)
	}
	lease, serviceErr := service.Grant(ctx, time.Until(expiresAt))
	if serviceErr != nil {
		return serviceErr
	}
	key := prefixQuarantinedPart + hex.EncodeToString([]byte(part.Part))
	_, serviceErr = service.Put(ctx, kv.Write{Key: key, Value: data, Expected: kv.Absent, Lease: lease})
	if serviceErr != nil && serviceErr.Code == code.CompareFailed {
		return nil
	}
	return serviceErr
}

// DecodeQuarantinedPart returns the quarantined prompt part of an entry, or false when the
// entry is another one or malformed.
func DecodeQuarantinedPart(entry kv.Entry) (quarantine.PartQuarantine, bool) {
	digits, isPart := strings.CutPrefix(entry.Key, prefixQuarantinedPart)
	id, err := hex.DecodeString(digits)
	var document partDocument
	if !isPart || err != nil || len(id) == 0 || json.Unmarshal(entry.Value, &document) != nil {
		return quarantine.PartQuarantine{}, false
	}
	return quarantine.PartQuarantine{Part: quarantine.PartID(id), At: document.At}, true
}
