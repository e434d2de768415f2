// Package service defines the headers of the HTTP protocol of plain services.
package service

// The headers of a request. The response repeats HeaderRequestID.
const (
	HeaderRequestID    = "Tanagerspread-Request-Id"
	HeaderOrganisation = "Tanagerspread-Organisation"
	// HeaderDeadline is the time left until the caller's deadline in
	// milliseconds.
	HeaderDeadline = "Tanagerspread-Deadline-Ms"
	// HeaderKeyDigest is the digest of the idempotency key.
	HeaderKeyDigest = "Tanagerspread-Idempotency-Digest"
)
