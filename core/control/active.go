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

// active is a request that the node is responsible for.
type active struct {
	request.Request
	position     chart.Instance
	machine      *chart.Machine[*active]
	organisation request.Organisation
	class        request.Class
	fingerprint  quarantine.Fingerprint
	rank         config.Class
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
	attempt    *attempt
	avoid      []fleet.ServerID
	// backoff is the delay before the next attempt.
	backoff time.Duration
}

// attempt is one attempt of a request at a backend server.
type attempt struct {
	id       request.AttemptID
	server   *fleet.Server
	position chart.Instance
	began    time.Time
	choice   placement.Choice
	// weights is the version that the server had loaded when it was chosen.
	weights int
	// store is the source of the planned import, or nil.
	store *fleet.Store
	// pending is the part of the store's PendingBytes that is due to the
	// attempt.
	pending int64
	// prefill is the part of the server's PrefillTokens that is due to the
	// attempt; it is 0 after the first token.
	prefill int
	// backlog is the estimated prompt work of the server when the attempt was
	// sent, including that of the attempt.
	backlog int
	// firstAt is when the first token arrived, or zero.
	firstAt time.Time
	// ownAtFirst is the server's PrefillTokens when the first token arrived.
	ownAtFirst int
	// suspect is true when the attempt counts as a suspect on its server.
	suspect bool
	// denied is true when the node refused to send on the open connection.
	denied bool
	// importing is the import before the attempt, or nil.
	importing *transfer
	// deathNoted is true when the death of its server has been recorded.
	deathNoted bool
}

// once reports whether the request must not be repeated.
func (a *active) once() bool {
	return a.KeyDigest != ""
}

// mayHaveRun reports whether any byte of the request may have reached a
// backend server.
func (a *active) mayHaveRun() bool {
	return a.dispatches > 0
}
