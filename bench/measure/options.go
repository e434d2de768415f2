// Package measure runs nodes in front of a scaled site of stand-ins and records
// what callers observe.
package measure

import (
	"time"

	"tanagerspread/bench/workload"
	"tanagerspread/standin/engine"
	"tanagerspread/standin/store"
)

// Fault is the fault that is injected in the middle half of the measured part of
// a run.
type Fault string

// The faults that can be injected in a run.
const (
	NoFault      Fault = "none"
	EngineKilled Fault = "engine-killed"
	StoreKilled  Fault = "store-killed"
	StoreFull    Fault = "store-full"
	LinkSlow     Fault = "link-slow"
	Flood        Fault = "flood"
	NodeKilled   Fault = "node-killed"
)

// Faults lists all faults.
func Faults() []Fault {
	return []Fault{NoFault, EngineKilled, StoreKilled, StoreFull, LinkSlow, Flood, NodeKilled}
}

// Options configures one run.
type Options struct {
	Profile workload.Profile
	// Placement is the name of the placement policy.
	Placement string
	Fault     Fault
	Seed      uint64
	// Load is the share of the full request rate.
	Load    float64
	Engines int
	Nodes   int
	// WarmUp is the part of the run that is not measured; Duration follows.
	WarmUp   time.Duration
	Duration time.Duration
	// PrefillRate is the speed of the engines in prompt tokens per second.
	PrefillRate float64
	// TokenRate is the number of prompt tokens per second that the rules allow
	// each organisation; 0 means no limit.
	TokenRate float64
}

const (
	// floodFactor is the rate of flood requests, as a multiple of the rate of the
	// long class.
	floodFactor = 3
	// balancerDetectionTime is how long the load balancer continues to send
	// requests to a killed node.
	balancerDetectionTime = 3 * time.Second
	// tokenBurstTime is the time for which an unused token rate accumulates.
	tokenBurstTime = 10 * time.Second
	// slowLinkDivisor divides the rate of a link in the fault LinkSlow.
	slowLinkDivisor = 10
)

// The stand-ins have the proportions of an engine that computes a block of 32,000
// bytes in 0.2 s and a link that transfers it in 64 ms.
const (
	storeLinkRate    = 500_000
	storeMemoryBytes = 16 << 20
	storeDiskBytes   = 256 << 20
	cacheBlocks      = 64
	serverSlots      = 16
	classQueueLimit  = 200
	maxBodyBytes     = 1 << 20
)

// faultStart and faultEnd limit the fault to the middle half of the measured part.
// They are times since the start of the run.
func (o Options) faultStart() time.Duration { return o.WarmUp + o.Duration/4 }
func (o Options) faultEnd() time.Duration   { return o.WarmUp + o.Duration*3/4 }

func (o Options) engineOptions() engine.Options {
	return engine.Options{PrefillRate: o.PrefillRate, CacheBlocks: cacheBlocks}
}

func (o Options) storeOptions() store.Options {
	return store.Options{MemoryBytes: storeMemoryBytes, DiskBytes: storeDiskBytes, LinkRate: storeLinkRate, DiskRate: 2 * storeLinkRate}
}

func (o Options) workloadOptions() workload.Options {
	w := workload.Options{Profile: o.Profile, Seed: o.Seed, Engines: o.Engines, Load: o.Load}
	if o.Fault == Flood {
		w.FloodFactor = floodFactor
		w.FloodFrom = o.faultStart()
		w.FloodTo = o.faultEnd()
	}
	return w
}
