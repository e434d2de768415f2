package code

// The result codes. The table below has the meaning of each one. The constants
// mirror the published names, which are fixed: there, "answer" is what the texts
// call a response, and "away" means that a service or peer is unreachable.
const (
	BodyTooLarge           Code = 1001
	MalformedBody          Code = 1002
	UnknownModel           Code = 1003
	UnknownService         Code = 1004
	MissingIdempotencyKey  Code = 1005
	MalformedHeader        Code = 1006
	SlowCaller             Code = 1007
	UnknownRoute           Code = 1008
	TooManyItems           Code = 1009
	RequestInProgress      Code = 1010
	MissingToken           Code = 1101
	UnknownToken           Code = 1102
	ModelNotAllowed        Code = 1103
	KeyReused              Code = 1201
	InProgress             Code = 1202
	OutcomeUnknown         Code = 1203
	ClaimUnavailable       Code = 1204
	AnswerNotKept          Code = 1205
	NoServer               Code = 1301
	BackendLost            Code = 1302
	BackendSilent          Code = 1303
	AnswerTruncated        Code = 1304
	AnswerMismatched       Code = 1305
	Quarantined            Code = 1306
	BackendRefused         Code = 1307
	DialRefused            Code = 1308
	RetriesExhausted       Code = 1309
	RetriesExhaustedNotRun Code = 1310
	AnswerTooLarge         Code = 1311
	QuarantinedRan         Code = 1312
	OutdatedWeights        Code = 1313
	PartQuarantined        Code = 1314
	OrganisationLimit      Code = 1401
	DeadlineTooShort       Code = 1402
	DeadlinePassedNotRun   Code = 1403
	DeadlinePassed         Code = 1404
	QueueFull              Code = 1405
	CallerGone             Code = 1406
	Starting               Code = 1501
	Draining               Code = 1502
	Overloaded             Code = 1503
	Fenced                 Code = 1504
	RuleMalformed          Code = 1601
	RuleUnattributed       Code = 1602
	RuleConflict           Code = 1603
	VersionConflict        Code = 1604
	ConfigTooLarge         Code = 1605
	NotAccepted            Code = 1606
	OutcomeOfApplyUnknown  Code = 1607
	RuleUnresolved         Code = 1608
	RuleUnused             Code = 1609
	LimitsConflict         Code = 1610
	VersionNotHigher       Code = 1611
	RuleChanged            Code = 1612
	KeyValueAway           Code = 1701
	CompareFailed          Code = 1702
	LeaseLapsed            Code = 1703
	VMListAway             Code = 1704
	StoreAway              Code = 1705
	StoreFull              Code = 1706
	BlockInvalid           Code = 1707
	OrderRefused           Code = 1708
	EngineAway             Code = 1709
	KeyMissing             Code = 1710
	RateLimited            Code = 1711
	BlockMissing           Code = 1712
	HistoryGone            Code = 1713
	EntryInvalid           Code = 1714
	SettingUnknown         Code = 1801
	SettingMissing         Code = 1802
	SettingInvalid         Code = 1803
	SettingRepeated        Code = 1804
	SettingHostName        Code = 1805
	SettingsUnreadable     Code = 1806
	ChartInvalid           Code = 1807
	Internal               Code = 1901
	InvariantFailed        Code = 1902
	PeerAway               Code = 1903
)

// table lists every code in ascending order.
var table = []Info{
	{BodyTooLarge, "body-too-large", 413, NotRun, RetryNever, "the request body is larger than the limit"},
	{MalformedBody, "malformed-body", 400, NotRun, RetryNever, "the request body is not valid JSON of the expected form"},
	{UnknownModel, "unknown-model", 404, NotRun, RetryNever, "no rule defines the model"},
	{UnknownService, "unknown-service", 404, NotRun, RetryNever, "no rule defines the service"},
	{MissingIdempotencyKey, "missing-idempotency-key", 400, NotRun, RetryNever, "the route is non-idempotent and the call has no Idempotency-Key"},
	{MalformedHeader, "malformed-header", 400, NotRun, RetryNever, "a header has an invalid, repeated or oversized value"},
	{SlowCaller, "slow-caller", 408, NotRun, RetryLater, "the caller did not send its request in time"},
	{UnknownRoute, "unknown-route", 404, NotRun, RetryNever, "the path or method is not served"},
	{TooManyItems, "too-many-items", 400, NotRun, RetryNever, "the request has more messages or fields than the limit"},
	{RequestInProgress, "request-in-progress", 409, Unknown, RetryNever, "a request with this id is in progress at the node"},
	{MissingToken, "missing-token", 401, NotRun, RetryNever, "the request has no bearer token"},
	{UnknownToken, "unknown-token", 401, NotRun, RetryNever, "no rule contains the bearer token"},
	{ModelNotAllowed, "model-not-allowed", 403, NotRun, RetryNever, "the organisation may not use the model or service"},
	{KeyReused, "key-reused", 422, NotRun, RetryNever, "the idempotency key was used with another body"},
	{InProgress, "in-progress", 409, Unknown, RetrySameKey, "a request with this idempotency key is in progress"},
	{OutcomeUnknown, "outcome-unknown", 409, Unknown, RetrySameKey, "the request with this idempotency key may have run and its response is lost"},
	{ClaimUnavailable, "claim-unavailable", 503, NotRun, RetryLater, "the key-value service is unreachable, so a non-idempotent request is refused"},
	{AnswerNotKept, "answer-not-kept", 409, Ran, RetrySameKey, "the request with this idempotency key ran and its response was too large to keep"},
	{NoServer, "no-server", 503, NotRun, RetryLater, "no backend server can take the request"},
	{BackendLost, "backend-lost", 502, Unknown, RetryLater, "the backend server failed during the request"},
	{BackendSilent, "backend-silent", 504, Unknown, RetryLater, "the backend server stopped sending within the allowed time"},
	{AnswerTruncated, "answer-truncated", 502, Unknown, RetryLater, "the response ended before it was complete"},
	{AnswerMismatched, "answer-mismatched", 502, Unknown, RetryLater, "the response of the backend server belongs to another request"},
	{Quarantined, "quarantined", 422, NotRun, RetryNever, "the request crashed backend servers and is quarantined"},
	{BackendRefused, "backend-refused", 502, NotRun, RetryLater, "the backend server refused the request before running it"},
	{DialRefused, "dial-refused", 502, NotRun, RetryLater, "no connection to a backend server could be opened"},
	{RetriesExhausted, "retries-exhausted", 503, Unknown, RetryLater, "the retry budget is used up after a failed attempt"},
	{RetriesExhaustedNotRun, "retries-exhausted-not-run", 503, NotRun, RetryLater, "the retry budget is used up and no attempt reached a backend server"},
	{AnswerTooLarge, "answer-too-large", 502, Unknown, RetryNever, "the response is larger than the limit"},
	{QuarantinedRan, "quarantined-ran", 502, Unknown, RetryNever, "the request crashed backend servers while it ran and is quarantined"},
	{OutdatedWeights, "outdated-weights", 504, Unknown, RetryLater, "the backend server has outdated weights and did not start the request in time"},
	{PartQuarantined, "part-quarantined", 503, NotRun, RetryLater, "a part of the prompt crashed backend servers and is quarantined"},
	{OrganisationLimit, "organisation-limit", 429, NotRun, RetryLater, "the organisation has reached its rate limit"},
	{DeadlineTooShort, "deadline-too-short", 504, NotRun, RetryNever, "the predicted wait is longer than the caller's deadline"},
	{DeadlinePassedNotRun, "deadline-passed-not-run", 504, NotRun, RetryLater, "the deadline passed before the request was dispatched"},
	{DeadlinePassed, "deadline-passed", 504, Unknown, RetryLater, "the deadline passed after the request was dispatched"},
	{QueueFull, "queue-full", 429, NotRun, RetryLater, "the queue of the request's class is full"},
	{CallerGone, "caller-gone", 499, Unknown, RetryLater, "the caller closed the connection"},
	{Starting, "starting", 503, NotRun, RetryLater, "the node has no configuration yet"},
	{Draining, "draining", 503, NotRun, RetryLater, "the node is stopping"},
	{Overloaded, "overloaded", 503, NotRun, RetryLater, "the control queue of the node is full"},
	{Fenced, "fenced", 503, NotRun, RetryLater, "the node cannot confirm that its configuration is in force"},
	{RuleMalformed, "rule-malformed", 400, NotRun, RetryNever, "a rule cannot be parsed"},
	{RuleUnattributed, "rule-unattributed", 400, NotRun, RetryNever, "a rule has no comment that says who asked for it"},
	{RuleConflict, "rule-conflict", 400, NotRun, RetryNever, "two rules contradict each other"},
	{VersionConflict, "version-conflict", 409, NotRun, RetryLater, "another configuration was applied first"},
	{ConfigTooLarge, "config-too-large", 413, NotRun, RetryNever, "the rules are larger than a value of the key-value service may be"},
	{NotAccepted, "not-accepted", 202, Ran, RetryLater, "the configuration is committed but not yet in force on every node"},
	{OutcomeOfApplyUnknown, "outcome-of-apply-unknown", 503, Unknown, RetryLater, "the response to the configuration write was lost and the outcome could not be read back"},
	{RuleUnresolved, "rule-unresolved", 400, NotRun, RetryNever, "a rule names something that no rule defines"},
	{RuleUnused, "rule-unused", 400, NotRun, RetryNever, "a rule has no effect on any call"},
	{LimitsConflict, "limits-conflict", 400, NotRun, RetryNever, "two limits contradict each other, or a limit contradicts its entry"},
	{VersionNotHigher, "version-not-higher", 409, NotRun, RetryNever, "the version is not higher than the one in force, so nodes ignore it"},
	{RuleChanged, "rule-changed", 200, NotRun, RetryNever, "a rule differs from the version in force"},
	{KeyValueAway, "key-value-away", 503, Unknown, RetryLater, "the key-value service did not respond"},
	{CompareFailed, "compare-failed", 409, NotRun, RetryNever, "the compare-and-swap found another revision"},
	{LeaseLapsed, "lease-lapsed", 410, NotRun, RetryNever, "the lease has expired"},
	{VMListAway, "vm-list-away", 503, Unknown, RetryLater, "the VM list did not respond"},
	{StoreAway, "store-away", 503, Unknown, RetryLater, "the store VM did not respond"},
	{StoreFull, "store-full", 507, NotRun, RetryLater, "the store VM has no free space"},
	{BlockInvalid, "block-invalid", 422, NotRun, RetryNever, "a cache block failed verification"},
	{OrderRefused, "order-refused", 409, NotRun, RetryNever, "the backend server refused an order with an old fencing number"},
	{EngineAway, "engine-away", 503, Unknown, RetryLater, "the model engine did not respond"},
	{KeyMissing, "key-missing", 404, NotRun, RetryNever, "the key-value service has no such key"},
	{RateLimited, "rate-limited", 429, NotRun, RetryLater, "the platform service refused the call because of its rate limit"},
	{BlockMissing, "block-missing", 404, NotRun, RetryNever, "the store VM does not hold the block or manifest"},
	{HistoryGone, "history-gone", 410, NotRun, RetryLater, "the key-value service no longer has the history that a watch requested"},
	{EntryInvalid, "entry-invalid", 422, NotRun, RetryNever, "an entry of the key-value service cannot be used"},
	{SettingUnknown, "setting-unknown", 400, NotRun, RetryNever, "a settings key or section is unknown"},
	{SettingMissing, "setting-missing", 400, NotRun, RetryNever, "a required setting is missing"},
	{SettingInvalid, "setting-invalid", 400, NotRun, RetryNever, "a setting has an invalid value"},
	{SettingRepeated, "setting-repeated", 400, NotRun, RetryNever, "a setting is given twice"},
	{SettingHostName, "setting-host-name", 400, NotRun, RetryNever, "an address is not an IP address with a port"},
	{SettingsUnreadable, "settings-unreadable", 400, NotRun, RetryNever, "the settings file cannot be read"},
	{ChartInvalid, "chart-invalid", 400, NotRun, RetryNever, "a state chart breaks a rule of the loader"},
	{Internal, "internal", 500, Unknown, RetryLater, "an unexpected condition inside the node"},
	{InvariantFailed, "invariant-failed", 500, Unknown, RetryLater, "an invariant failed and the response was withheld"},
	{PeerAway, "peer-away", 503, Unknown, RetryLater, "a peer did not respond"},
}
