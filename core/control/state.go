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
	// Issuer is true when the node may become the issuer of orders to engines.
	Issuer bool
	// Orders bound the orders to engines; the zero value stands for the terms
	// of the product's own engines.
	Orders order.Parameters
	// Unfenced is true when a node serves with the newest configuration that
	// it knows, whether or not it can confirm that it is in force.
	Unfenced bool
	// Forwarding is true when the node forwards calls: servers are then found
	// by what they serve, whatever weights they have loaded.
	Forwarding bool
	// WeightsLimit is how long after new weights are named a request may begin
	// on older ones; 0 means no limit.
	WeightsLimit time.Duration
	// Repeats bounds the repeats of forwarded calls.
	Repeats retry.RepeatLimit
	// Prices are what the ways to serve a forwarded call cost.
	Prices placement.Prices
}

// State is the control state of one node.
type State struct {
	options Options
	charts  machines
	random  *rand.Rand
	life    chart.Instance
	// announced is the state of the node that was reported last.
	announced chart.State
	version   config.Version
	rules     *config.Rules
	requests  map[request.ID]*active
	servers   map[fleet.ServerID]*fleet.Server
	// ordered lists the servers by identifier.
	ordered []*fleet.Server
	index   fleet.Index
	// scratch holds the eligible servers during one placement.
	scratch []*fleet.Server
	stores  map[fleet.ServerID]*fleet.Store
	// storeList lists the stores by identifier.
	storeList []*fleet.Store
	recent    *placement.Recent
	holdings  *placement.Holdings
	// caches holds the stores of KV cache by name, cacheList in order, and
	// followed those whose events are followed.
	caches    map[string]*fleet.CacheStore
	cacheList []*fleet.CacheStore
	followed  []CacheTarget
	// source is the peer from which the entries of the key-value service are
	// copied.
	source PeerTarget
	// lastBehind is when an engine last had older weights than named.
	lastBehind time.Time
	// leavingNews is true when peers are to be told of a leaving server.
	leavingNews bool
	// refreshed is the last slot in which the turn to read was checked.
	refreshed int64
	// lanes divides the engines between short and long calls.
	lanes      placement.Lanes
	placements uint64
	queue      *limits.Queue
	rates      *limits.RateLimiter
	tokenRates *limits.RateLimiter
	budget     *retry.Budgets
	repeats    *retry.RepeatLimiter
	quarantine *quarantine.List
	exports    *kvcache.Exports
	// transfers holds the exports in progress.
	transfers   map[request.ID]*transfer
	exportCount uint64
	// suspectRuns counts the running attempts of each suspect fingerprint.
	suspectRuns map[quarantine.Fingerprint]int
	orders      orders
	policy      placement.Policy
	journal     journal
	records     *once.Tracker
	out         Output
	members     *membership.Table
	// configuration, session and rounds belong to the fleet's side of the
	// node: config.go, session.go and members.go.
	configuration configuration
	session       session
	rounds        rounds
}

// New returns the state of a node that starts at now. It returns an error
// when a chart cannot be loaded.
func New(options Options, now time.Time) (*State, error) {
	s := &State{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, options.Seed)),
		requests:    map[request.ID]*active{},
		servers:     map[fleet.ServerID]*fleet.Server{},
		stores:      map[fleet.ServerID]*fleet.Store{},
		recent:      placement.NewRecent(),
		holdings:    placement.NewHoldings(),
		caches:      map[string]*fleet.CacheStore{},
		queue:       limits.NewQueue(),
		rates:       limits.NewRateLimiter(),
		tokenRates:  limits.NewRateLimiter(),
		budget:      retry.NewBudgets(),
		repeats:     retry.NewRepeatLimiter(options.Repeats),
		index:       fleet.Index{ByService: options.Forwarding},
		quarantine:  quarantine.NewList(),
		exports:     kvcache.NewExports(),
		transfers:   map[request.ID]*transfer{},
		suspectRuns: map[quarantine.Fingerprint]int{},
		orders:      newOrders(),
		policy:      placement.Estimate{},
		members:     membership.NewTable(options.Node),
	}
	s.placements = s.random.Uint64()
	if err := s.loadCharts(options.Charts); err != nil {
		return nil, fmt.Errorf("load charts: %w", err)
	}
	records, err := once.NewTracker(options.Charts)
	if err != nil {
		return nil, fmt.Errorf("load charts: %w", err)
	}
	s.records = records
	s.life = s.charts.node.Start(now)
	s.announced = s.life.State
	s.configuration.position = s.charts.configuration.Start(now)
	s.configuration.started = now
	s.drawReadAge()
	s.session.position = s.charts.session.Start(now)
	s.orders.issuer.Parameters = options.Orders
	if options.Orders.LeaseTTL == 0 {
		s.orders.issuer.Parameters = order.OwnParameters()
	}
	if options.Orders.OnDemand {
		// A holder from before this node's start may still have an order in
		// flight.
		s.orders.issuer.OtherHolderSeenAt = now
	}
	s.orders.issuer.Chart = s.charts.issuer.Start(now)
	return s, nil
}

// Handle decides on one message. The slices of the output are reused by the
// next call.
func (s *State) Handle(now time.Time, message Message) Output {
	s.out.Replies = s.out.Replies[:0]
	s.out.Commands = s.out.Commands[:0]
	s.decide(now, message)
	return s.out
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
	s.out.Replies = append(s.out.Replies, Reply{To: to, Decision: decision})
}

func (s *State) command(command Command) {
	s.out.Commands = append(s.out.Commands, command)
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
	s.records.Expire(now)
	s.assignQueued(now)
}
