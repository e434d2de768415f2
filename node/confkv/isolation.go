package confkv

import (
	"context"
	"encoding/json"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/request"
)

// KeyIsolation is the key of the record of the isolated organisations. No lease ends it.
const KeyIsolation = "config-isolation"

// IsolationDocument is the JSON form of the record.
type IsolationDocument struct {
	Changed config.Version                          `json:"changed"`
	Since   map[request.Organisation]config.Version `json:"since"`
}

// DecodeIsolation returns the record in an entry, or code.EntryInvalid.
func DecodeIsolation(entry kv.Entry) (control.IsolationSeen, *code.Error) {
	var document IsolationDocument
	if err := json.Unmarshal(entry.Value, &document); err != nil {
		return control.IsolationSeen{}, code.Wrap(code.EntryInvalid, "the record of the isolated organisations is not valid JSON of the expected form", err)
	}
	if document.Changed == 0 {
		return control.IsolationSeen{}, code.New(code.EntryInvalid, "the record of the isolated organisations has no version")
	}
	return control.IsolationSeen{Record: config.Isolation(document), Revision: uint64(entry.Revision)}, nil
}

// WriteIsolation writes the record, or returns code.CompareFailed when it has changed since
// the replaced revision.
func WriteIsolation(ctx context.Context, service kv.Service, command control.WriteIsolation) *code.Error {
	data, err := json.Marshal(IsolationDocument(command.Record))
	if err != nil {
		return code.Wrap(code.Internal, "the record of the isolated organisations cannot be encoded", err)
	}
	_, putErr := service.Put(ctx, kv.Write{Key: KeyIsolation, Value: data, Expected: kv.Revision(command.Replaced)})
	return putErr
}
