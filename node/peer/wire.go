// Package peer carries digests and configurations between nodes over
// jsonrpc2. Its goroutines hold no control state.
package peer

import (
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/quarantine"
	"tanagerspread/node/caches"
	"tanagerspread/node/confkv"
)

// The methods of the protocol.
const (
	methodDigest = "peer.digest"
	methodConfig = "peer.config"
	methodPing   = "peer.ping"
	methodWork   = "peer.work"
	methodCopy   = "peer.copy"
	methodParts  = "peer.parts"
)

// maxEncodedFingerprintBytes bounds one string in a list of a digest.
const maxEncodedFingerprintBytes = 128

// digestWire is the encoded form of a digest. Its keys are short, because
// digests are most of what a node sends for control.
type digestWire struct {
	Node               string              `json:"n"`
	Incarnation        uint64              `json:"i"`
	State              string              `json:"s"`
	Version            uint64              `json:"v"`
	NewestVersion      uint64              `json:"w,omitempty"`
	ServiceUnreachable bool                `json:"a,omitempty"`
	ConfirmedMS        *int64              `json:"c,omitempty"`
	MemberList         uint32              `json:"l,omitempty"`
	Ages               []byte              `json:"g,omitempty"`
	AgeCount           int                 `json:"k,omitempty"`
	Quarantine         []string            `json:"q,omitempty"`
	Leaving            []leavingReportWire `json:"x,omitempty"`
}

type leavingReportWire struct {
	Server  string `json:"s"`
	Address string `json:"d"`
	AgeMS   int64  `json:"a"`
}

// workParams is the encoded form of a node's prompt work.
type workParams struct {
	Node    string   `json:"n"`
	Servers []string `json:"s"`
	Prefill []int    `json:"p"`
}

// maxWorkServers bounds the servers of one message.
const maxWorkServers = 1024

func workToWire(node string, work []control.ServerWork) workParams {
	w := workParams{Node: node}
	for _, load := range work[:min(len(work), maxWorkServers)] {
		w.Servers = append(w.Servers, string(load.Server))
		w.Prefill = append(w.Prefill, load.PrefillTokens)
	}
	return w
}

// workFromWire returns the typed message. Servers over the bound or without a
// number are dropped.
func workFromWire(w workParams) control.PeerWork {
	m := control.PeerWork{Node: w.Node}
	for i := range min(len(w.Servers), len(w.Prefill), maxWorkServers) {
		m.Work = append(m.Work, control.ServerWork{Server: fleet.ServerID(w.Servers[i]), PrefillTokens: w.Prefill[i]})
	}
	return m
}

// copyParams asks for the changes of the entries of the key-value service.
type copyParams struct {
	After  uint64 `json:"a"`
	WaitMS int64  `json:"w"`
}

// copyResult is the answer to copyCall.
type copyResult struct {
	Changes  []kv.Change `json:"c,omitempty"`
	At       uint64      `json:"r"`
	Snapshot bool        `json:"h,omitempty"`
}

// partsParams asks for the parts of a store or engine that the peer follows.
type partsParams struct {
	Target string `json:"t"`
	Epoch  uint64 `json:"e"`
	Since  uint64 `json:"s"`
	WaitMS int64  `json:"w"`
}

// partsResult is the answer to partsCall. A part that is gone has -1 tokens.
type partsResult struct {
	Epoch      uint64   `json:"e"`
	Next       uint64   `json:"n"`
	Snapshot   bool     `json:"h,omitempty"`
	Salts      []string `json:"s,omitempty"`
	IDs        []string `json:"i,omitempty"`
	Tokens     []int    `json:"k,omitempty"`
	Clock      int64    `json:"c"`
	AgeMS      int64    `json:"a"`
	ClockAgeMS int64    `json:"g"`
}

// removedPartTokens marks a part that is gone.
const removedPartTokens = -1

func partsToWire(c caches.Copied) partsResult {
	w := partsResult{
		Epoch: c.Events.Epoch, Next: c.Next, Snapshot: c.Events.Snapshot, Clock: c.Events.Clock,
		AgeMS: ceilMS(c.Age), ClockAgeMS: c.ClockAge.Milliseconds(),
	}
	for _, event := range c.Events.Events {
		tokens := event.Tokens
		if !event.Added {
			tokens = removedPartTokens
		}
		w.Salts = append(w.Salts, event.Salt)
		w.IDs = append(w.IDs, event.ID)
		w.Tokens = append(w.Tokens, tokens)
	}
	return w
}

func partsFromWire(target string, w partsResult) caches.Copied {
	c := caches.Copied{
		Next: w.Next, Age: time.Duration(w.AgeMS) * time.Millisecond, ClockAge: time.Duration(w.ClockAgeMS) * time.Millisecond,
		Events: control.CacheEvents{Target: target, Epoch: w.Epoch, Snapshot: w.Snapshot, Clock: w.Clock},
	}
	for i := range min(len(w.Salts), len(w.IDs), len(w.Tokens)) {
		added := w.Tokens[i] != removedPartTokens
		c.Events.Events = append(c.Events.Events, control.PartEvent{Added: added, Salt: w.Salts[i], ID: w.IDs[i], Tokens: max(w.Tokens[i], 0)})
	}
	return c
}

type configResult struct {
	Document confkv.Document `json:"document"`
}

func digestToWire(d membership.Digest) digestWire {
	w := digestWire{
		Node: d.Node, Incarnation: d.Incarnation, State: d.State, Version: uint64(d.Version),
		ServiceUnreachable: d.Away, MemberList: d.List, Ages: packAges(d.Ages), AgeCount: len(d.Ages),
	}
	for _, fingerprint := range d.Quarantine[:min(len(d.Quarantine), quarantine.MaxShared)] {
		w.Quarantine = append(w.Quarantine, encodeFingerprint(fingerprint))
	}
	if d.Newest != d.Version {
		w.NewestVersion = uint64(d.Newest)
	}
	if d.Confirmed >= 0 {
		age := ceilMS(d.Confirmed)
		w.ConfirmedMS = &age
	}
	for _, report := range d.Leaving[:min(len(d.Leaving), membership.MaxItems)] {
		w.Leaving = append(w.Leaving, leavingReportWire{Server: report.Server, Address: report.Address, AgeMS: ceilMS(report.Age)})
	}
	return w
}

// digestFromWire returns the typed digest. Items over the bounds are dropped.
func digestFromWire(w digestWire) membership.Digest {
	d := membership.Digest{
		Node: w.Node, Incarnation: w.Incarnation, State: w.State, Version: config.Version(w.Version),
		Newest: config.Version(max(w.NewestVersion, w.Version)), Away: w.ServiceUnreachable, Confirmed: membership.UnknownConfirmation,
		List: w.MemberList, Ages: unpackAges(w.Ages, w.AgeCount),
	}
	if w.ConfirmedMS != nil && *w.ConfirmedMS >= 0 {
		d.Confirmed = time.Duration(*w.ConfirmedMS) * time.Millisecond
	}
	for _, encoded := range w.Quarantine[:min(len(w.Quarantine), quarantine.MaxShared)] {
		if fingerprint, ok := decodeFingerprint(encoded); ok {
			d.Quarantine = append(d.Quarantine, fingerprint)
		}
	}
	for _, report := range w.Leaving[:min(len(w.Leaving), membership.MaxItems)] {
		d.Leaving = append(d.Leaving, membership.Leaving{
			Server: report.Server, Address: report.Address, Age: time.Duration(report.AgeMS) * time.Millisecond,
		})
	}
	return d
}

// ceilMS rounds an age up, so that it never looks shorter than it is.
func ceilMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// packAges stores two ages in one byte.
func packAges(ages []uint8) []byte {
	packed := make([]byte, (len(ages)+1)/2)
	for i, age := range ages {
		packed[i/2] |= (age & 0xf) << (4 * (i % 2))
	}
	return packed
}

// unpackAges returns count ages, or nil when the length does not match.
func unpackAges(packed []byte, count int) []uint8 {
	if count < 0 || len(packed) != (count+1)/2 {
		return nil
	}
	ages := make([]uint8, count)
	for i := range ages {
		ages[i] = packed[i/2] >> (4 * (i % 2)) & 0xf
	}
	return ages
}
