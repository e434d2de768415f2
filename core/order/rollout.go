package order

import (
	"slices"
	"time"

	"tanagerspread/chart"
)

// Rollout is the change of the engines of one model to the wanted state.
type Rollout struct {
	Model  string
	Wanted Desired
	Chart  chart.Instance
	// HalfDoneAt is when half of the live engines had reached the wanted state,
	// or zero.
	HalfDoneAt time.Time
	Counts     Counts
}

// Counts is the progress of a rollout over the live engines of its model.
type Counts struct {
	Live int
	// Met counts engines in the wanted state.
	Met int
	// Out counts engines that are loading or do not respond.
	Out int
	// Free counts responding engines in another state that have no order.
	Free int
}

// UpdateCounts counts the engines of the model by state and reports whether more
// of them than before have the wanted state.
func (r *Rollout) UpdateCounts(now time.Time, engines []*Engine) bool {
	before := r.Counts.Met
	r.Counts = Counts{}
	for _, e := range engines {
		if e.Model == r.Model {
			r.Counts.add(e, r.Wanted)
		}
	}
	if r.Counts.Met*2 < r.Counts.Live {
		r.HalfDoneAt = time.Time{}
	} else if r.HalfDoneAt.IsZero() {
		r.HalfDoneAt = now
	}
	return r.Counts.Met > before
}

func (c *Counts) add(e *Engine, wanted Desired) {
	if e.Order != nil || (e.Live && e.Unreachable) {
		c.Out++
	}
	if !e.Live {
		return
	}
	c.Live++
	switch {
	case e.Reported && wanted.MetBy(e.Status.Current):
		c.Met++
	case e.Reported && !e.Unreachable && e.Order == nil:
		c.Free++
	}
}

// SetWanted sets the wanted state and reports whether it changed.
func (r *Rollout) SetWanted(wanted Desired) bool {
	if r.Wanted == wanted {
		return false
	}
	r.Wanted = wanted
	r.HalfDoneAt = time.Time{}
	r.Counts = Counts{}
	return true
}

// NextEngine returns the engine of the model that gets the next order, or nil
// when none may get one now. A model with at least two live engines always keeps
// one that serves requests. Of the engines with the fewest failed orders, the one with
// the oldest weights comes first, because their limit ends first.
func (r *Rollout) NextEngine(now time.Time, parameters Parameters, engines []*Engine) *Engine {
	if parameters.MaxUnavailable > 0 && r.Counts.Out >= min(parameters.MaxUnavailable, max(1, r.Counts.Live-1)) {
		return nil
	}
	if r.Counts.Live > 1 && r.Counts.Free <= 1 && !r.handedOver(now, parameters) {
		return nil
	}
	var next *Engine
	for _, e := range engines {
		if e.Model == r.Model && r.mayOrder(now, e) && (next == nil || e.comesBefore(next)) {
			next = e
		}
	}
	return next
}

// handedOver reports whether all nodes have had the time to send new requests to
// the wanted version.
func (r *Rollout) handedOver(now time.Time, parameters Parameters) bool {
	return !r.HalfDoneAt.IsZero() && !now.Before(r.HalfDoneAt.Add(parameters.HandoverTime))
}

// comesBefore reports whether an engine gets its order before another one.
func (e *Engine) comesBefore(other *Engine) bool {
	if e.Failures != other.Failures {
		return e.Failures < other.Failures
	}
	return e.Status.Current.Weights < other.Status.Current.Weights
}

func (r *Rollout) mayOrder(now time.Time, e *Engine) bool {
	if !e.Live || !e.Reported || e.Unreachable || e.Order != nil || e.CallInProgress {
		return false
	}
	return !r.Wanted.MetBy(e.Status.Current) && !now.Before(e.NotBefore)
}

// CountOutstanding returns the number of outstanding orders.
func CountOutstanding(engines []*Engine) int {
	count := 0
	for _, e := range engines {
		if e.Order != nil {
			count++
		}
	}
	return count
}

// CountLive returns the number of live engines.
func CountLive(engines []*Engine) int {
	count := 0
	for _, e := range engines {
		if e.Live {
			count++
		}
	}
	return count
}

// ServingWeights returns the weight version for new requests of a model. It is
// the wanted version once half of the live engines have it, and remains so while
// any engine has it. Otherwise it is the version that most engines have. before
// is the version that was used so far; counts holds the number of live engines
// by version.
func ServingWeights(wanted, before int, counts map[int]int) int {
	total := 0
	versions := make([]int, 0, len(counts))
	for version, count := range counts {
		total += count
		versions = append(versions, version)
	}
	withWanted := counts[wanted]
	if withWanted*2 >= total || (before == wanted && withWanted > 0) {
		return wanted
	}
	slices.Sort(versions)
	best := wanted
	for _, version := range versions {
		if version != wanted && (best == wanted || counts[version] >= counts[best]) {
			best = version
		}
	}
	return best
}
