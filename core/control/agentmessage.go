package control

import (
	"time"

	"tanagerspread/core/callerconn"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/membership"
	"tanagerspread/core/request"
)

// ConfigSeen reports a configuration that an agent read.
type ConfigSeen struct {
	Current config.Configuration
	// Rules are the parsed rules, or nil when the text cannot be parsed.
	Rules *config.Rules
	// FromService is true when the configuration comes from the key-value service
	// and not from a peer.
	FromService bool
	// AskedAt is when the read started.
	AskedAt time.Time
	// Isolation is the newest record of the isolated organisations that the peer has
	// seen, or the zero value.
	Isolation config.Isolation
}

// ServiceReached reports a successful call of the key-value service that did
// not return a configuration.
type ServiceReached struct {
	// AskedAt is when the call started.
	AskedAt time.Time
}

// PeerDigest reports the digest of a peer.
type PeerDigest struct {
	Digest membership.Digest
	// AskedAt is when this node asked for the digest. It is zero for an unrequested
	// digest, whose ages are unusable because nothing bounds the time that the
	// message took.
	AskedAt time.Time
	// Target is the name of the peer that was asked. It differs from the name in
	// the digest when the node had only the address of the peer.
	Target string
}

// AskDigest carries the digest of a peer that asks for this node's digest. It
// is answered by DigestAnswer.
type AskDigest struct {
	ID     request.ID
	Digest membership.Digest
}

// AskConfig asks for the configuration in force. It is answered by
// ConfigAnswer.
type AskConfig struct {
	ID request.ID
}

// SessionStep is one call of the key-value service that creates, keeps or
// removes the session entry.
type SessionStep string

// The steps of the session.
const (
	// StepGrant creates the lease.
	StepGrant SessionStep = "grant"
	// StepWrite writes the entry under the lease.
	StepWrite SessionStep = "write"
	// StepRenew extends the lease.
	StepRenew SessionStep = "renew"
	// StepRemove deletes the entry.
	StepRemove SessionStep = "remove"
)

// LeaseResult reports the result of a session step.
type LeaseResult struct {
	Step SessionStep
	// Lease is the lease that StepGrant returned.
	Lease string
	// Err is why the step failed, or nil.
	Err *code.Error
}

// DigestAnswer is this node's digest.
type DigestAnswer struct {
	Digest membership.Digest
}

// ConfigAnswer is the configuration in force; version 0 means none.
type ConfigAnswer struct {
	Current config.Configuration
	// Isolation is the newest record of the isolated organisations that this node has
	// seen, or the zero value.
	Isolation config.Isolation
}

// PeerTarget identifies a peer to contact.
type PeerTarget struct {
	Node    string
	Address string
}

// SendDigest asks the peer agent to exchange digests with each target.
type SendDigest struct {
	Targets []PeerTarget
	Digest  membership.Digest
}

// FetchConfig asks the peer agent for a newer configuration.
type FetchConfig struct {
	Target PeerTarget
}

// ReadConfig asks the configuration agent to read the key-value service.
type ReadConfig struct{}

// WriteConfig asks the configuration agent to write the configuration in force
// to a key-value service that has an older one, Replaced.
type WriteConfig struct {
	Replaced config.Configuration
	Current  config.Configuration
}

// SessionEntry is what a node publishes about itself.
type SessionEntry struct {
	Node        string
	Incarnation uint64
	Version     config.Version
	State       string
	// Relayed holds the versions in force at peers that cannot reach the
	// key-value service.
	Relayed map[string]config.Version
}

// SessionCommand asks the session agent for one step. It is followed by
// LeaseResult.
type SessionCommand struct {
	Step  SessionStep
	Lease string
	Entry SessionEntry
}

// ConfigInForce announces the configuration version that the node now uses.
type ConfigInForce struct {
	Version config.Version
	Author  string
	// Known is for how long the node has known that the version exists.
	Known time.Duration
	// CallerLimits are the limits of the configuration on the requests of callers.
	CallerLimits callerconn.Limits
}

// Subject returns the identifier that the requester chose.
func (m AskDigest) Subject() request.ID { return m.ID }

// Subject returns the identifier that the requester chose.
func (m AskConfig) Subject() request.ID { return m.ID }

func (ConfigSeen) message()     {}
func (ServiceReached) message() {}
func (PeerDigest) message()     {}
func (AskDigest) message()      {}
func (AskConfig) message()      {}
func (LeaseResult) message()    {}
func (DigestAnswer) decision()  {}
func (ConfigAnswer) decision()  {}
func (SendDigest) command()     {}
func (FetchConfig) command()    {}
func (ReadConfig) command()     {}
func (WriteConfig) command()    {}
func (SessionCommand) command() {}
func (ConfigInForce) command()  {}

// decideNode handles messages about the node itself: those of the agents,
// the configuration and the planned shutdown. All other messages are passed to
// inspect.
func (s *State) decideNode(now time.Time, message Message) {
	switch m := message.(type) {
	case Configure:
		s.configure(now, m)
	case Drain:
		s.beginStop(now)
	case ConfigSeen:
		s.configSeen(now, m)
	case IsolationSeen:
		s.isolationSeen(now, m)
	case ServiceReached:
		s.recordContact(m.AskedAt)
	case StoreEra:
		s.storeEraSeen(now, m.Era, "")
	case PeerDigest:
		s.peerDigest(now, m)
	case AskDigest:
		s.peerDigest(now, PeerDigest{Digest: m.Digest})
		s.reply(m.ID, DigestAnswer{Digest: s.digestAnswer(now, m.Digest)})
	case PeerWork:
		s.peerWork(now, m)
	case AskConfig:
		s.reply(m.ID, ConfigAnswer{Current: s.configuration.current, Isolation: s.isolation.newest})
	case OrderMessage:
		s.decideOrders(now, m)
		if _, named := m.(WeightsNamed); named {
			s.stopLateStarts(now)
		}
	case LeaseResult:
		s.leaseResult(now, m)
	default:
		s.inspect(now, message)
	}
}

// tickAgents fires the expired timeouts of the charts of the configuration, the
// peers and the session, and starts the periodic work of the agents.
func (s *State) tickAgents(now time.Time) {
	if !s.options.Agents {
		return
	}
	s.expireConfiguration(now)
	s.releaseFirstConfig(now)
	s.expirePeers(now)
	s.tickSession(now)
	_, _ = s.charts.isolation.Expire(&s.isolation.chart, s, now)
	s.tickDigests(now)
	s.tickWork(now)
	s.tickRefresh(now)
	s.tickLeaving(now)
	s.chooseEntrySource()
	s.tickReads(now)
}
