// Package forward holds what the front and the sender of forwarded calls share:
// the typed form of a call and of a response's headers, and the interface of
// the protocol that encodes them.
package forward

import (
	"net/http"
	"strings"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/request"
)

// NoEventID is the last event of a caller that does not resume a stream.
const NoEventID int64 = -1

// Call is what the headers of a call say.
type Call struct {
	ID request.ID
	// Timeout is how long the caller waits.
	Timeout      time.Duration
	APIKeyDigest request.Digest
	PromptTokens int
	MaxTokens    int
	// LastEventID is the last event that the caller has, or NoEvent.
	LastEventID int64
	Routing     request.Call
}

// ResponseInfo is what the headers of a response say.
type ResponseInfo struct {
	// MatchesAttempt is true when the response names the attempt that it answers.
	MatchesAttempt bool
	// Sealed is true when a server vouches for the response.
	Sealed bool
	// NotRun is true when the server promises that it did not run the call.
	NotRun bool
	// OtherServer is true when another server than the expected one has the
	// address, or the server has other weights.
	OtherServer bool
	// Weights is the weight version that the server has loaded, 0 when it did not
	// say, or Unreadable.
	Weights int
}

// InvalidWeights stands for a number that the server sent but that is none.
const InvalidWeights = -1

// Protocol translates calls and responses. It decides nothing.
type Protocol interface {
	// ReadinessPath returns the path of the load balancer's check.
	ReadinessPath() string
	// DecodeCall reads the headers of a call, or returns the code that refuses it.
	DecodeCall(r *http.Request) (Call, *code.Error)
	// AttemptHeader returns the headers of an attempt at a server.
	AttemptHeader(callerHeader http.Header, plan control.Forwarding, remaining time.Duration, lastEventID int64) http.Header
	// DecodeResponse tells what the headers of a response say.
	DecodeResponse(id request.ID, response *http.Response) ResponseInfo
}

// hopByHopHeaders concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEndHeader returns a copy of the headers without those that concern one
// connection only, and without those that the Connection header names.
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

// RequestTarget returns path and query of a call as the caller sent them. A call in
// absolute form loses its scheme and host.
func RequestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}
