// Package forward defines what the frontend (node/ingress) and the sender
// (node/egress) of forwarded calls share: the decoded form of a call and of the
// headers of a response, and the interface of the protocol that encodes them.
package forward

import (
	"net/http"
	"strings"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/request"
)

// NoEventID is the event id of an event without one, and the last event id of a
// caller that does not resume a stream.
const NoEventID int64 = -1

// Call is the decoded form of the headers of a call.
type Call struct {
	ID request.ID
	// Timeout is how long the caller waits for the response.
	Timeout      time.Duration
	APIKeyDigest request.Digest
	PromptTokens int
	MaxTokens    int
	// LastEventID is the id of the last event that the caller has received, or
	// NoEventID.
	LastEventID int64
	Routing     request.Call
}

// ResponseInfo is the decoded form of the headers of a response.
type ResponseInfo struct {
	// MatchesAttempt is true when the response carries the id of the attempt.
	MatchesAttempt bool
	// Sealed is true when the response carries the seal that proves that it
	// comes from a server.
	Sealed bool
	// NotRun is true when the response states that the call did not run.
	NotRun bool
	// PromisesNotRun is true when callers take the status as a promise that the call has
	// not run and never will.
	PromisesNotRun bool
	// OtherServer is true when the server refused the call because it is not the
	// expected server or has loaded other weights than expected.
	OtherServer bool
	// Leaving is true when the response says that its sender leaves.
	Leaving bool
	// RetryAfter is for how long the sender of a 503 response wants no calls from this
	// node, 0 when it does not say, or InvalidRetryAfter. It is at most MaxRetryAfter.
	RetryAfter time.Duration
	// Weights is the weight version that the server has loaded, 0 when the
	// response has none, or InvalidWeights.
	Weights int
}

// Meaning is what a response says about the attempt that it answers.
type Meaning int

// The meanings of a response.
const (
	// ProvesNothing is a response that need not belong to the attempt, which may
	// have run.
	ProvesNothing Meaning = iota
	// ProvesNotRun is the refusal of the attempt, which has not run and never will.
	ProvesNotRun
	// UnprovenRefusal is the server's own response to the attempt, with a status that
	// promises the caller that the call has not run. The server does not state that, so
	// the call may have run.
	UnprovenRefusal
	// IsOutcome is the server's own response to the attempt.
	IsOutcome
)

// Meaning returns what the response says. A server in trouble may send a response
// again, so a refusal counts only with the id of the attempt.
func (i ResponseInfo) Meaning() Meaning {
	switch {
	case !i.MatchesAttempt:
		return ProvesNothing
	case i.NotRun:
		return ProvesNotRun
	case i.Sealed && i.PromisesNotRun:
		return UnprovenRefusal
	case i.Sealed:
		return IsOutcome
	}
	return ProvesNothing
}

const (
	// MaxRetryAfter bounds RetryAfter, so that a wrong value does not keep a server out
	// of use until the node restarts. After it the server is probed with one call.
	MaxRetryAfter = time.Hour
	// InvalidRetryAfter is the RetryAfter of a response whose header is not a number of
	// seconds.
	InvalidRetryAfter time.Duration = -1
)

// Notice returns what the server that was asked says about itself, and whether it says
// anything. The response of another server, or to another attempt, says nothing about
// that server.
func (i ResponseInfo) Notice() (control.Notice, bool) {
	if !i.MatchesAttempt || i.OtherServer {
		return control.Notice{}, false
	}
	return control.Notice{Leaving: i.Leaving, RetryAfter: i.RetryAfter}, i.Leaving || i.RetryAfter != 0
}

// InvalidWeights is the weight version of a response whose version header is not
// a valid number.
const InvalidWeights = -1

// Protocol encodes and decodes the headers of calls and responses. It makes no
// decisions.
type Protocol interface {
	// ReadinessPath returns the path of the load balancer's readiness check.
	ReadinessPath() string
	// DecodeCall decodes the headers of a call. It returns the error to refuse
	// the call with when they are malformed.
	DecodeCall(r *http.Request) (Call, *code.Error)
	// AttemptHeader returns the headers of an attempt at a server. callerHeader
	// holds the headers of the call, remaining is the time until its deadline,
	// and lastEventID is the last event received of a resumed stream, or
	// NoEventID.
	AttemptHeader(callerHeader http.Header, plan control.Forwarding, remaining time.Duration, lastEventID int64) http.Header
	// DecodeResponse decodes the headers of the response to the attempt with the
	// given id.
	DecodeResponse(id request.ID, response *http.Response) ResponseInfo
}

// hopByHopHeaders are the headers that apply to one connection and are not
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEndHeader returns a copy of the headers without hop-by-hop headers and
// without those that the Connection header lists.
func EndToEndHeader(header http.Header) http.Header {
	out := header.Clone()
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// RequestTarget returns the path and query of a call byte for byte as the caller sent
// them, without the scheme and host of a target in absolute form.
func RequestTarget(r *http.Request) string {
	target := r.RequestURI
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, found := strings.Cut(target, ":")
	if !found {
		return target
	}
	if authority, ok := strings.CutPrefix(rest, "//"); ok {
		rest = strings.TrimLeftFunc(authority, func(c rune) bool { return c != '/' && c != '?' })
		if !strings.HasPrefix(rest, "/") {
			rest = "/" + rest
		}
	}
	return rest
}
