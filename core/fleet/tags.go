package fleet

import "tanagerspread/chart"

// The tags of the charts of backend servers and stores.
const (
	// TagReceivesWork marks states in which a server receives attempts.
	TagReceivesWork chart.Tag = "receives_work"
	// TagOneAtATime marks states in which one attempt tests a server.
	TagOneAtATime chart.Tag = "one_at_a_time"
	// TagGradual marks states in which the slots of a server grow.
	TagGradual chart.Tag = "gradual"
	// TagRests marks states in which a failed server receives nothing until
	// the timeout.
	TagRests chart.Tag = "rests"
	// TagLeaves marks states of a server that leaves.
	TagLeaves chart.Tag = "leaves"
	// TagReadable and TagWritable mark states of a store that serves imports
	// and takes exports.
	TagReadable chart.Tag = "readable"
	TagWritable chart.Tag = "writable"
)
