package event

// The events of requests.
var (
	RequestRefused   = register(2001, LevelInfo, "request refused", "request", "code", "execution")
	RequestDelivered = register(2002, LevelDebug, "request delivered", "request")
	CallDelivered    = register(2003, LevelInfo, "forwarded call delivered with a complete response", "request", "attempt", "server", "status", "first_ms", "total_ms")
	CallRefused      = register(2004, LevelInfo, "forwarded call finished without a complete response", "request", "code", "execution", "status", "detail", "retry_after_ms", "version")
	AttemptAssigned  = register(2300, LevelInfo, "request assigned to a backend server", "request", "attempt", "server", "route", "weights", "newer", "newer_ms", "prefix", "prompt", "prefill", "fetch", "save", "memory", "queue_ms", "version")
	AttemptFailed    = register(2301, LevelInfo, "attempt at a backend server failed", "request", "attempt", "server", "code")
	AttemptStopped   = register(2302, LevelInfo, "attempt ended because the backend server has outdated weights and did not start it in time", "request", "attempt", "server", "weights", "newest", "age_ms")
	CallsBroken      = register(2303, LevelInfo, "connection to a backend server broke while calls ran there", "server", "calls", "parts", "suspects", "quarantined")
	PartQuarantined  = register(2304, LevelInfo, "prompt part crashed backend servers and is quarantined", "part", "trial", "crashes", "needed", "server", "learned")
	PartInUse        = register(2305, LevelInfo, "calls with a quarantined prompt part are sent again", "part", "trial", "crashes", "needed", "server", "learned")
)

// The events of backend servers and cache stores.
var (
	ServerStateChanged = register(2311, LevelInfo, "backend server changed its state", "server", "serves", "from", "to", "cause", "failures", "in_flight", "reason")
	CacheStoreChanged  = register(2312, LevelInfo, "cache store changed its state", "store", "from", "to", "epoch", "tokens")
	RetryAfterInvalid  = register(2315, LevelInfo, "backend server asks for a delay that is not a number of seconds", "node", "server")
	PaceChanged        = register(2316, LevelInfo, "pace of calls to a backend server changed", "node", "server", "state", "rate", "cause")
	EvacuationChanged  = register(2317, LevelInfo, "operator started or ended the evacuation of a failure domain", "node", "domain", "active", "version")
	PartsFreed         = register(2313, LevelInfo, "cached parts of old weights were freed at a cache store", "store", "parts")
	PartsNotFreed      = register(2314, LevelInfo, "cached parts of old weights could not be freed at a cache store", "store", "parts", "code")
)

// The events of at-most-once records.
var (
	ClaimReleaseFailed   = register(2201, LevelError, "claim of a request that was not dispatched could not be released", "request")
	ResponseRecordFailed = register(2202, LevelError, "response of a non-idempotent request could not be recorded", "request")
)

// The events of the node itself.
var (
	NodeStarted      = register(2501, LevelInfo, "node started", "node", "domain", "listen")
	NodeStateChanged = register(2502, LevelInfo, "node changed its state", "state")
	PauseDetected    = register(2509, LevelInfo, "process was paused", "node", "paused_ms", "suspended")
	NodeStopped      = register(2503, LevelInfo, "node stopped")
	ControlQueueFull = register(2504, LevelError, "control queue is full; message refused", "message")
	AdminStopped     = register(2505, LevelError, "admin listener stopped")
	SettingsReloaded = register(2506, LevelInfo, "settings were reloaded", "faults")
	SettingsRejected = register(2507, LevelError, "settings are invalid; the current ones stay in use", "field", "code")
	LogLinesDropped  = register(2508, LevelError, "log lines were dropped because the log output was too slow", "lines")
)

// The events of peers.
var (
	PeerFailed = register(2551, LevelDebug, "call to a peer failed", "peer", "code")
)

// The events of configurations.
var (
	ConfigInForce     = register(2601, LevelInfo, "configuration is in force", "version", "author", "known_ms")
	ConfigKnown       = register(2605, LevelInfo, "newer configuration than the one in force exists", "node", "version", "in_force", "peer")
	ConfigReceived    = register(2606, LevelInfo, "entry of the configuration was received", "revision", "source", "peer")
	ConfigUnreadable  = register(2602, LevelError, "configuration cannot be parsed; the current one stays in force", "version", "code")
	ConfigRepaired    = register(2603, LevelInfo, "key-value service held an older configuration; the newer one was written back", "version", "replaced")
	IsolationChanged  = register(2607, LevelInfo, "cached parts that were made before are no longer shared", "node", "scope", "isolated")
	ConfigNotRepaired = register(2604, LevelError, "key-value service holds an older configuration and could not be repaired", "version", "replaced", "code")
)

// The events of platform services.
var (
	ServiceCallFailed  = register(2701, LevelInfo, "call to the key-value service failed", "call", "code")
	EntryRejected      = register(2703, LevelError, "entry of the key-value service cannot be used", "key", "revision", "code")
	EntryFeedFailed    = register(2704, LevelInfo, "entries of the key-value service cannot be watched; the last known ones stay in use", "source", "code")
	EntryFeedRecovered = register(2705, LevelInfo, "entries of the key-value service are watched again", "source")
	CacheFeedFailed    = register(2706, LevelInfo, "event feed of a cache store or an engine cannot be read", "target", "code")
	StoreReverted      = register(2707, LevelInfo, "key-value service came back from a copy; entries written since that copy are lost", "node", "era", "peer")
	VMListFailed       = register(2702, LevelInfo, "VM list did not respond; the last known list stays in use", "code")
)

// The events of orders to engines.
var (
	IssuerWaiting         = register(2751, LevelInfo, "node holds the issuer lease and waits for earlier orders to finish", "node", "revision")
	IssuerStarted         = register(2752, LevelInfo, "node started issuing orders to engines", "node", "fencing")
	IssuerStopped         = register(2753, LevelInfo, "node stopped issuing orders to engines", "node", "fencing")
	OrderSent             = register(2754, LevelInfo, "order sent to an engine", "node", "order", "server", "model", "weights")
	OrderDone             = register(2755, LevelInfo, "engine reached the desired state", "node", "order", "server")
	OrderFailed           = register(2756, LevelInfo, "order to an engine failed", "node", "order", "server", "failures")
	RolloutStarted        = register(2757, LevelInfo, "rollout started", "node", "model", "weights", "live", "done", "out")
	RolloutStalled        = register(2758, LevelError, "rollout makes no progress", "node", "model", "weights", "live", "done", "out")
	RolloutComplete       = register(2759, LevelInfo, "rollout is complete", "node", "model", "weights", "live", "done", "out")
	IssuerCallFailed      = register(2760, LevelInfo, "call for the issuer lease failed", "step", "code")
	EngineCallFailed      = register(2761, LevelInfo, "management call to an engine failed", "server", "code")
	WeightsWanted         = register(2762, LevelInfo, "operator set new weights", "model", "weights", "age_known")
	WeightsAgeLearned     = register(2765, LevelInfo, "age of named weights was learned from a peer", "node", "model", "weights", "peer", "age_ms")
	EngineWeightsReported = register(2763, LevelInfo, "engine reported weights other than the known ones", "server", "weights", "known")
	EngineWeightsInvalid  = register(2764, LevelError, "engine reported weights that are not a number", "server")
	IssuerScheduled       = register(2766, LevelInfo, "node scheduled when it contends for the issuer lease", "node", "rank", "delay_ms", "ready", "needed")
	OrderUnaccepted       = register(2767, LevelInfo, "engine has not accepted an order, which no longer counts as a load", "node", "order", "server", "accepted")
)

// The events of invariants.
var (
	InvariantFailed = register(2901, LevelError, "invariant failed", "invariant", "detail")
)

var catalogue []Event

// register adds an event to the catalogue and returns it.
func register(number Number, level Level, text string, fields ...string) Event {
	e := Event{Number: number, Level: level, Text: text, Fields: fields}
	catalogue = append(catalogue, e)
	return e
}
