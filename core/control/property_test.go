package control

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
	"tanagerspread/core/fleet"
	"tanagerspread/core/limits"
	"tanagerspread/core/placement"
	"tanagerspread/core/quarantine"
	"tanagerspread/core/request"
)

// requester acts as the traffic goroutine of one request.
type requester struct {
	request request.Request
	// nextMessage returns the message that follows the last reply. It is nil
	// when the request is finished.
	nextMessage func(*rapid.T) Message
	// waiting is true while a question has no reply.
	waiting bool
}

// traffic sends random messages and checks each output.
type traffic struct {
	t          *rapid.T
	state      *State
	now        time.Time
	list       []VM
	leaving    map[fleet.ServerID]bool
	requesters []*requester
	byID       map[request.ID]*requester
}

func (x *traffic) send(m Message) {
	out := x.state.Handle(x.now, m)
	seen := map[request.ID]bool{}
	for _, reply := range out.Replies {
		if seen[reply.To] {
			x.t.Fatalf("%T: two replies to %s", m, reply.To)
		}
		seen[reply.To] = true
		if c := x.byID[reply.To]; c != nil && c.waiting {
			c.waiting = false
			x.replied(c, reply.Decision)
		}
	}
}

func (x *traffic) replied(c *requester, decision Decision) {
	id := c.request.ID
	c.nextMessage = nil
	switch d := decision.(type) {
	case Admitted:
		place := Place{Request: id, Prefix: []cachekey.Key{{byte(len(x.requesters) % 7)}}, PromptTokens: c.request.PromptTokens}
		c.nextMessage = func(*rapid.T) Message { return place }
		if d.Claim {
			c.nextMessage = func(t *rapid.T) Message {
				refused := rapid.IntRange(0, 4).Draw(t, "claim") == 0
				if refused {
					return ClaimResult{Request: id, Err: code.New(code.InProgress, "test")}
				}
				return ClaimResult{Request: id, Replay: rapid.IntRange(0, 4).Draw(t, "replay") == 0}
			}
		}
	case Dispatch:
		if x.leaving[d.Server] {
			x.t.Fatalf("new work to leaving server %s", d.Server)
		}
		c.nextMessage = func(t *rapid.T) Message {
			if rapid.IntRange(0, 5).Draw(t, "dial") == 0 {
				return AttemptDone{Request: id, Attempt: d.Attempt, Outcome: DialFailed}
			}
			return Connected{Request: id, Attempt: d.Attempt}
		}
	case Proceed:
		x.proceed(c)
	case Deliver:
		if d.Record {
			c.nextMessage = func(*rapid.T) Message { return Recorded{Request: id} }
		}
	case Refusal:
		if d.Release {
			c.nextMessage = func(*rapid.T) Message { return Recorded{Request: id} }
		}
		if req := x.state.requests[id]; req != nil && req.attempt != nil && !d.Release {
			attempt := req.attempt.id
			c.nextMessage = func(*rapid.T) Message { return AttemptDone{Request: id, Attempt: attempt, Outcome: DialFailed} }
		}
	}
}

// proceed follows a Proceed, which answers ClaimResult, Connected or Recorded.
func (x *traffic) proceed(c *requester) {
	id := c.request.ID
	req := x.state.requests[id]
	switch {
	case req == nil:
	case req.attempt == nil:
		c.nextMessage = func(*rapid.T) Message { return Place{Request: id, PromptTokens: c.request.PromptTokens} }
	default:
		attempt := req.attempt.id
		c.nextMessage = func(t *rapid.T) Message {
			outcome := Outcome(rapid.IntRange(int(Succeeded), int(Stopped)).Draw(t, "outcome"))
			if outcome == DialFailed {
				outcome = Lost
			}
			done := AttemptDone{Request: id, Attempt: attempt, Outcome: outcome}
			done.ConnectionBroken = outcome == Lost && rapid.Bool().Draw(t, "died")
			done.Leaving = rapid.IntRange(0, 20).Draw(t, "leaves") == 0
			if rapid.Bool().Draw(t, "load") {
				done.Load = &fleet.Load{Running: 2, PrefillTokens: 9000}
			}
			if rapid.Bool().Draw(t, "first") {
				x.send(FirstToken{Request: id, Attempt: attempt})
			}
			return done
		}
	}
}

func (x *traffic) ask(c *requester, m Message) {
	c.waiting = true
	x.send(m)
}

func (x *traffic) arrive(t *rapid.T) {
	n := len(x.requesters)
	r := completion(fmt.Sprintf("r%d", n), rapid.IntRange(0, 3).Draw(t, "org"), x.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds"))*time.Second))
	r.BodyDigest = fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "body"))
	r.Class = []request.Class{"", "review", "unknown"}[rapid.IntRange(0, 2).Draw(t, "class")]
	if rapid.IntRange(0, 3).Draw(t, "service") == 0 {
		r.Route = request.Route{Kind: request.Service, Name: "booking"}
		r.KeyDigest = "k"
	}
	c := &requester{request: r}
	x.requesters = append(x.requesters, c)
	x.byID[r.ID] = c
	x.ask(c, Admit{Request: r})
}

func (x *traffic) advance(t *rapid.T) {
	var ready []*requester
	for _, c := range x.requesters {
		if !c.waiting && c.nextMessage != nil {
			ready = append(ready, c)
		}
	}
	if len(ready) == 0 {
		x.arrive(t)
		return
	}
	c := ready[rapid.IntRange(0, len(ready)-1).Draw(t, "caller")]
	x.ask(c, c.nextMessage(t))
}

func (x *traffic) abandon(t *rapid.T) {
	if len(x.requesters) == 0 {
		return
	}
	c := x.requesters[rapid.IntRange(0, len(x.requesters)-1).Draw(t, "caller")]
	if c.request.KeyDigest != "" {
		return // Ingress finishes a non-idempotent request without its caller.
	}
	c.waiting = false
	c.nextMessage = nil
	x.send(Abandon{Request: c.request.ID})
}

func (x *traffic) changeVMs(t *rapid.T) {
	i := rapid.IntRange(0, len(x.list)-1).Draw(t, "vm")
	x.list[i].Leaving = !x.list[i].Leaving
	id := fleet.ServerID(x.list[i].ID)
	x.leaving[id] = x.list[i].Leaving
	shown := x.list
	if rapid.IntRange(0, 3).Draw(t, "omit") == 0 {
		shown = x.list[1:]
	}
	x.send(VMList{VMs: shown})
}

func (x *traffic) tick(t *rapid.T) {
	x.now = x.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	x.send(Tick{})
}

func (x *traffic) report(t *rapid.T) {
	store := fleet.ServerID(fmt.Sprintf("store-%04d", rapid.IntRange(0, 1).Draw(t, "store")))
	x.send(StoreReport{Store: store, Unreachable: rapid.Bool().Draw(t, "failed"), Full: rapid.Bool().Draw(t, "full"),
		Transfer: fleet.Transfer{Planned: 2, Found: 1, Bytes: 1 << 20}})
}

func (x *traffic) gossip(t *rapid.T) {
	r := completion("x", rapid.IntRange(0, 3).Draw(t, "org"), time.Time{})
	f := quarantine.FingerprintOf(organisation(0), r.Route, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "body")))
	x.send(QuarantineSeen{Entries: []quarantine.Entry{{Fingerprint: f, Kind: quarantine.Kind(rapid.IntRange(1, 3).Draw(t, "kind")), ExpiresAt: x.now.Add(time.Minute)}}})
}

func (x *traffic) reconfigure(t *rapid.T) {
	name := rapid.SampledFrom([]string{"", placement.NameRoundRobin, placement.NameLeastLoad, placement.NameSticky}).Draw(t, "policy")
	rules := rulesFor(4, name)
	x.send(Configure{Version: x.state.version + 1, Rules: rules})
}

// finishAll lets every requester finish and every deadline pass.
func (x *traffic) finishAll(t *rapid.T) {
	for range 2000 {
		busy := false
		for _, c := range x.requesters {
			if !c.waiting && c.nextMessage != nil {
				x.ask(c, c.nextMessage(t))
				busy = true
			}
			busy = busy || c.waiting
		}
		if !busy {
			break
		}
		x.now = x.now.Add(time.Second)
		x.send(Tick{})
	}
	x.now = x.now.Add(2 * time.Hour)
	x.send(Tick{})
}

func (x *traffic) checkCounts() {
	for id, server := range x.state.servers {
		if server.InFlight < 0 || server.PrefillTokens < 0 || server.SuspectAttempts < 0 {
			x.t.Fatalf("server %s: in flight %d, prefill %d, suspects %d", id, server.InFlight, server.PrefillTokens, server.SuspectAttempts)
		}
	}
	if x.state.retryBudgets.Remaining() < 0 {
		x.t.Fatalf("budget %f", x.state.retryBudgets.Remaining())
	}
	x.state.queue.Offer(x.now, func(id request.ID) limits.OfferResult {
		if state := x.state.requests[id].chart.State; state != "queued" && state != "requeued" {
			x.t.Fatalf("request %s waits in state %s", id, state)
		}
		return limits.Skipped
	})
	for class, rule := range x.state.rules.Classes {
		if x.state.queue.Count(class) > rule.QueueLimit {
			x.t.Fatalf("class %s: %d waiting", class, x.state.queue.Count(class))
		}
	}
}

func (x *traffic) checkEnd() {
	for _, c := range x.requesters {
		if c.waiting {
			x.t.Fatalf("request %s: question without a reply", c.request.ID)
		}
	}
	if len(x.state.requests) != 0 || x.state.queue.Len() != 0 || len(x.state.suspectAttempts) != 0 {
		x.t.Fatalf("left: %d requests, %d waiting, %d suspects", len(x.state.requests), x.state.queue.Len(), len(x.state.suspectAttempts))
	}
	for id, server := range x.state.servers {
		if server.InFlight != 0 || server.PrefillTokens != 0 || server.SuspectAttempts != 0 {
			x.t.Fatalf("server %s: in flight %d, prefill %d, suspects %d", id, server.InFlight, server.PrefillTokens, server.SuspectAttempts)
		}
	}
	for id, store := range x.state.stores {
		if store.PendingBytes != 0 {
			x.t.Fatalf("store %s: %d bytes pending", id, store.PendingBytes)
		}
	}
}

// TestRandomMessages guards against counts that leak or become negative,
// questions without exactly one reply, work for leaving servers, and queues
// beyond their limit.
func TestRandomMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := vms(4, 2, 2)
		x := &traffic{t: t, now: testStart, list: list, leaving: map[fleet.ServerID]bool{}, byID: map[request.ID]*requester{}}
		x.state = newState(t, 7, list, rulesFor(4, ""))
		steps := []func(*rapid.T){x.arrive, x.arrive, x.advance, x.advance, x.advance, x.advance, x.abandon, x.changeVMs, x.tick, x.report, x.gossip, x.reconfigure}
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t)
			x.checkCounts()
		}
		x.finishAll(t)
		x.checkEnd()
	})
}
