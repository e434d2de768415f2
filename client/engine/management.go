package engine

import "tanagerspread/client/store"

// Load is the response to GET /load. It lags behind the state of the engine.
type Load struct {
	Running       int  `json:"running"`
	Waiting       int  `json:"waiting"`
	PrefillTokens int  `json:"prefill_tokens"`
	Leaving       bool `json:"leaving,omitempty"`
}

// Desired is the state that an order requires of an engine.
type Desired struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Weights int    `json:"weights"`
	// Role is what the engine does, for example "mixed", "prefill" or
	// "decode".
	Role string `json:"role,omitempty"`
}

// Order is the body of POST /orders. Sending the same order again has no
// effect; a failed order is repeated under another identifier.
type Order struct {
	ID string `json:"order_id"`
	// Fencing is the fencing number of the issuer. Some engines refuse a number
	// that is lower than the highest that they have received; others ignore it.
	Fencing uint64 `json:"fencing"`
	// DeadlineMS is the time left for the order in milliseconds.
	DeadlineMS int64   `json:"deadline_ms"`
	Desired    Desired `json:"desired"`
}

// The states of an order.
const (
	OrderLoading = "loading"
	OrderDone    = "done"
	OrderFailed  = "failed"
)

// Status is the response to GET and POST /orders.
type Status struct {
	// Current is the state in which the engine serves new requests.
	Current Desired `json:"current"`
	// OrderID, OrderState and Detail describe the newest order.
	OrderID    string `json:"order_id,omitempty"`
	OrderState string `json:"order_state,omitempty"`
	Detail     string `json:"detail,omitempty"`
	// Fencing is the highest fencing number that the engine has received.
	Fencing uint64 `json:"fencing"`
}

// TransferRequest is the body of POST /cache/export and /cache/import.
type TransferRequest struct {
	// Store is the IP address and port of the store VM.
	Store     string `json:"store"`
	Namespace string `json:"cache_namespace"`
	// Keys are the block keys of a prompt in the order of the prompt.
	Keys []string `json:"keys"`
	// Skip is the number of leading blocks that an export leaves out.
	Skip int `json:"skip,omitempty"`
	// Generation is the generation number of the blocks of an export.
	Generation uint64 `json:"generation,omitempty"`
	// Expected describes the blocks of an import in the order of Keys. The
	// engine imports a block only when its content matches.
	Expected []store.Meta `json:"expected,omitempty"`
}

// TransferReply is the response to POST /cache/export and /cache/import. A
// transfer that stopped early has moved leading blocks without gaps.
type TransferReply struct {
	// Blocks is the number of leading blocks that are now at the target.
	Blocks int `json:"blocks"`
	// Written describes the blocks that an export wrote. No manifest lists them
	// yet.
	Written []store.Meta `json:"written,omitempty"`
	// Moved and Bytes are the number of blocks and bytes that crossed the link.
	Moved int   `json:"moved"`
	Bytes int64 `json:"bytes"`
	// Code is the code of the error that stopped the transfer, or 0.
	Code   int    `json:"code,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// The kinds of cache events.
const (
	CacheStored = "stored"
	// CacheFreed is the kind of the event for a block that was evicted.
	CacheFreed = "freed"
)

// CacheEvent reports that the engine has stored or evicted a block.
type CacheEvent struct {
	Sequence  uint64 `json:"seq"`
	Kind      string `json:"kind"`
	Namespace string `json:"cache_namespace"`
	Key       string `json:"key"`
}

// QueryAfter is the query parameter of GET /cache/events: the sequence number
// after which to start.
const QueryAfter = "after"

// EventsReply is the response to GET /cache/events. Events arrive late and
// their sequence numbers have gaps.
type EventsReply struct {
	Events []CacheEvent `json:"events"`
	// Last is the sequence number after which the next call starts.
	Last uint64 `json:"last"`
}
