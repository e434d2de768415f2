// Package pace limits the rate of calls from one node to a backend server that is
// cold or has just warmed up. The nodes decide independently; the rates are chosen so
// that the calls of all nodes together stay within what the server bears.
package pace

import (
	"fmt"
	"io/fs"
	"time"

	"tanagerspread/chart"
)

const (
	// tagPaced marks states in which the rate of calls is limited.
	tagPaced chart.Tag = "paced"
	// tagCold marks states in which only the owners send.
	tagCold chart.Tag = "cold"
)

const (
	// fullRate is the rate in calls a second from which on a warming server is steady.
	fullRate = 40.0
	// minShare is the smallest rate of an owner, as a part of its share.
	minShare = 0.125
	// growthInterval is the time after which the rate of a warming server doubles without
	// any response. It also separates two reductions, because the calls of one interval
	// meet the same condition of the server.
	growthInterval = 500 * time.Millisecond
	// recoveryTime is the time after a bad response in which only good ones raise the
	// rate.
	recoveryTime = 3 * time.Second
)

// Pace is the pace of one node towards one server.
type Pace struct {
	chart chart.Instance
	rule  Rule
	// owner is whether this node sends to the server while it is cold.
	owner bool
	// nodes is the number of nodes that share the rate when the server begins to warm.
	nodes int
	// rate is the present limit in calls a second.
	rate float64
	// next is the earliest time of the next call.
	next time.Time
	// opening is true while a connection is opened on which a call is to be sent.
	opening bool
	// changedAt is when the rate changed last, loweredAt when it was last reduced.
	changedAt time.Time
	loweredAt time.Time
}

// Conditions are what a node knows when a server becomes cold or warm.
type Conditions struct {
	Rule Rule
	// Owner is whether the node is an owner of the server.
	Owner bool
	// Nodes is the number of nodes that send to the server once it is warm.
	Nodes int
	// NotBefore is the earliest time of the first call: an earlier process of the node
	// may have used its share.
	NotBefore time.Time
}

// Pacer interprets the chart "pace" for all servers.
type Pacer struct {
	machine *chart.Machine[*Pace]
}

// NewPacer returns a pacer. It returns an error when the chart cannot be loaded.
func NewPacer(files fs.FS) (*Pacer, error) {
	def, err := chart.Load(files, "pace")
	if err != nil {
		return nil, err
	}
	machine, err := chart.NewMachine(def, chart.Bindings[*Pace]{
		Tags: []chart.Tag{tagPaced, tagCold},
		Guards: map[string]func(*Pace, time.Time) bool{
			"reaches_full_rate": func(p *Pace, _ time.Time) bool { return 2*p.rate >= fullRate },
		},
		Actions: map[string]func(*Pace, time.Time){
			"limit_to_share": (*Pace).limitToShare,
			"start_growth":   (*Pace).startGrowth,
			"raise_to_share": (*Pace).raiseToShare,
			"raise":          (*Pace).raise,
			"lower":          (*Pace).lower,
		},
	})
	if err != nil {
		return nil, fmt.Errorf("bind chart: %w", err)
	}
	return &Pacer{machine: machine}, nil
}

// Start returns the pace of a server that is not known to be cold.
func (m *Pacer) Start(now time.Time) Pace {
	return Pace{chart: m.machine.Start(now)}
}

// Chill records until when a server is cold. It has no effect on servers of a service
// without a rule.
func (m *Pacer) Chill(p *Pace, until time.Time, c Conditions, now time.Time) {
	if !c.Rule.Applies() {
		return
	}
	p.apply(c)
	if m.machine.Fire(&p.chart, p, "chill", now) == nil {
		p.chart.TimeoutAt = until
	}
}

// Warm records that a server is no longer cold, or that all nodes begin to send to it
// at the same time.
func (m *Pacer) Warm(p *Pace, c Conditions, now time.Time) {
	if !c.Rule.Applies() {
		return
	}
	p.apply(c)
	_ = m.machine.Fire(&p.chart, p, "warm", now)
}

// Expire ends the states whose time has passed, and raises the rate of a warming server
// that gave no bad response for some time.
func (m *Pacer) Expire(p *Pace, now time.Time) {
	if !p.Limited() {
		return
	}
	_, _ = m.machine.Expire(&p.chart, p, now)
	if p.Limited() && !p.Cold() && now.Sub(p.changedAt) >= growthInterval && now.Sub(p.loweredAt) >= recoveryTime {
		m.fire(p, "raise", now)
	}
}

// Succeed records a response that was on time, Fail one that was late, a refusal or a
// failure.
func (m *Pacer) Succeed(p *Pace, now time.Time) { m.fire(p, "raise", now) }

// Fail records a response that was late, a refusal or a failure.
func (m *Pacer) Fail(p *Pace, now time.Time) { m.fire(p, "lower", now) }

// fire applies an event and keeps the timeout of a state that does not change.
func (m *Pacer) fire(p *Pace, event chart.Event, now time.Time) {
	before := p.chart
	if m.machine.Fire(&p.chart, p, event, now) == nil && p.chart.State == before.State {
		p.chart.TimeoutAt = before.TimeoutAt
	}
}

func (p *Pace) apply(c Conditions) {
	p.rule = c.Rule
	p.owner = c.Owner
	p.nodes = max(c.Nodes, 1)
	if p.next.Before(c.NotBefore) {
		p.next = c.NotBefore
	}
}

// Limited reports whether the rate of calls is limited.
func (p *Pace) Limited() bool { return p.chart.Is(tagPaced) }

// Cold reports whether the server is known to be cold.
func (p *Pace) Cold() bool { return p.chart.Is(tagCold) }

// State returns the state of the chart.
func (p *Pace) State() chart.State { return p.chart.State }

// Rate returns the limit in calls a second: 0 while only other nodes may send, and a
// negative number without a limit.
func (p *Pace) Rate() float64 {
	switch {
	case !p.Limited():
		return -1
	case p.Cold() && !p.owner:
		return 0
	}
	return p.rate
}

// Allows reports whether a connection may be opened for a call now.
func (p *Pace) Allows(now time.Time) bool {
	return p.AllowsSend(now) && (!p.Limited() || !p.opening)
}

// AllowsSend reports whether a call may be sent now on the connection that Open recorded.
// The server may have become cold in the meantime.
func (p *Pace) AllowsSend(now time.Time) bool {
	if !p.Limited() {
		return true
	}
	if p.Cold() && !p.owner {
		return false
	}
	return !now.Before(p.next)
}

// Open records that a connection is opened for a call. It returns false when the rate
// is not limited, so that nothing has to be recorded.
func (p *Pace) Open() bool {
	p.opening = p.Limited()
	return p.opening
}

// Close records that the connection will not be used.
func (p *Pace) Close() { p.opening = false }

// Send records that a call is sent.
func (p *Pace) Send(now time.Time) {
	p.opening = false
	if p.Limited() {
		p.next = now.Add(interval(p.rate))
	}
}

// limitToShare is the action of a server that becomes cold.
func (p *Pace) limitToShare(now time.Time) {
	p.rate = p.rule.share()
	p.changedAt = now
}

func (p *Pace) startGrowth(now time.Time) {
	p.rate = p.rule.PerSecond / float64(p.nodes)
	p.changedAt = now
}

func (p *Pace) raiseToShare(now time.Time) {
	p.rate = min(2*p.rate, p.rule.share())
	p.changedAt = now
}

func (p *Pace) raise(now time.Time) {
	p.rate *= 2
	p.changedAt = now
}

func (p *Pace) lower(now time.Time) {
	p.changedAt = now
	if now.Sub(p.loweredAt) < growthInterval {
		return
	}
	p.loweredAt = now
	floor := p.rule.share()
	if !p.Cold() {
		floor = p.rule.PerSecond / float64(p.nodes)
	}
	p.rate = max(p.rate/2, minShare*floor)
}
