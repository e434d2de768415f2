package event

// The events of requests.
var (
	RequestRefused   = add(2001, LevelInfo, "request refused", "request", "code", "execution")
	RequestDelivered = add(2002, LevelDebug, "request delivered", "request")
	AttemptFailed    = add(2301, LevelInfo, "attempt at a backend server failed", "request", "attempt", "server", "code")
)

// The events of at-most-once records.
var (
	ReleaseFailed  = add(2201, LevelError, "claim of an unsent request could not be released", "request")
	CompleteFailed = add(2202, LevelError, "response of a non-idempotent request could not be recorded", "request")
)

// The events of a node's life.
var (
	NodeStarted      = add(2501, LevelInfo, "node started", "node", "domain", "listen")
	NodeStateChanged = add(2502, LevelInfo, "node changed its state", "state")
	NodeStopped      = add(2503, LevelInfo, "node stopped")
	QueueFull        = add(2504, LevelError, "control queue is full; message refused", "message")
	AdminStopped     = add(2505, LevelError, "admin listener stopped")
)

// The events of peers.
var (
	PeerFailed = add(2551, LevelDebug, "call of a peer failed", "peer", "code")
)

// The events of configurations.
var (
	ConfigInForce     = add(2601, LevelInfo, "configuration is in force", "version", "author")
	ConfigUnreadable  = add(2602, LevelError, "configuration cannot be parsed; the one in force stays", "version", "code")
	ConfigRepaired    = add(2603, LevelInfo, "key-value service held an older configuration; the newer one was written back", "version", "replaced")
	ConfigNotRepaired = add(2604, LevelError, "key-value service holds an older configuration and could not be repaired", "version", "replaced", "code")
)

// The events of platform services.
var (
	ServiceCallFailed = add(2701, LevelInfo, "call of the key-value service failed", "call", "code")
	VMListFailed      = add(2702, LevelInfo, "VM list did not answer; the last list stays in use", "code")
)

// The events of invariants.
var (
	InvariantFailed = add(2901, LevelError, "invariant failed", "invariant", "detail")
)

var catalogue []Event

func add(number Number, level Level, text string, fields ...string) Event {
	e := Event{Number: number, Level: level, Text: text, Fields: fields}
	catalogue = append(catalogue, e)
	return e
}
