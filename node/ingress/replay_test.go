package ingress_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"tanagerspread/core/fleet"
)

// closeReused counts each request and closes a connection that is used again,
// after it has read the request.
func (w *world) closeReused(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.count("sent")
		if r.Context().Value(connKey{}).(*atomic.Int32).Add(1) > 1 {
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(rw, r)
	})
}

// TestNoReplayBelow guards against a transport that sends an attempt again on
// its own after the server closed a reused connection.
func TestNoReplayBelow(t *testing.T) {
	calls := map[string]func(n *node, key string) reply{
		"keyed post": func(n *node, key string) reply { return n.lodge(key) },
		"get":        func(n *node, key string) reply { return n.call(http.MethodGet, "/services/lookup/"+key, "", "") },
		"completion": func(n *node, _ string) reply {
			return n.call(http.MethodPost, "/v1/completions", "", completionBody(true))
		},
	}
	for name, call := range calls {
		inWorld(t, func(w *world) {
			w.serve("s1", fleet.RoleService, "lodgement", w.closeReused(w.lodge(nil)))
			w.serve("s2", fleet.RoleService, "lookup", w.closeReused(w.lodge(nil)))
			w.serve("e1", fleet.RoleEngine, "entry-text", w.closeReused(w.generate("e1", nil)))
			n := w.node("a")
			for _, key := range []string{"k1", "k2", "k3"} {
				expect(t, call(n, key), http.StatusOK, 0)
			}
			if sent, dials := w.ran("sent"), int(n.dials.Load()); sent != 3 || dials != 3 {
				t.Errorf("%s: the server received %d requests for 3 attempts on %d connections", name, sent, dials)
			}
		})
	}
}
