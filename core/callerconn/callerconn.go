// Package callerconn decides which connections of callers are closed while the memory
// or the connections of a node are scarce.
package callerconn

import "time"

// Phase is what a connection does.
type Phase int32

// The phases of a connection.
const (
	// Head is a connection whose next request has no complete head. A new
	// connection is in this phase.
	Head Phase = iota
	// Body is a connection whose request body is being read.
	Body
	// Waiting is a connection whose call waits for a server.
	Waiting
	// Writing is a connection on which a write has not finished.
	Writing
	// Idle is a connection between two requests.
	Idle
	// Closing is a connection that the node closes. It does not leave this phase.
	Closing
)

// MinProgress is the number of bytes that a connection with a body or a write transfers
// within a header timeout at least, about 5 KB/s at 3 s.
const MinProgress = 16 << 10

// Limits are the limits on the requests of callers. A zero value means that the
// configuration has none.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	// HeaderTimeout is how long a head may take, IdleTimeout how long a connection
	// may be idle.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// strictLimits are honoured always, calmLimits while neither memory nor connections are
// scarce. A larger limit of the configuration replaces either.
var (
	strictLimits = Limits{MaxHeaderBytes: 32 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	calmLimits   = Limits{HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
)

// InForce returns the limits that are in force with the configured ones.
func InForce(configured Limits) Limits {
	return configured.AtLeast(strictLimits)
}

// AtLeast returns the larger one of each limit.
func (l Limits) AtLeast(other Limits) Limits {
	return Limits{
		MaxHeaderBytes: max(l.MaxHeaderBytes, other.MaxHeaderBytes),
		MaxBodyBytes:   max(l.MaxBodyBytes, other.MaxBodyBytes),
		HeaderTimeout:  max(l.HeaderTimeout, other.HeaderTimeout),
		IdleTimeout:    max(l.IdleTimeout, other.IdleTimeout),
	}
}

// View is a connection at one moment.
type View struct {
	Phase Phase
	// Since is when the phase began.
	Since time.Time
	// Transferred is the number of bytes of the connection in both directions.
	Transferred int64
	// Admitted is true once a call on the connection was admitted.
	Admitted bool
}

// Mark is an earlier view of a connection, against which progress is measured.
type Mark struct {
	At   time.Time
	View View
}

// Overdue reports whether a connection is to be closed, and returns the mark for the next
// call. scarce is true while memory or connections are scarce. A client within the limits
// is never overdue in phases Head and Idle; without progress in phases Body and Writing it
// is overdue only while scarce is true.
func Overdue(now time.Time, mark Mark, view View, limits Limits, scarce bool) (Mark, bool) {
	if !scarce {
		limits = limits.AtLeast(calmLimits)
	}
	switch view.Phase {
	case Head:
		return mark, now.Sub(view.Since) > limits.HeaderTimeout
	case Idle:
		return mark, now.Sub(view.Since) > limits.IdleTimeout
	case Waiting, Closing:
		return mark, false
	}
	if mark.View.Phase != view.Phase || !mark.View.Since.Equal(view.Since) {
		return Mark{At: now, View: view}, false
	}
	if now.Sub(mark.At) <= limits.HeaderTimeout {
		return mark, false
	}
	return Mark{At: now, View: view}, scarce && view.Transferred-mark.View.Transferred < MinProgress
}

// Eviction says when a connection may be closed to make room for a new one.
type Eviction int

// The ranks of connections, in the order in which they are closed.
const (
	// Never is a connection with a call in progress.
	Never Eviction = iota
	// Last is an idle connection that its client may reuse. A client whose request
	// crosses the close sends it again, because the node has not read it, while a new
	// client would not be served at all.
	Last
	// First is any other connection.
	First
)

// EvictionOf returns the rank of a connection. A client may reuse a connection that was idle
// for four fifths of the idle timeout; one that never made an admitted call has no claim to
// that, or a few clients without a valid call would keep all connections of the node.
func EvictionOf(now time.Time, view View, limits Limits) Eviction {
	switch view.Phase {
	case Head, Body:
		return First
	case Idle:
		if view.Admitted && now.Sub(view.Since) <= limits.IdleTimeout {
			return Last
		}
		return First
	}
	return Never
}
