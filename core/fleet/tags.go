package fleet

import "tanagerspread/chart"

// The tags of the charts of backend servers and stores.
const (
	// TagReceivesWork marks states in which a server receives attempts.
	TagReceivesWork chart.Tag = "receives_work"
	// TagProbing marks states in which one attempt at a time probes a server.
	TagProbing chart.Tag = "one_at_a_time"
	// TagSlowStart marks states in which the slots of a server grow with each
	// success.
	TagSlowStart chart.Tag = "gradual"
	// TagBackingOff marks states in which a failed server receives no attempts
	// until the timeout.
	TagBackingOff chart.Tag = "rests"
	// TagPaused marks states of a server that wants no attempts from this node until
	// the timeout.
	TagPaused chart.Tag = "paused"
	// TagLeaving marks states of a server that is leaving.
	TagLeaving chart.Tag = "leaves"
	// TagReadable marks states in which a block store serves imports, TagWritable
	// those in which it accepts exports.
	TagReadable chart.Tag = "readable"
	TagWritable chart.Tag = "writable"
)
