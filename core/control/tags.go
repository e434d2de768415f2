package control

import (
	"tanagerspread/chart"
	"tanagerspread/core/code"
)

// The tags of the charts that the control thread checks.
const (
	// tagPlaceable marks requests that wait for a backend server.
	tagPlaceable chart.Tag = "placeable"
	// tagDispatched marks requests that were sent to a backend server.
	tagDispatched chart.Tag = "dispatched"
	// tagWritesRecord marks requests whose at-most-once record is being written,
	// either with the response or to release the claim. Their deadline does not
	// shorten the timeout of this state.
	tagWritesRecord chart.Tag = "keeps_record"
	// tagReleasesClaim marks requests whose at-most-once claim is being released.
	tagReleasesClaim chart.Tag = "releases_claim"

	// tagOpens, tagAwaitsHeaders and tagReceives mark the states whose
	// timeouts bound the waits of an attempt; tagRuns marks attempts that were
	// sent and have not finished.
	tagOpens         chart.Tag = "opens"
	tagAwaitsHeaders chart.Tag = "awaits_headers"
	tagReceives      chart.Tag = "receives"
	tagRuns          chart.Tag = "runs"

	// tagPresent marks peers that are expected to respond, tagDead those that
	// are rarely asked for digests.
	tagPresent chart.Tag = "present"
	tagDead    chart.Tag = "dead"

	// tagHeld marks a session whose entry is written.
	tagHeld chart.Tag = "held"
	// tagAwaitsRewrite marks a session that is opened again after the key-value service
	// came back from a copy.
	tagAwaitsRewrite chart.Tag = "awaits_rewrite"
	// tagMayIssue marks an issuer that may send orders, tagAwaitsLease one that
	// has asked for a lease.
	tagMayIssue    chart.Tag = "may_issue"
	tagAwaitsLease chart.Tag = "awaits_lease"
	// tagStandsBy marks an issuer that waits before it contends for the lease.
	tagStandsBy chart.Tag = "stands_by"
	// tagCountsAsLoad marks orders whose engine counts as loading weights.
	tagCountsAsLoad chart.Tag = "counts_as_load"
	// tagConfirmed marks a configuration that is confirmed to be in force.
	tagConfirmed chart.Tag = "confirmed"
	// tagUnread marks a record of isolated organisations that was not read yet,
	// tagRecorded one that is up to date.
	tagUnread   chart.Tag = "unread"
	tagRecorded chart.Tag = "recorded"

	// tagMayTransfer marks imports whose blocks are verified and are to be
	// transferred, tagMayWriteManifest marks exports whose blocks are verified, so
	// that the manifest may be written.
	tagMayTransfer      chart.Tag = "may_transfer"
	tagMayWriteManifest chart.Tag = "may_seal"

	// tagReady marks a node that accepts new requests. tagDrainDelay marks the
	// state whose timeout the settings replace, tagDeparts the states in which
	// the node advertises to its peers that it is leaving.
	tagReady chart.Tag = "ready"
	// tagMayHoldIssuerLease marks a node that keeps the lease of the issuer. It
	// includes a stopping node, which works until it leaves.
	tagMayHoldIssuerLease chart.Tag = "may_hold_issuer_lease"
	tagDrainDelay         chart.Tag = "drain_delay"
	tagDeparts            chart.Tag = "departs"
	tagStopped            chart.Tag = "stopped"
	tagRefusesStarting    chart.Tag = "refuses_starting"
	tagRefusesFenced      chart.Tag = "refuses_fenced"
	tagRefusesDraining    chart.Tag = "refuses_draining"
)

// nodeRefusals lists the refusals of new requests by the tag of the node's state.
var nodeRefusals = []struct {
	tag    chart.Tag
	code   code.Code
	detail string
}{
	{tagRefusesStarting, code.Starting, "the node has no configuration yet"},
	{tagRefusesFenced, code.Fenced, "the node cannot confirm that its configuration is in force"},
	{tagRefusesDraining, code.Draining, "the node is stopping"},
}

// The tags that each chart must provide.
var (
	requestTags     = []chart.Tag{tagPlaceable, tagDispatched}
	onceTags        = []chart.Tag{tagPlaceable, tagDispatched, tagWritesRecord, tagReleasesClaim}
	attemptTags     = []chart.Tag{tagOpens, tagAwaitsHeaders, tagReceives, tagRuns}
	nodeTags        = []chart.Tag{tagReady, tagMayHoldIssuerLease, tagDrainDelay, tagDeparts, tagStopped, tagRefusesStarting, tagRefusesFenced, tagRefusesDraining}
	peerTags        = []chart.Tag{tagPresent, tagDead}
	sessionTags     = []chart.Tag{tagHeld, tagAwaitsRewrite}
	configTags      = []chart.Tag{tagConfirmed}
	isolationTags   = []chart.Tag{tagUnread, tagRecorded}
	orderTags       = []chart.Tag{tagCountsAsLoad}
	issuerTags      = []chart.Tag{tagMayIssue, tagAwaitsLease, tagStandsBy}
	blockImportTags = []chart.Tag{tagMayTransfer}
	blockExportTags = []chart.Tag{tagMayWriteManifest}
)
