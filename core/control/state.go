// Package control holds the state of the control thread and decides on each
// message. A State is used by one goroutine only.
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
	"tanagerspread/core/placement"
	"tanagerspread/core/quarantine"
	"tanagerspread/core/request"
	"tanagerspread/core/retry"
)

// Options are the fixed properties of a node.
type Options struct {
	Node   string
	Domain fleet.Domain
	Charts fs.FS
	// Seed starts the random numbers of the decisions.
	Seed uint64
	// Checker receives violations of invariants.
	Checker invariant.Checker
	// Incarnation grows with each start of the node's process.
	Incarnation uint64
	// Agents is true when agents connect the node to the key-value service
	// and to its peers. Without them a configuration counts as confirmed for
	// good, and the node keeps no session.
	Agents bool
	// ServerSlots is the number of attempts that the node sends to one
	// backend server at a time.
	ServerSlots int
	// DrainDelay replaces the timeout of the chart's state unready when it is
	// positive.
	DrainDelay time.Duration
	// MayIssueOrders is true when the node may become the issuer of orders to engines.
	MayIssueOrders bool
	// OrderTerms bound the orders to engines; the zero value stands for the terms
	// of the product's own engines.
	OrderTerms order.Terms
	// Unfenced is true when a node serves with the newest configuration that
	// it knows, whether or not it can confirm that it is in force.
	Unfenced bool
	// Forwarding is true when the node forwards calls: servers are then found
	// by what they serve, whatever weights they have loaded.
	Forwarding bool
	// OutdatedWeightsLimit is how long after new weights are named a request may begin
	// on older ones; 0 means no limit.
	OutdatedWeightsLimit time.Duration
	// RepeatLimit bounds the repeats of forwarded calls.
	RepeatLimit retry.Limit
	// Prices are what the ways to serve a forwarded call cost.
	Prices placement.Prices
}

// State is the control state of one node.
type State struct {
	options   Options
	charts    machines
	random    *rand.Rand
	lifecycle chart.Instance
	// announcedState is the state of the node that was reported last.
	announcedState chart.State
	version        config.Version
	rules          *config.Rules
	requests       map[request.ID]*active
	servers        map[fleet.ServerID]*fleet.Server
	// serverList lists the servers by identifier.
	serverList  []*fleet.Server
	serverIndex fleet.Index
	// scratch holds the eligible servers during one placement.
	scratch []*fleet.Server
	stores  map[fleet.ServerID]*fleet.Store
	// storeList lists the stores by identifier.
	storeList      []*fleet.Store
	recentPrefixes *placement.Recent
	partIndex      *placement.Holdings
	// cacheStores holds the stores of KV cache by name, cacheStoreList in order, and
	// followedTargets those whose events are followed.
	cacheStores     map[string]*fleet.CacheStore
	cacheStoreList  []*fleet.CacheStore
	followedTargets []CacheTarget
	// entrySource is the peer from which the entries of the key-value service are
	// copied.
	entrySource PeerTarget
	// lastOutdated is when an engine last had older weights than named.
	lastOutdated time.Time
	// leavingReportPending is true when peers are to be told of a leaving server.
	leavingReportPending bool
	// refreshedSlot is the last slot in which the turn to read was checked.
	refreshedSlot int64
	// reservation divides the engines between short and long calls.
	reservation   placement.Lanes
	placementTurn uint64
	queue         *limits.Queue
	rates         *limits.Rates
	tokenRates    *limits.Rates
	retryBudgets  *retry.Budgets
	repeatWindows *retry.Windows
	quarantine    *quarantine.List
	exports       *kvcache.Exports
	// runningExports holds the exports in progress.
	runningExports map[request.ID]*transfer
	exportCount    uint64
	// suspectAttempts counts the running attempts of each suspect fingerprint.
	suspectAttempts map[quarantine.Fingerprint]int
	orders          orders
	policy          placement.Policy
	journal         journal
	recordTracker   *once.Book
	output          Output
	members         *membership.Table
	// configuration, session and rounds belong to the fleet's side of the
	// node: config.go, session.go and members.go.
	configuration configuration
	session       session
	digestRounds  rounds
}

// New returns the state of a node that starts at now. It returns an error
// when a chart cannot be loaded.
func New(options Options, now time.Time) (*State, error) {
	s := &State{
		options:         options,
		random:          rand.New(rand.NewPCG(options.Seed, options.Seed)),
		requests:        map[request.ID]*active{},
		servers:         map[fleet.ServerID]*fleet.Server{},
		stores:          map[fleet.ServerID]*fleet.Store{},
		recentPrefixes:  placement.NewRecent(),
		partIndex:       placement.NewHoldings(),
		cacheStores:     map[string]*fleet.CacheStore{},
		queue:           limits.NewQueue(),
		rates:           limits.NewRates(),
		tokenRates:      limits.NewRates(),
		retryBudgets:    retry.NewBudgets(),
		repeatWindows:   retry.NewWindows(options.RepeatLimit),
		serverIndex:     fleet.Index{ByService: options.Forwarding},
		quarantine:      quarantine.NewList(),
		exports:         kvcache.NewExports(),
		runningExports:  map[request.ID]*transfer{},
		suspectAttempts: map[quarantine.Fingerprint]int{},
		orders:          newOrders(),
		policy:          placement.Estimate{},
		members:         membership.NewTable(options.Node),
	}
	s.placementTurn = s.random.Uint64()
	if err := s.loadCharts(options.Charts); err != nil {
		return nil, fmt.Errorf("load charts: %w", err)
	}
	records, err := once.NewBook(options.Charts)
	if err != nil {
		return nil, fmt.Errorf("load charts: %w", err)
	}
	s.recordTracker = records
	s.lifecycle = s.charts.node.Start(now)
	s.announcedState = s.lifecycle.State
	s.configuration.chart = s.charts.configuration.Start(now)
	s.configuration.startedAt = now
	s.randomizeReadAge()
	s.session.chart = s.charts.session.Start(now)
	s.orders.issuer.Terms = options.OrderTerms
	if options.OrderTerms.LeaseTime == 0 {
		s.orders.issuer.Terms = order.OwnTerms()
	}
	if options.OrderTerms.OnDemand {
		// A holder from before this node's start may still have an order in
		// flight.
		s.orders.issuer.OtherSeen = now
	}
	s.orders.issuer.Chart = s.charts.issuer.Start(now)
	return s, nil
}

// Handle decides on one message. The slices of the output are reused by the
// next call.
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
	case FirstToken:
		s.firstToken(now, m)
	case AttemptDone:
		s.attemptDone(now, m)
	case Recorded:
		s.recorded(now, m)
	case Abandon:
		s.abandon(now, m)
	case VMList:
		s.vmList(now, m)
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
	default:
		s.decideFleet(now, message)
	}
}

func (s *State) reply(to request.ID, decision Decision) {
	s.output.Replies = append(s.output.Replies, Reply{To: to, Decision: decision})
}

func (s *State) command(command Command) {
	s.output.Commands = append(s.output.Commands, command)
}

// refuse answers a request that the node does not keep.
func (s *State) refuse(to request.ID, c code.Code, detail string) {
	s.reply(to, s.refusal(nil, code.New(c, detail), false))
}

// tick fires the timeouts of all charts.
func (s *State) tick(now time.Time) {
	s.expireNode(now)
	s.tickFleet(now)
	s.expireServers(now)
	s.expireStores(now)
	s.expireCaches(now)
	s.tickOrders(now)
	s.expireTransfers(now)
	s.quarantine.Expire(now)
	s.expireRequests(now)
	s.recordTracker.Expire(now)
	s.assignQueued(now)
}
