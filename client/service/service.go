// Package service holds the headers of the plain services' HTTP protocol.
package service

// The headers of a call. The response echoes HeaderRequestID.
const (
	HeaderRequestID    = "Tanagerspread-Request-Id"
	HeaderOrganisation = "Tanagerspread-Organisation"
	// HeaderDeadline is the time left until the caller's deadline in
	// milliseconds.
	HeaderDeadline = "Tanagerspread-Deadline-Ms"
	// HeaderKeyDigest is the digest of the idempotency key.
	HeaderKeyDigest = "Tanagerspread-Idempotency-Digest"
)
