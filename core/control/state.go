// Package control makes the decisions of one node. It holds the state of the
// control thread and answers each message with replies and commands. A State must
// be used by one goroutine only.
package control

import (
	"fmt"
	"io/fs"
	"math/rand/v2"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/kvcache"
	"tanagerspread/core/limits"
	"tanagerspread/core/membership"
	"tanagerspread/core/once"
	"tanagerspread/core/order"
	"tanagerspread/core/pace"
	"tanagerspread/core/placement"
	"tanagerspread/core/quarantine"
	"tanagerspread/core/request"
	"tanagerspread/core/retry"
	"tanagerspread/core/shares"
)

// Options are the properties of a node that do not change while it runs.
type Options struct {
	Node   string
	Domain fleet.Domain
	Charts fs.FS
	// Seed seeds the random numbers that decisions use.
	Seed uint64
	// Checker checks invariants and reports their violations.
	Checker invariant.Checker
	// Incarnation increases with each start of the node's process.
	Incarnation uint64
	// Agents is true when agents (goroutines) connect the node to the
	// key-value service and to its peers. Without them a configuration stays
	// confirmed, and the node has no session entry.
	Agents bool
	// ServerSlots is the largest number of attempts that the node has in progress at
	// one backend server.
	ServerSlots int
	// DrainDelay replaces the timeout of the state unready of the node's chart
	// when it is positive.
	DrainDelay time.Duration
	// StopGrace is the time from the start of the planned stop until the process is
	// killed; 0 means that it is not.
	StopGrace time.Duration
	// MayIssueOrders is true when the node may become the issuer of orders to
	// engines.
	MayIssueOrders bool
	// OrderParameters are the times and limits of orders to engines. The zero value
	// selects order.OwnParameters.
	OrderParameters order.Parameters
	// Unfenced is true when the node serves with the newest configuration that
	// it has, even while it cannot confirm that no newer one is in force.
	Unfenced bool
	// Forwarding is true when the node forwards calls. Servers are then
	// selected by what they serve, whatever weights they have loaded.
	Forwarding bool
	// OutdatedWeightsLimit is how long after new weights were named a request
	// may still start on older ones; 0 means no limit.
	OutdatedWeightsLimit time.Duration
	// RepeatLimit limits the repeats of forwarded calls.
	RepeatLimit retry.RepeatLimit
	// ColdOvershoot and ColdSlack bound the calls that a cold server gets in a second:
	// the rate of its service times ColdOvershoot, plus ColdSlack.
	ColdOvershoot float64
	ColdSlack     float64
	// Prices are the cost factors by which the ways to serve a forwarded call
	// are compared.
	Prices placement.Prices
	// MaxIndexedParts bounds the prompt parts that servers and cache stores are known
	// to have; 0 means no limit.
	MaxIndexedParts int
}

// State is the control state of one node.
type State struct {
	options Options
	charts  chartMachines
	random  *rand.Rand
	// nodeChart is the state of the node in the chart "node".
	nodeChart chart.Instance
	// announcedState is the state of the node in the last NodeState command.
	announcedState chart.State
	version        config.Version
	rules          *config.Rules
	requests       map[request.ID]*activeRequest
	servers        map[fleet.ServerID]*fleet.Server
	// removedPauses has the pauses of servers whose entries are missing.
	removedPauses map[fleet.ServerID]removedPause
	// serverList lists the servers by identifier.
	serverList  []*fleet.Server
	serverIndex fleet.Index
	// pacer limits the calls to cold servers. evacuated has the failure domains whose
	// servers get nothing because the operator wants it.
	pacer *pace.Pacer
	// uncertainEvacuations has those that the key-value service lacks since it came back
	// from a copy, with the time at which they end.
	evacuated            map[fleet.Domain]bool
	uncertainEvacuations map[fleet.Domain]time.Time
	// scratch holds the eligible servers during one placement.
	scratch []*fleet.Server
	stores  map[fleet.ServerID]*fleet.Store
	// storeList lists the stores by identifier.
	storeList      []*fleet.Store
	recentPrefixes *placement.RecentPrefixes
	partIndex      *placement.PartIndex
	// cacheStores holds the cache stores by name, cacheStoreList sorted by name.
	// followedTargets are the stores and engines whose event feeds this node
	// follows.
	cacheStores     map[string]*fleet.CacheStore
	cacheStoreList  []*fleet.CacheStore
	followedTargets []CacheTarget
	// entrySource is the peer from which the entries of the key-value service
	// are copied, or empty when the node watches the service itself.
	entrySource PeerTarget
	// lastOutdated is when an engine was last seen with outdated weights.
	lastOutdated time.Time
	// leavingReportPending is true when a leaving report must be sent to peers.
	leavingReportPending bool
	// refreshedSlot is the last time slot for which the node checked whether it
	// is its turn to read all entries.
	refreshedSlot int64
	// following is since when the node has followed the operator's changes.
	following changeFollowing
	// drains has the drain of the queue of each class.
	drains map[request.Class]*limits.Drain
	// slowCache is true when the cache of long prompts moves slowly between the engines
	// of a service.
	slowCache bool
	// fewEngines is true when the failure domains have fewer than minDomainEngines
	// engines on average.
	fewEngines bool
	// division is the part of the free memory of engines that calls of this node may
	// take, demandElsewhere the work that waits for memory at other nodes.
	division        shares.Division
	dividedTurn     int64
	demandElsewhere shares.Demand
	// advertisedWaiting is whether calls waited here when peers were last told, waiting
	// the work at the start of the last two turns in which it was recorded.
	advertisedWaiting bool
	waiting           [2]shares.TurnDemand
	// reservation records the engines that are reserved for short prompts.
	reservation placement.Reservation
	// placementTurn counts placements, from a random start; the round-robin
	// policy uses it.
	placementTurn uint64
	queue         *limits.Queue
	rates         *limits.RateLimiter
	tokenRates    *limits.RateLimiter
	retryBudgets  *retry.Budgets
	repeatWindows *retry.RepeatLimiter
	quarantine    *quarantine.List
	// parts attributes crashes to prompt parts. brokenCalls are the calls whose
	// connection broke and whose server may not have ended.
	parts       *quarantine.PartLedger
	brokenCalls []brokenCall
	// silentCalls are the calls that ended without a sign of their servers, which may have
	// crashed. serverEnds has what is known of that.
	silentCalls []silentCall
	serverEnds  *quarantine.Servers
	// unsentQuarantine has changed entries of the quarantine that are to be sent to the peers,
	// quarantineSentAt is when the last ones were sent.
	unsentQuarantine []quarantine.Entry
	quarantineSentAt time.Time
	// lastResponseBy is when the calls in progress of a stopping node get their final
	// responses, or zero.
	lastResponseBy time.Time
	// partsCheckedAt is when the calls in progress were last checked for proofs.
	partsCheckedAt time.Time
	// partReportsAt is when the last reports about parts were sent.
	partReportsAt time.Time
	exports       *kvcache.Exports
	// runningExports holds the exports in progress by their identifier.
	runningExports map[request.ID]*transfer
	exportCount    uint64
	// suspectAttempts counts the attempts in progress of each suspect
	// fingerprint.
	suspectAttempts map[quarantine.Fingerprint]int
	orders          orders
	policy          placement.Policy
	journal         journal
	recordTracker   *once.Tracker
	output          Output
	members         *membership.Table
	// configuration, isolation, session and digestRounds belong to the agents' part
	// of the control state: config.go, isolation.go, session.go and members.go.
	configuration configuration
	isolation     isolation
	session       session
	digestRounds  digestRounds
	storeEra      storeEra
}

// emptyState returns a state without charts.
func emptyState(options Options, now time.Time) *State {
	return &State{
		options:   options,
		following: changeFollowing{since: now},
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed)),
		requests:  map[request.ID]*activeRequest{},
		drains:    map[request.Class]*limits.Drain{},
		servers:   map[fleet.ServerID]*fleet.Server{},
		evacuated: map[fleet.Domain]bool{},

		uncertainEvacuations: map[fleet.Domain]time.Time{},
		division:             shares.Whole(),
		demandElsewhere:      shares.Demand{},
		removedPauses:        map[fleet.ServerID]removedPause{},
		stores:               map[fleet.ServerID]*fleet.Store{},
		recentPrefixes:       placement.NewRecentPrefixes(),
		partIndex:            placement.NewPartIndex(options.MaxIndexedParts),
		cacheStores:          map[string]*fleet.CacheStore{},
		queue:                limits.NewQueue(),
		rates:                limits.NewRateLimiter(),
		tokenRates:           limits.NewRateLimiter(),
		retryBudgets:         retry.NewBudgets(),
		repeatWindows:        retry.NewRepeatLimiter(options.RepeatLimit, now),
		serverIndex:          fleet.Index{ByService: options.Forwarding},
		exports:              kvcache.NewExports(),
		runningExports:       map[request.ID]*transfer{},
		suspectAttempts:      map[quarantine.Fingerprint]int{},
		orders:               newOrders(),
		policy:               placement.Estimate{},
		members:              membership.NewTable(options.Node),
	}
}

// New returns the state of a node that starts now. It returns an error when a chart
// cannot be loaded.
func New(options Options, now time.Time) (*State, error) {
	s := emptyState(options, now)
	s.placementTurn = s.random.Uint64()
	if err := s.loadCharts(options.Charts); err != nil {
		return nil, fmt.Errorf("load charts: %w", err)
	}
	if err := s.startTrackers(now); err != nil {
		return nil, fmt.Errorf("load charts: %w", err)
	}
	s.nodeChart = s.charts.node.Start(now)
	s.announcedState = s.nodeChart.State
	s.configuration.chart = s.charts.configuration.Start(now)
	s.configuration.startedAt = now
	s.randomizeReadAge()
	s.session.chart = s.charts.session.Start(now)
	s.isolation.chart = s.charts.isolation.Start(now)
	s.orders.issuer.Parameters = options.OrderParameters
	if options.OrderParameters.LeaseTTL == 0 {
		s.orders.issuer.Parameters = order.OwnParameters()
	}
	if options.OrderParameters.OnDemand {
		// An issuer that held the key before this node started may still have
		// an order in flight.
		s.orders.issuer.OtherHolderSeenAt = now
	}
	s.orders.issuer.Chart = s.charts.issuer.Start(now)
	return s, nil
}

// startTrackers creates the parts of the state that have charts of their own.
func (s *State) startTrackers(now time.Time) (err error) {
	if s.recordTracker, err = once.NewTracker(s.options.Charts); err != nil {
		return err
	}
	if s.pacer, err = pace.NewPacer(s.options.Charts); err != nil {
		return err
	}
	s.serverEnds = quarantine.NewServers(now)
	if s.quarantine, err = quarantine.NewList(s.options.Charts, s.serverEnds, now); err != nil {
		return err
	}
	s.parts, err = quarantine.NewPartLedger(s.options.Charts, s.serverEnds, s.random, now)
	return err
}

// Handle decides on one message and returns the replies and commands that
// follow. The next call reuses the slices of the output.
func (s *State) Handle(now time.Time, message Message) Output {
	s.output.Replies = s.output.Replies[:0]
	s.output.Commands = s.output.Commands[:0]
	s.decide(now, message)
	return s.output
}

func (s *State) decide(now time.Time, message Message) {
	switch m := message.(type) {
	case Admit:
		s.admit(now, m)
	case ClaimResult:
		s.claimResult(now, m)
	case Place:
		s.place(now, m)
	case Connected:
		s.connected(now, m)
	case FirstToken, ServerNotice, ManagementNotice, AttemptDone:
		s.decideAttempt(now, message)
	case Recorded:
		s.recorded(now, m)
	case Abandon:
		s.abandon(now, m)
	case VMList:
		s.storeEraSeen(now, m.StoreEra, "")
		s.vmList(now, m)
	case EvacuationSeen:
		s.evacuationSeen(now, m)
	case ImportFound:
		s.importFound(now, m)
	case ImportDone:
		s.importDone(now, m)
	case ExportWritten:
		s.exportWritten(now, m)
	case ExportDone:
		s.exportDone(now, m)
	case CacheEvents:
		s.cacheEvents(now, m)
	case StoreReport:
		s.storeReport(now, m)
	case QuarantineSeen:
		s.quarantineSeen(now, m)
	case Tick:
		s.tick(now)
	case Suspended:
		s.suspended(now, m)
	default:
		s.decideNode(now, message)
	}
}

// decideAttempt handles messages about the response to an attempt, and what a server
// says about itself in any response.
func (s *State) decideAttempt(now time.Time, message Message) {
	switch m := message.(type) {
	case FirstToken:
		s.firstToken(now, m)
	case ServerNotice:
		s.serverNotice(now, m)
	case ManagementNotice:
		s.managementNotice(now, m)
	case AttemptDone:
		s.attemptDone(now, m)
	}
}

func (s *State) reply(to request.ID, decision Decision) {
	s.output.Replies = append(s.output.Replies, Reply{To: to, Decision: decision})
}

func (s *State) command(command Command) {
	s.output.Commands = append(s.output.Commands, command)
}

// refuse replies with a refusal to a request that has no entry in s.requests.
func (s *State) refuse(to request.ID, c code.Code, detail string) {
	s.reply(to, s.refusal(nil, code.New(c, detail), false))
}

// tick fires the expired timeouts of all chart instances and starts periodic
// work.
func (s *State) tick(now time.Time) {
	s.detectPause(now)
	s.repeatWindows.RecordNodes(s.sharingNodes(), now)
	s.expireNode(now)
	s.tickAgents(now)
	s.expireServers(now)
	s.expirePaces(now)
	s.expireEvacuations(now)
	s.expireStores(now)
	s.expireCacheStores(now)
	s.divideMemory(now)
	s.tickOrders(now)
	s.expireTransfers(now)
	s.reviewQuarantine(now)
	s.sendQuarantine(now)
	s.tickParts(now)
	s.stopLateStarts(now)
	s.endCallsAtStop(now)
	s.expireRequests(now)
	s.recordTracker.Expire(now)
	s.assignQueued(now)
}
