package control

import (
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/limits"
	"tanagerspread/core/request"
)

const (
	// onTimeShare is the share of the target up to which a call may wait and is still
	// expected to be answered on time.
	onTimeShare = 0.6
	// startShare is the share of the target that is left for the first token when a
	// call has waited as long as its caller allows.
	startShare = 0.25
	// maxAdvisedDelay bounds the advised delay of a call that is refused because the
	// queue is long.
	maxAdvisedDelay = 3 * time.Second
)

// setWaitLimits determines until when a call may wait in the queue. Callers abandon a
// stream when its first event takes too long, whatever their deadline is.
func (req *activeRequest) setWaitLimits(now time.Time) {
	target := req.route.FirstPartTarget
	req.startBy = req.Deadline
	if target == 0 {
		return
	}
	req.onTimeUntil = now.Add(time.Duration(onTimeShare * float64(target)))
	if req.route.Kind == config.Streaming {
		patience := max(minHeaderTimeout, headerTargetFactor*target) - time.Duration(startShare*float64(target))
		if abandoned := now.Add(patience); abandoned.Before(req.startBy) {
			req.startBy = abandoned
		}
	}
}

// drain returns the drain of a class's queue.
func (s *State) drain(class request.Class) *limits.Drain {
	drain := s.drains[class]
	if drain == nil {
		drain = &limits.Drain{}
		s.drains[class] = drain
	}
	return drain
}

// refusesLongWait refuses a call that is predicted to wait longer than its caller does,
// so that the caller learns it at once. It reports whether it did. The advised delay is
// the time until the queue is expected to be short enough, spread so that callers do not
// come back together.
func (s *State) refusesLongWait(now time.Time, req *activeRequest, ahead int) bool {
	if req.Call == nil {
		return false
	}
	excess := s.drain(req.class).Wait(now, ahead) - req.startBy.Sub(now)
	if excess <= 0 {
		return false
	}
	spread := time.Duration(s.random.Int64N(int64(excess)/2 + int64(req.route.FirstPartTarget) + 1))
	req.advisedDelay = min(excess+spread, maxAdvisedDelay)
	s.finishWithError(now, req, "refuse", req.queueFullError())
	return true
}

// refusesUntilBackoffEnds refuses a call at once when all its servers back off or want no
// calls until after it could start. The advised delay is the time until the first of
// them gets calls again. It reports whether it did.
func (s *State) refusesUntilBackoffEnds(now time.Time, req *activeRequest) bool {
	if req.Call == nil {
		return false
	}
	until := s.backoffUntil(req)
	if !until.After(req.startBy) {
		return false
	}
	req.advisedDelay = until.Sub(now)
	s.finishWithError(now, req, "refuse", s.noServerError(req))
	return true
}

// refuseExpiredWait refuses a waiting call that can no longer start before its caller
// abandons it, or that is late and overtaken while calls wait that can still be on time:
// those come first as long as the load lasts. It reports whether it did.
func (s *State) refuseExpiredWait(now time.Time, req *activeRequest) bool {
	if req.Call == nil || !req.chart.Is(tagPlaceable) {
		return false
	}
	overtaken := s.queue.Overtaken(req.ID) && s.queue.WaitsOnTime(req.class, now)
	if !overtaken && now.Before(req.startBy) {
		return false
	}
	s.finishWithError(now, req, "refuse", req.queueFullError())
	return true
}
