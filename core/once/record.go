// Package once decides what happens to at-most-once records. A record protects
// one non-idempotent request from a second dispatch: only the node that creates
// the claim may dispatch the request, and only once. The package decides on the
// results of reads and compare-and-swaps; traffic goroutines perform them.
package once

import (
	"time"

	"tanagerspread/core/request"
)

// MaxBodyBytes bounds the response body that a record keeps.
const MaxBodyBytes = 64 << 10

// clockMargin is added to a record's deadline before its outcome counts as
// unknown, because the clocks of two nodes may differ.
const clockMargin = 5 * time.Second

// Status is the state of a request according to its stored record.
type Status string

// The statuses of a stored record.
const (
	// Claimed means that the holder of the claim may dispatch the request or
	// has done so.
	Claimed Status = "claimed"
	// Released means that no holder dispatched the request.
	Released Status = "released"
	// Finished means that the request ran and its response arrived completely.
	Finished Status = "finished"
)

// Record is one at-most-once record.
type Record struct {
	// Claim identifies the holder; each request that a client sends has a
	// claim of its own.
	Claim request.ID
	Node  string
	// BodyDigest is the hexadecimal digest of method, path and body.
	BodyDigest string
	ClaimedAt  time.Time
	// Deadline is the latest time at which the holder's request finishes.
	Deadline time.Time
	Status   Status
	Response Response
}

// Response is the response as a finished record keeps it.
type Response struct {
	// HTTPStatus is the status code of the response.
	HTTPStatus  int
	ContentType string
	// Digest is the hexadecimal digest of the body.
	Digest string
	// Kept is false when the body is larger than MaxBodyBytes.
	Kept bool
	Body []byte
}
