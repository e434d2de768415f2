package ingress_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"tanagerspread/core/fleet"
)

// closeReusedConnections counts each request under the key "sent". It closes a
// connection after reading its second request.
func (c *cluster) closeReusedConnections(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		c.countRun("sent")
		if r.Context().Value(requestCountKey{}).(*atomic.Int32).Add(1) > 1 {
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(rw, r)
	})
}

// TestTransportSendsOnce guards against a transport that resends an attempt by
// itself after the server closed a reused connection. Retries are decided by the
// control thread.
func TestTransportSendsOnce(t *testing.T) {
	calls := map[string]func(n *clusterNode, key string) reply{
		"keyed post": func(n *clusterNode, key string) reply { return n.callLodgement(key) },
		"get":        func(n *clusterNode, key string) reply { return n.call(http.MethodGet, "/services/lookup/"+key, "", "") },
		"completion": func(n *clusterNode, _ string) reply {
			return n.call(http.MethodPost, "/v1/completions", "", completionBody(true))
		},
	}
	for name, call := range calls {
		runInCluster(t, func(c *cluster) {
			c.addServer("s1", fleet.RoleService, "lodgement", c.closeReusedConnections(c.countingService(nil)))
			c.addServer("s2", fleet.RoleService, "lookup", c.closeReusedConnections(c.countingService(nil)))
			c.addServer("e1", fleet.RoleEngine, "entry-text", c.closeReusedConnections(c.engineHandler("e1", nil)))
			n := c.addNode("a")
			for _, key := range []string{"k1", "k2", "k3"} {
				expectReply(t, call(n, key), http.StatusOK, 0)
			}
			if sent, dials := c.runCount("sent"), int(n.dials.Load()); sent != 3 || dials != 3 {
				t.Errorf("%s: the server received %d requests for 3 attempts on %d connections", name, sent, dials)
			}
		})
	}
}
