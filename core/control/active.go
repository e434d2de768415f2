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

// activeRequest is a request that the node is responsible for.
type activeRequest struct {
	request.Request
	position     chart.Instance
	machine      *chart.Machine[*activeRequest]
	organisation request.Organisation
	class        request.Class
	fingerprint  quarantine.Fingerprint
	classConfig  config.Class
	// route and service are set for a forwarded call.
	route   *config.Route
	service string
	scope   cachekey.Scope
	prefix  []cachekey.Key
	// responded is true when the whole response is with the asker.
	responded    bool
	echoOptional bool
	// dispatches counts how often a connection was open for sending.
	dispatches int
	attempts   request.AttemptID
	attempt    *activeAttempt
	avoid      []fleet.ServerID
	// backoff is the delay before the next attempt.
	backoff time.Duration
}

// activeAttempt is one attempt of a request at a backend server.
type activeAttempt struct {
	id        request.AttemptID
	server    *fleet.Server
	position  chart.Instance
	startedAt time.Time
	choice    placement.Choice
	// weights is the version that the server had loaded when it was chosen.
	weights int
	// store is the source of the planned import, or nil.
	store *fleet.Store
	// pendingBytes is the part of the store's PendingBytes that is due to the
	// attempt.
	pendingBytes int64
	// prefillTokens is the part of the server's PrefillTokens that is due to the
	// attempt; it is 0 after the first token.
	prefillTokens int
	// backlogAtSend is the estimated prompt work of the server when the attempt was
	// sent, including that of the attempt.
	backlogAtSend int
	// firstTokenAt is when the first token arrived, or zero.
	firstTokenAt time.Time
	// prefillAtFirstToken is the server's PrefillTokens when the first token arrived.
	prefillAtFirstToken int
	// suspect is true when the attempt counts as a suspect on its server.
	suspect bool
	// connectionDenied is true when the node refused to send on the open connection.
	connectionDenied bool
	// blockImport is the import before the attempt, or nil.
	blockImport *transfer
	// crashRecorded is true when the death of its server has been recorded.
	crashRecorded bool
}

// atMostOnce reports whether the request must not be repeated.
func (req *activeRequest) atMostOnce() bool {
	return req.KeyDigest != ""
}

// mayHaveRun reports whether any byte of the request may have reached a
// backend server.
func (req *activeRequest) mayHaveRun() bool {
	return req.dispatches > 0
}
