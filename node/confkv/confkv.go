// Package confkv stores configurations, session entries and quarantined
// fingerprints in the key-value service. It is used by package node/agent and by
// tanagerctl.
package confkv

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
)

// The keys and key prefixes in the key-value service.
const (
	KeyCurrent    = "config/current"
	PrefixHistory = "config/history/"
	PrefixNodes   = "nodes/"
)

// versionDigits is the number of digits of a version in a key. Leading zeros
// keep a list of keys in the order of the versions.
const versionDigits = 20

// Document is the stored form of a configuration.
type Document struct {
	Version uint64    `json:"version"`
	ApplyID string    `json:"apply_id"`
	Author  string    `json:"author"`
	At      time.Time `json:"at"`
	Rules   string    `json:"rules"`
}

// NewDocument returns the stored form of a configuration.
func NewDocument(c config.Configuration) Document {
	return Document{Version: uint64(c.Version), ApplyID: c.ApplyID, Author: c.Author, At: c.AppliedAt, Rules: string(c.Text)}
}

// Current returns the configuration that the document holds.
func (d Document) Current() config.Configuration {
	return config.Configuration{Version: config.Version(d.Version), ApplyID: d.ApplyID, Author: d.Author, AppliedAt: d.At, Text: []byte(d.Rules)}
}

// HistoryKey returns the key of a version in the history.
func HistoryKey(version config.Version) string {
	digits := strconv.FormatUint(uint64(version), 10)
	for len(digits) < versionDigits {
		digits = "0" + digits
	}
	return PrefixHistory + digits
}

// Encode returns the stored bytes of a configuration, or code.ConfigTooLarge.
func Encode(c config.Configuration) ([]byte, *code.Error) {
	data, err := json.Marshal(NewDocument(c))
	if err != nil {
		return nil, code.Wrap(code.Internal, "the configuration cannot be encoded", err)
	}
	if len(data) > kv.MaxValueBytes {
		return nil, code.Newf(code.ConfigTooLarge, "the configuration has %d bytes; a value may have %d", len(data), kv.MaxValueBytes)
	}
	return data, nil
}

// Decode returns the configuration of stored bytes, or code.RuleMalformed.
func Decode(data []byte) (config.Configuration, *code.Error) {
	var document Document
	if err := json.Unmarshal(data, &document); err != nil {
		return config.Configuration{}, code.Wrap(code.RuleMalformed, "the stored configuration is not valid JSON of the expected form", err)
	}
	return document.Current(), nil
}

// Source specifies the key of the configuration and the decoder of its value.
type Source struct {
	Key string
	// Decode returns the stored configuration, or code.RuleMalformed.
	Decode func(data []byte) (config.Configuration, *code.Error)
}

// DefaultSource returns the source of the configurations that Apply writes.
func DefaultSource() Source {
	return Source{Key: KeyCurrent, Decode: Decode}
}

// Read reads from DefaultSource, see Source.Read.
func Read(ctx context.Context, service kv.Service) (config.Configuration, kv.Revision, *code.Error) {
	return DefaultSource().Read(ctx, service)
}

// Read returns the current configuration and the revision from which a watch
// continues. Version 0 and kv.Absent mean that the service holds none.
func (s Source) Read(ctx context.Context, service kv.Service) (config.Configuration, kv.Revision, *code.Error) {
	entry, err := service.Get(ctx, s.Key)
	if err != nil && err.Code == code.KeyMissing {
		return config.Configuration{}, kv.Absent, nil
	}
	if err != nil {
		return config.Configuration{}, kv.Absent, err
	}
	current, err := s.Decode(entry.Value)
	// The service keeps changes for a limited time, so a watch cannot continue
	// from the revision of an entry that has not changed for long; it continues
	// from the revision of the read.
	return current, max(entry.Revision, entry.ServiceRevision), err
}

// Session is the stored form of a session entry. Relayed holds the versions in
// force at peers that cannot reach the key-value service.
type Session struct {
	Node        string            `json:"node"`
	Incarnation uint64            `json:"incarnation"`
	Version     uint64            `json:"version"`
	State       string            `json:"state"`
	Address     string            `json:"address,omitempty"`
	PeerAddress string            `json:"peer,omitempty"`
	Domain      string            `json:"domain,omitempty"`
	Relayed     map[string]uint64 `json:"relayed,omitempty"`
}

// NewSession returns the stored form of a session entry with the addresses at
// which the node serves callers and peers, and its failure domain.
func NewSession(e control.SessionEntry, address, peerAddress, domain string) Session {
	s := Session{
		Node: e.Node, Incarnation: e.Incarnation, Version: uint64(e.Version), State: e.State,
		Address: address, PeerAddress: peerAddress, Domain: domain,
	}
	for node, version := range e.Relayed {
		if s.Relayed == nil {
			s.Relayed = map[string]uint64{}
		}
		s.Relayed[node] = uint64(version)
	}
	return s
}

// Sessions returns the session entries of all nodes. It omits entries that
// cannot be decoded.
func Sessions(ctx context.Context, service kv.Service) ([]Session, *code.Error) {
	entries, _, err := service.List(ctx, PrefixNodes)
	if err != nil {
		return nil, err
	}
	var sessions []Session
	for _, entry := range entries {
		var session Session
		if json.Unmarshal(entry.Value, &session) == nil {
			sessions = append(sessions, session)
		}
	}
	return sessions, nil
}
