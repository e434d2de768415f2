package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/request"
	"tanagerspread/core/shares"
)

const fairNodes = 12

// fairPlay plays calls of several organisations, each of which is connected to some of
// the nodes, at a multiple of what the engines can carry.
type fairPlay struct {
	*overload
	random *rand.Rand
	asked  map[request.Organisation]int
	served map[request.Organisation]int
	owners map[request.ID]request.Organisation
}

func newFairPlay(t *testing.T, organisations int) *fairPlay {
	x := &fairPlay{
		overload: newOverload(t, fairNodes), random: rand.New(rand.NewPCG(3, 4)),
		asked: map[request.Organisation]int{}, served: map[request.Organisation]int{}, owners: map[request.ID]request.Organisation{},
	}
	x.runTimesVary = true
	x.rules.Routes.Find("h", "/review/x").AuthExempt = false
	x.rules.Organisations = map[request.Organisation]config.Organisation{}
	x.rules.Tokens = map[request.Digest]config.Token{}
	for i := range organisations {
		x.rules.Organisations[organisation(i)] = config.Organisation{}
		x.rules.Tokens[token(i)] = config.Token{Organisation: organisation(i)}
	}
	return x
}

// nodeOf returns the node that the next call of an organisation reaches. Half of the
// organisations are connected to the first quarter of the nodes.
func (x *fairPlay) nodeOf(org int) int {
	if org%2 == 0 {
		return x.random.IntN(fairNodes / 4)
	}
	return fairNodes/4 + x.random.IntN(fairNodes-fairNodes/4)
}

// run plays calls at a load, which the weights divide between the organisations.
func (x *fairPlay) run(load float64, weights []float64, duration time.Duration) {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	capacity := float64(overloadDomains*overloadPerDomain*overloadCapacity/overloadTokens) / overloadRunTime.Seconds()
	due := make([]float64, len(weights))
	for org := range due {
		due[org] = x.random.Float64()
	}
	for step := 0; time.Duration(step)*overloadStep < duration; step++ {
		for org, weight := range weights {
			due[org] += load * capacity * weight / total * overloadStep.Seconds()
			for ; due[org] >= 1; due[org]-- {
				x.startFor(org, request.ID(fmt.Sprintf("%d-%d-%f", step, org, due[org])))
			}
		}
		x.step(func(int) {})
	}
}

func (x *fairPlay) startFor(org int, id request.ID) {
	name := organisation(org)
	x.asked[name]++
	x.owners[id] = name
	node := x.nodeOf(org)
	x.waiting[id] = x.now
	x.handle(node, Admit{Request: request.Request{
		ID: id, Route: request.Route{Kind: request.Forward}, Deadline: x.now.Add(10 * time.Second), BodyDigest: string(id), TokenDigest: token(org),
		Call: &request.Call{Host: "h", Path: "/review/x", HasAPIKey: true, Parts: []request.Part{{ID: string(id), Tokens: overloadTokens}}},
	}})
	x.handle(node, Place{Request: id, PromptTokens: overloadTokens})
}

// shares returns the part of its calls that each organisation was served.
func (x *fairPlay) shares(organisations int) []float64 {
	refused := map[request.Organisation]int{}
	for _, r := range x.refusals {
		refused[x.owners[r.id]]++
	}
	var shares []float64
	for i := range organisations {
		name := organisation(i)
		shares = append(shares, 1-float64(refused[name])/float64(x.asked[name]))
	}
	return shares
}

// jain returns Jain's index: 1 when all shares are equal.
func jain(shares []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, share := range shares {
		sum += share
		squares += share * share
	}
	return sum * sum / (float64(len(shares)) * squares)
}

// TestOrganisationsShareEngines guards against organisations of equal size of which those
// that are connected to few nodes are served less.
func TestOrganisationsShareEngines(t *testing.T) {
	const organisations = 8
	weights := make([]float64, organisations)
	for i := range weights {
		weights[i] = 1
	}
	for _, load := range []float64{0.5, 1, 1.7, 3} {
		x := newFairPlay(t, organisations)
		x.run(load, weights, 40*time.Second)
		shares := x.shares(organisations)
		index := jain(shares)
		t.Logf("load %.1f: Jain's index %.3f, shares %.2f", load, index, shares)
		if index < 0.95 {
			t.Errorf("load %.1f: Jain's index %.3f, shares %.2f", load, index, shares)
		}
	}
}

// TestSmallOrganisationBesideLargeOne guards against a small organisation that is served
// less than in calm because another one sends ten times as much as all others.
func TestSmallOrganisationBesideLargeOne(t *testing.T) {
	x := newFairPlay(t, 5)
	x.run(1.7, []float64{40, 1, 1, 1, 1}, 40*time.Second)
	shares := x.shares(5)
	t.Logf("shares %.2f", shares)
	for i, share := range shares[1:] {
		if share < 0.9 {
			t.Errorf("organisation %d was served %.2f of its calls beside a very large one", i+1, share)
		}
	}
}

// waitingReports returns the reports of waiting work that a node sends.
func waitingReports(commands []Command) []shares.TurnDemand {
	var reports []shares.TurnDemand
	for _, command := range commands {
		if work, ok := command.(SendWork); ok {
			reports = append(reports, work.Waiting)
		}
	}
	return reports
}

// TestOnlyCallsForEnginesTakeTurns guards against free memory of engines that is kept for
// a node whose waiting calls need none.
func TestOnlyCallsForEnginesTakeTurns(t *testing.T) {
	x := newOverload(t, 2)
	x.rules.Routes.Find("h", "/lookup/x").Priority = 1
	s := x.nodes[0]
	s.Handle(x.now, ConfigSeen{Current: config.Configuration{Version: 1, ApplyID: "one"}, Rules: x.rules, FromService: true, AskedAt: x.now})
	s.Handle(x.now, VMList{VMs: []VM{
		{ID: "n00", Role: fleet.RoleEntryVM, PeerAddress: "n00"},
		{ID: "n01", Role: fleet.RoleEntryVM, PeerAddress: "n01"},
		{ID: "d0", Address: "d0", Role: fleet.RoleService, Serves: "desk", MaxConcurrency: 1},
	}})
	for i := range 5 {
		placeCall(s, x.now, request.ID(fmt.Sprintf("c%d", i)), "lookup")
	}
	if s.queue.Len() != 4 {
		t.Fatalf("%d calls wait", s.queue.Len())
	}
	for _, report := range waitingReports(s.Handle(x.now.Add(fleet.TurnLength), Tick{}).Commands) {
		if report.Demand.Total() > 0 {
			t.Errorf("the node reports %v", report.Demand)
		}
	}
}
