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

// maxItemBytes bounds one string in a list of a digest.
const maxItemBytes = 128

// digestWire is the encoded form of a digest. Its keys are short, because
// digests are most of what a node sends for control.
type digestWire struct {
	Node        string        `json:"n"`
	Incarnation uint64        `json:"i"`
	State       string        `json:"s"`
	Version     uint64        `json:"v"`
	Newest      uint64        `json:"w,omitempty"`
	Away        bool          `json:"a,omitempty"`
	ConfirmedMS *int64        `json:"c,omitempty"`
	List        uint32        `json:"l,omitempty"`
	Ages        []byte        `json:"g,omitempty"`
	Count       int           `json:"k,omitempty"`
	Quarantine  []string      `json:"q,omitempty"`
	Leaving     []leavingWire `json:"x,omitempty"`
}

type leavingWire struct {
	Server  string `json:"s"`
	Address string `json:"d"`
	AgeMS   int64  `json:"a"`
}

// workWire is the encoded form of a node's prompt work.
type workWire struct {
	Node    string   `json:"n"`
	Servers []string `json:"s"`
	Prefill []int    `json:"p"`
}

// maxWork bounds the servers of one message.
const maxWork = 1024

func workToWire(node string, work []control.ServerWork) workWire {
	w := workWire{Node: node}
	for _, one := range work[:min(len(work), maxWork)] {
		w.Servers = append(w.Servers, string(one.Server))
		w.Prefill = append(w.Prefill, one.PrefillTokens)
	}
	return w
}

// workFromWire returns the typed message. Servers over the bound or without a
// number are dropped.
func workFromWire(w workWire) control.PeerWork {
	m := control.PeerWork{Node: w.Node}
	for i := range min(len(w.Servers), len(w.Prefill), maxWork) {
		m.Work = append(m.Work, control.ServerWork{Server: fleet.ServerID(w.Servers[i]), PrefillTokens: w.Prefill[i]})
	}
	return m
}

// copyCall asks for the changes of the entries of the key-value service.
type copyCall struct {
	After  uint64 `json:"a"`
	WaitMS int64  `json:"w"`
}

// copyWire is the answer to copyCall.
type copyWire struct {
	Changes []kv.Change `json:"c,omitempty"`
	At      uint64      `json:"r"`
	Whole   bool        `json:"h,omitempty"`
}

// partsCall asks for the parts of a store or engine that the peer follows.
type partsCall struct {
	Target string `json:"t"`
	Epoch  uint64 `json:"e"`
	Since  uint64 `json:"s"`
	WaitMS int64  `json:"w"`
}

// partsWire is the answer to partsCall. A part that is gone has -1 tokens.
type partsWire struct {
	Epoch      uint64   `json:"e"`
	Next       uint64   `json:"n"`
	Whole      bool     `json:"h,omitempty"`
	Salts      []string `json:"s,omitempty"`
	IDs        []string `json:"i,omitempty"`
	Tokens     []int    `json:"k,omitempty"`
	Clock      int64    `json:"c"`
	AgeMS      int64    `json:"a"`
	ClockAgeMS int64    `json:"g"`
}

// goneTokens marks a part that is gone.
const goneTokens = -1

func partsToWire(c caches.FeedCopy) partsWire {
	w := partsWire{
		Epoch: c.Events.Epoch, Next: c.Next, Whole: c.Events.Snapshot, Clock: c.Events.Clock,
		AgeMS: ceilMS(c.Age), ClockAgeMS: c.ClockAge.Milliseconds(),
	}
	for _, e := range c.Events.Events {
		tokens := e.Tokens
		if !e.Added {
			tokens = goneTokens
		}
		w.Salts = append(w.Salts, e.Salt)
		w.IDs = append(w.IDs, e.ID)
		w.Tokens = append(w.Tokens, tokens)
	}
	return w
}

func partsFromWire(target string, w partsWire) caches.FeedCopy {
	c := caches.FeedCopy{
		Next: w.Next, Age: time.Duration(w.AgeMS) * time.Millisecond, ClockAge: time.Duration(w.ClockAgeMS) * time.Millisecond,
		Events: control.CacheEvents{Target: target, Epoch: w.Epoch, Snapshot: w.Whole, Clock: w.Clock},
	}
	for i := range min(len(w.Salts), len(w.IDs), len(w.Tokens)) {
		added := w.Tokens[i] != goneTokens
		c.Events.Events = append(c.Events.Events, control.PartEvent{Added: added, Salt: w.Salts[i], ID: w.IDs[i], Tokens: max(w.Tokens[i], 0)})
	}
	return c
}

type configWire struct {
	Document confkv.Document `json:"document"`
}

func toWire(d membership.Digest) digestWire {
	w := digestWire{
		Node: d.Node, Incarnation: d.Incarnation, State: d.State, Version: uint64(d.Version),
		Away: d.Away, List: d.List, Ages: pack(d.Ages), Count: len(d.Ages),
	}
	for _, known := range d.Quarantine[:min(len(d.Quarantine), quarantine.MaxShared)] {
		w.Quarantine = append(w.Quarantine, encodeFingerprint(known))
	}
	if d.Newest != d.Version {
		w.Newest = uint64(d.Newest)
	}
	if d.Confirmed >= 0 {
		age := ceilMS(d.Confirmed)
		w.ConfirmedMS = &age
	}
	for _, word := range d.Leaving[:min(len(d.Leaving), membership.MaxItems)] {
		w.Leaving = append(w.Leaving, leavingWire{Server: word.Server, Address: word.Address, AgeMS: ceilMS(word.Age)})
	}
	return w
}

// fromWire returns the typed digest. Items over the bounds are dropped.
func fromWire(w digestWire) membership.Digest {
	d := membership.Digest{
		Node: w.Node, Incarnation: w.Incarnation, State: w.State, Version: config.Version(w.Version),
		Newest: config.Version(max(w.Newest, w.Version)), Away: w.Away, Confirmed: membership.UnknownConfirmation,
		List: w.List, Ages: unpack(w.Ages, w.Count),
	}
	if w.ConfirmedMS != nil && *w.ConfirmedMS >= 0 {
		d.Confirmed = time.Duration(*w.ConfirmedMS) * time.Millisecond
	}
	for _, item := range w.Quarantine[:min(len(w.Quarantine), quarantine.MaxShared)] {
		if known, ok := decodeFingerprint(item); ok {
			d.Quarantine = append(d.Quarantine, known)
		}
	}
	for _, word := range w.Leaving[:min(len(w.Leaving), membership.MaxItems)] {
		d.Leaving = append(d.Leaving, membership.Leaving{
			Server: word.Server, Address: word.Address, Age: time.Duration(word.AgeMS) * time.Millisecond,
		})
	}
	return d
}

// ceilMS rounds an age up, so that it never looks shorter than it is.
func ceilMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// pack stores two ages in one byte.
func pack(ages []uint8) []byte {
	out := make([]byte, (len(ages)+1)/2)
	for i, age := range ages {
		out[i/2] |= (age & 0xf) << (4 * (i % 2))
	}
	return out
}

// unpack returns count ages, or nil when the length does not match.
func unpack(packed []byte, count int) []uint8 {
	if count < 0 || len(packed) != (count+1)/2 {
		return nil
	}
	ages := make([]uint8, count)
	for i := range ages {
		ages[i] = packed[i/2] >> (4 * (i % 2)) & 0xf
	}
	return ages
}
