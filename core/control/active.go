package control

import (
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
)

// active is a request that the node is responsible for.
type active struct {
	request.Request
	position     chart.Instance
	machine      *chart.Machine[*active]
	organisation request.Organisation
	class        request.Class
	rank         config.Class
	scope        cachekey.Scope
	prefix       []cachekey.Key
	claimed      bool
	// dispatches counts how often a connection was open for sending.
	dispatches int
	attempts   request.AttemptID
	attempt    *attempt
	avoid      []fleet.ServerID
	// ending is the refusal that is reported once the claim is released.
	ending *code.Error
}

// attempt is one attempt of a request at a backend server.
type attempt struct {
	id       request.AttemptID
	server   *fleet.Server
	position chart.Instance
	began    time.Time
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
