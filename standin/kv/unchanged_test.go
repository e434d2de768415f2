package kv_test

import (
	"bytes"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"tanagerspread/client/kv"
	"tanagerspread/client/wire"
	standin "tanagerspread/standin/kv"
)

// TestUnchangedValue guards against a client that transfers an unchanged
// configuration again, and against one that returns an outdated value or revision
// after a change or after a restored snapshot.
func TestUnchangedValue(t *testing.T) {
	s := standin.NewStore(standin.Options{})
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		s.Handler().ServeHTTP(recorder, r)
		sent += recorder.Body.Len()
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	client := kv.NewClient(wire.Options{Address: strings.TrimPrefix(server.URL, "http://")})
	defer client.Close()
	write := func(letter string, expected kv.Revision) kv.Entry {
		t.Helper()
		value := []byte(strings.Repeat(letter, 100_000))
		revision, err := client.Put(t.Context(), kv.Write{Key: "config/current", Value: value, Expected: expected})
		if err != nil {
			t.Fatal(err)
		}
		return kv.Entry{Value: value, Revision: revision}
	}
	read := func(want kv.Entry) int {
		t.Helper()
		before := sent
		got, err := client.Get(t.Context(), "config/current")
		if err != nil || got.Revision != want.Revision || !bytes.Equal(got.Value, want.Value) {
			t.Errorf("revision %d with %.1q, error %v; want revision %d with %.1q", got.Revision, got.Value, err, want.Revision, want.Value)
		}
		return sent - before
	}
	first := write("a", kv.Absent)
	read(first)
	if again := read(first); again != 0 {
		t.Errorf("an unchanged value took %d bytes", again)
	}
	old := s.Snapshot()
	read(write("b", first.Revision))
	s.Restore(old)
	read(first)
	read(write("c", first.Revision))
}
