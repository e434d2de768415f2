package control

import (
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/membership"
	"tanagerspread/core/request"
)

// ConfigSeen reports a configuration that an agent read.
type ConfigSeen struct {
	Current config.Configuration
	// Rules is the parsed text, or nil when it cannot be parsed.
	Rules *config.Rules
	// Service is true when the configuration comes from the key-value service
	// and not from a peer.
	Service bool
	// Asked is when the read began.
	Asked time.Time
}

// ServiceReached reports a successful call of the key-value service that did
// not return a configuration.
type ServiceReached struct {
	Asked time.Time
}

// PeerDigest reports what a peer told about itself.
type PeerDigest struct {
	Digest membership.Digest
	// Asked is when this node asked for the digest. It is zero when the peer
	// sent the digest unasked; its ages are unusable then, because nothing
	// bounds the time that it was under way.
	Asked time.Time
	// Target names the peer that was asked. It differs from the name in the
	// digest when only the address of the peer was known.
	Target string
}

// AskDigest is the digest of a peer that asks for the own digest. It is
// answered by DigestAnswer.
type AskDigest struct {
	ID     request.ID
	Digest membership.Digest
}

// AskConfig asks for the configuration in force. It is answered by
// ConfigAnswer.
type AskConfig struct {
	ID request.ID
}

// SessionStep is one step in the life of the session entry.
type SessionStep string

// The steps of the session.
const (
	StepGrant  SessionStep = "grant"
	StepWrite  SessionStep = "write"
	StepRenew  SessionStep = "renew"
	StepRemove SessionStep = "remove"
)

// LeaseResult reports the result of a session step.
type LeaseResult struct {
	Step SessionStep
	// Lease is the lease that was granted.
	Lease string
	Err   *code.Error
}

// DigestAnswer is the own digest.
type DigestAnswer struct {
	Digest membership.Digest
}

// ConfigAnswer is the configuration in force; version 0 means none.
type ConfigAnswer struct {
	Current config.Configuration
}

// PeerTarget names a peer to contact.
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

// WriteConfig asks the configuration agent to repair a service that holds an
// older configuration. Replaced is what the service held.
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
	// Relayed holds the versions of peers that do not reach the service.
	Relayed map[string]config.Version
}

// SessionCommand asks the session agent for one step.
type SessionCommand struct {
	Step  SessionStep
	Lease string
	Entry SessionEntry
}

// ConfigInForce announces the version that the node now uses.
type ConfigInForce struct {
	Version config.Version
	Author  string
}

// Subject returns the identifier that the asker chose.
func (m AskDigest) Subject() request.ID { return m.ID }

// Subject returns the identifier that the asker chose.
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

// decideFleet handles messages about the node itself: those of the agents,
// the configuration and the planned stop.
func (s *State) decideFleet(now time.Time, message Message) {
	switch m := message.(type) {
	case Configure:
		s.configure(now, m)
	case Drain:
		s.fireNode("drain", now)
	case ConfigSeen:
		s.configSeen(now, m)
	case ServiceReached:
		s.noteContact(m.Asked)
	case PeerDigest:
		s.peerDigest(now, m)
	case AskDigest:
		s.peerDigest(now, PeerDigest{Digest: m.Digest})
		s.reply(m.ID, DigestAnswer{Digest: s.answer(now, m.Digest)})
	case PeerWork:
		s.peerWork(now, m)
	case AskConfig:
		s.reply(m.ID, ConfigAnswer{Current: s.configuration.current})
	case OrderMessage:
		s.decideOrders(now, m)
	case LeaseResult:
		s.leaseResult(now, m)
	default:
		s.inspect(now, message)
	}
}

// tickFleet lets the timeouts of the fleet's charts pass and starts the
// periodic work of the agents.
func (s *State) tickFleet(now time.Time) {
	if !s.options.Agents {
		return
	}
	s.expireConfiguration(now)
	s.expirePeers(now)
	s.tickSession(now)
	s.tickDigests(now)
	s.tickWork(now)
	s.tickRefresh(now)
	s.tickLeaving(now)
	s.chooseSource()
	s.tickReads(now)
}
