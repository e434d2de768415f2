package confkv_test

import (
	"context"
	"reflect"
	"testing"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/request"
	"tanagerspread/node/confkv"
)

// lastWrite is a service that keeps the last write.
type lastWrite struct {
	kv.Service
	write kv.Write
}

func (s *lastWrite) Put(_ context.Context, write kv.Write) (kv.Revision, *code.Error) {
	s.write = write
	return 8, nil
}

// TestIsolationRecord guards against a record that other nodes read differently than it was
// written, that ends with a lease or replaces another one, and against a malformed one.
func TestIsolationRecord(t *testing.T) {
	service := &lastWrite{}
	record := config.Isolation{}.Next([]request.Organisation{"north", "a/b"}, 7).Next([]request.Organisation{"north"}, 9)
	if err := confkv.WriteIsolation(t.Context(), service, control.WriteIsolation{Record: record, Replaced: 5}); err != nil {
		t.Fatal(err)
	}
	if service.write.Expected != 5 || service.write.Lease != "" {
		t.Errorf("the write has the revision %d and the lease %q", service.write.Expected, service.write.Lease)
	}
	got, err := confkv.DecodeIsolation(kv.Entry{Key: confkv.KeyIsolation, Value: service.write.Value, Revision: 8})
	if want := (control.IsolationSeen{Record: record, Revision: 8}); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, %v, want %+v", got, err, want)
	}
	for _, text := range []string{"", "{}", `{"changed":-1}`, `{"changed":1,"since":["north"]}`} {
		if _, err := confkv.DecodeIsolation(kv.Entry{Value: []byte(text)}); err == nil || err.Code != code.EntryInvalid {
			t.Errorf("%q: %v, want code %d", text, err, code.EntryInvalid)
		}
	}
}
