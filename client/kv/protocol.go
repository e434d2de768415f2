package kv

// The paths of the service. A key is one path segment, escaped.
const (
	PathKeys  = "/kv"
	PathLease = "/lease"
	PathWatch = "/watch"
)

// The query parameters of the service.
const (
	QueryPrefix   = "prefix"
	QueryExpected = "expected"
	QueryAfter    = "after"
)

// PutRequest is the body of PUT /kv/{key}.
type PutRequest struct {
	Value []byte `json:"value"`
	// Expected is the revision that the key must have; Absent means that it must
	// not exist.
	Expected Revision `json:"expected"`
	Lease    LeaseID  `json:"lease,omitempty"`
}

// PutReply is the response to PUT /kv/{key}.
type PutReply struct {
	Revision Revision `json:"revision"`
}

// ListReply is the response to GET /kv?prefix=.
type ListReply struct {
	Entries  []Entry  `json:"entries"`
	Revision Revision `json:"revision"`
}

// GrantRequest is the body of POST /lease.
type GrantRequest struct {
	// TTLMS is the time to live in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
}

// GrantReply is the response to POST /lease.
type GrantReply struct {
	Lease LeaseID `json:"lease"`
}

// WatchReply is the response to GET /watch.
type WatchReply struct {
	Changes  []Change `json:"changes"`
	Revision Revision `json:"revision"`
}
