package callerconn

import (
	"context"
	"net"
	"net/http"

	"tanagerspread/node/memory"
)

const (
	// ManagementConnections bounds the connections to a port for readiness checks or for
	// operators, which have a few clients each.
	ManagementConnections = 16
	// managementBytes bounds the memory of these connections and their heads.
	managementBytes = 2 << 20
)

// Manage returns a listener over inner for the server of a management port: its connections
// and heads are bounded, and a connection can be closed for a new one at any time. The
// limits are enforced until the context ends.
func Manage(ctx context.Context, server *http.Server, inner net.Listener) net.Listener {
	l := NewListener(inner, Options{Budget: memory.NewBudget(managementBytes), MaxConnections: ManagementConnections})
	Attach(server)
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// No handler reads a body, so that net/http waits for its end.
		FromContext(r.Context()).BeginBody()
		handler.ServeHTTP(w, r)
	})
	go l.Run(ctx)
	return l
}
