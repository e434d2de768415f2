package control

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/cachekey"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/placement"
	"tanagerspread/core/quarantine"
	"tanagerspread/core/request"
)

// activeRequest is a request in progress that the node is responsible for.
type activeRequest struct {
	request.Request
	chart        chart.Instance
	machine      *chart.Machine[*activeRequest]
	organisation request.Organisation
	// isolated is whether the organisation shared no cached parts with others when the
	// request arrived.
	isolated    bool
	class       request.Class
	fingerprint quarantine.Fingerprint
	classConfig config.Class
	// route and service are set for a forwarded call.
	route   *config.Route
	service string
	scope   cachekey.Scope
	prefix  []cachekey.Key
	// responded is true when the requester has the complete response.
	responded    bool
	echoOptional bool
	// dispatches counts the attempts that may have reached a backend server: each
	// one for which a connection was ready for sending.
	dispatches int
	attempts   request.AttemptID
	attempt    *activeAttempt
	avoid      []fleet.ServerID
	// onTimeUntil is when a waiting call is no longer expected to be answered on time,
	// startBy when its caller is about to abandon it. Both are set for forwarded calls.
	onTimeUntil time.Time
	startBy     time.Time
	// advisedDelay is the delay before a repeat that a refusal advises, or 0 for that
	// of the code.
	advisedDelay time.Duration
	// cacheMovesSlowly is true when the shared parts of the call take long to move.
	cacheMovesSlowly bool
	// memory is the memory that the call occupies on an engine.
	memory fleet.MemoryUse
	// backoff is the delay before the next attempt.
	backoff time.Duration
}

// activeAttempt is one attempt of a request at a backend server.
type activeAttempt struct {
	id        request.AttemptID
	server    *fleet.Server
	chart     chart.Instance
	startedAt time.Time
	choice    placement.Choice
	// weights is the version that the server had loaded when it was chosen.
	weights int
	// store is the source of the planned import, or nil.
	store *fleet.Store
	// pendingBytes is the attempt's share of the store's PendingBytes.
	pendingBytes int64
	// prefillTokens is the attempt's share of the server's PrefillTokens; it is 0
	// after the first token.
	prefillTokens int
	// backlogAtSend is the estimated backlog of the server in tokens when the
	// attempt was sent, including that of the attempt.
	backlogAtSend int
	// firstTokenAt is when the first token arrived, or zero.
	firstTokenAt time.Time
	// prefillAtFirstToken is the server's PrefillTokens when the first token
	// arrived.
	prefillAtFirstToken int
	// suspect is true when the attempt counts as a suspect on its server.
	suspect bool
	// sentAt is when the node allowed the attempt to be sent, or zero. conclusive is true when
	// it ended by a response of the server or of its connection.
	sentAt     time.Time
	conclusive bool
	// connectionDenied is true when the node refused to send on the open
	// connection.
	connectionDenied bool
	// fetchWait is the expected time until the fetches of the attempt have ended.
	fetchWait time.Duration
	// opensPaced is true while the attempt opens a connection to a server whose rate
	// of calls is limited.
	opensPaced bool
	// blockImport is the import of cache blocks before the attempt, or nil.
	blockImport *transfer
	// survived is true once the server has shown that the call does not crash it.
	survived bool
	// crashRecordedAt is when a crash of the server was last recorded, or zero.
	crashRecordedAt time.Time
	// workUntil is when the engine was told to stop working on the call because of
	// its weights, or zero.
	workUntil time.Time
	// stopSent is true when the attempt was ordered to stop at its start limit.
	stopSent bool
}

// atMostOnce reports whether the request has an idempotency key, so that it
// must not run twice.
func (req *activeRequest) atMostOnce() bool {
	return req.KeyDigest != ""
}

// mayHaveRun reports whether any byte of the request may have reached a
// backend server.
func (req *activeRequest) mayHaveRun() bool {
	return req.dispatches > 0
}

// sharedParts returns the prompt parts of a forwarded call that other calls may share,
// which are all but the last one.
func (req *activeRequest) sharedParts() []request.Part {
	if req.Call == nil || len(req.Call.Parts) == 0 {
		return nil
	}
	return req.Call.Parts[:len(req.Call.Parts)-1]
}
