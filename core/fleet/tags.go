package fleet

import "tanagerspread/chart"

// The tags of the charts of backend servers and stores.
const (
	// TagReceivesWork marks states in which a server receives attempts.
	TagReceivesWork chart.Tag = "receives_work"
	// TagProbing marks states in which one attempt tests a server.
	TagProbing chart.Tag = "one_at_a_time"
	// TagSlowStart marks states in which the slots of a server grow.
	TagSlowStart chart.Tag = "gradual"
	// TagBackingOff marks states in which a failed server receives nothing until
	// the timeout.
	TagBackingOff chart.Tag = "rests"
	// TagLeaving marks states of a server that leaves.
	TagLeaving chart.Tag = "leaves"
	// TagReadable and TagWritable mark states of a store that serves imports
	// and takes exports.
	TagReadable chart.Tag = "readable"
	TagWritable chart.Tag = "writable"
)
