// Package peer exchanges digests, prefill work, configurations and copies of
// service entries and cached parts between nodes over JSON-RPC 2.0. Its
// goroutines hold no control state.
package peer

import (
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/config"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
	"tanagerspread/core/membership"
	"tanagerspread/core/quarantine"
	"tanagerspread/core/request"
	"tanagerspread/core/shares"
	"tanagerspread/node/caches"
	"tanagerspread/node/confkv"
)

// The JSON-RPC methods of the protocol.
const (
	methodDigest = "peer.digest"
	methodConfig = "peer.config"
	methodPing   = "peer.ping"
	methodWork   = "peer.work"
	methodCopy   = "peer.copy"
	methodParts  = "peer.parts"
)

// maxEncodedFingerprintBytes bounds the text of one quarantine status in a
// digest.
const maxEncodedFingerprintBytes = 128

// digestWire is the encoded form of a digest. Its keys are short because digests
// make up most of a node's control messages.
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
	NamedWeights       []namedWeightsWire  `json:"h,omitempty"`
	// WantsNamedWeights is 1 for true, which is shorter.
	WantsNamedWeights int             `json:"y,omitempty"`
	StoreEra          uint64          `json:"e,omitempty"`
	PartCrashes       []partCrashWire `json:"b,omitempty"`
	PartProofs        []partAgeWire   `json:"p,omitempty"`
	QuarantinedParts  []string        `json:"z,omitempty"`
}

// namedWeightsWire is the encoded form of a named weight version in a digest.
type namedWeightsWire struct {
	Model   string `json:"m"`
	Version int    `json:"v"`
	AgeMS   int64  `json:"a"`
}

// leavingReportWire is the encoded form of a leaving report in a digest.
type leavingReportWire struct {
	Server  string `json:"s"`
	Address string `json:"d"`
	AgeMS   int64  `json:"a"`
	Started int64  `json:"b,omitempty"`
	Entry   uint64 `json:"r,omitempty"`
}

// workParams is the encoded form of a node's work. Prefill, Private and Shared hold
// the prefill work, the private memory and the shared parts, in tokens, at the server
// with the same index in Servers.
type workParams struct {
	Node    string             `json:"n"`
	Servers []string           `json:"s"`
	Prefill []int              `json:"p"`
	Private []int              `json:"m"`
	Shared  [][]sharedPartWire `json:"x"`
	// Demand is the waiting work of each organisation in tokens.
	Demand map[string]int `json:"d,omitempty"`
	// Turn is the turn at the start of which it waited.
	Turn int64 `json:"t,omitempty"`
}

// sharedPartWire is the hash and the number of tokens of a shared part.
type sharedPartWire [2]int64

const (
	// maxWorkServers bounds the servers in one message of work.
	maxWorkServers = 1024
	// maxWorkOrganisations bounds the organisations in such a message.
	maxWorkOrganisations = 256
	// maxWorkParts bounds the shared parts of one server in such a message.
	maxWorkParts = 256
	// maxWorkTokens bounds each number of tokens in such a message, so that sums over all
	// peers and parts do not overflow.
	maxWorkTokens = 1 << 40
)

// boundTokens returns a number of tokens from 0 to maxWorkTokens.
func boundTokens(tokens int) int {
	return min(max(tokens, 0), maxWorkTokens)
}

func workToWire(m control.SendWork) workParams {
	w := workParams{Node: m.Node}
	w.Turn = m.Waiting.Turn
	if len(m.Waiting.Demand) > 0 {
		w.Demand = make(map[string]int, len(m.Waiting.Demand))
	}
	for organisation, tokens := range m.Waiting.Demand {
		w.Demand[string(organisation)] = tokens
	}
	for _, serverWork := range m.Work[:min(len(m.Work), maxWorkServers)] {
		w.Servers = append(w.Servers, string(serverWork.Server))
		w.Prefill = append(w.Prefill, serverWork.PrefillTokens)
		w.Private = append(w.Private, serverWork.Memory.Private)
		w.Shared = append(w.Shared, sharedPartsToWire(serverWork.Memory.Shared))
	}
	return w
}

func sharedPartsToWire(parts []fleet.SharedPart) []sharedPartWire {
	encoded := []sharedPartWire{}
	for _, part := range parts[:min(len(parts), maxWorkParts)] {
		encoded = append(encoded, sharedPartWire{int64(part.Hash), int64(part.Tokens)})
	}
	return encoded
}

// workFromWire decodes the work of a peer. It omits servers beyond maxWorkServers,
// servers that lack a number, and bounds the numbers.
func workFromWire(w workParams) control.PeerWork {
	m := control.PeerWork{Node: w.Node}
	if len(w.Demand) <= maxWorkOrganisations {
		m.Waiting = shares.TurnDemand{Turn: w.Turn, Demand: shares.Demand{}}
		for organisation, tokens := range w.Demand {
			m.Waiting.Demand[request.Organisation(organisation)] = boundTokens(tokens)
		}
	}
	for i := range min(len(w.Servers), len(w.Prefill), len(w.Private), len(w.Shared), maxWorkServers) {
		work := fleet.Work{
			PrefillTokens: boundTokens(w.Prefill[i]),
			Memory:        fleet.MemoryUse{Private: boundTokens(w.Private[i]), Shared: sharedPartsFromWire(w.Shared[i])},
		}
		m.Work = append(m.Work, control.ServerWork{Server: fleet.ServerID(w.Servers[i]), Work: work})
	}
	return m
}

func sharedPartsFromWire(encoded []sharedPartWire) []fleet.SharedPart {
	var parts []fleet.SharedPart
	for _, part := range encoded[:min(len(encoded), maxWorkParts)] {
		parts = append(parts, fleet.SharedPart{Hash: uint32(part[0]), Tokens: boundTokens(int(part[1]))})
	}
	return parts
}

// copyParams requests the changes after a revision in the peer's copy of the
// key-value service; revision 0 requests all entries.
type copyParams struct {
	After  uint64 `json:"a"`
	WaitMS int64  `json:"w"`
}

// copyResult is the result of a call with copyParams. At is the revision from
// which the next call continues.
type copyResult struct {
	Changes  []kv.Change `json:"c,omitempty"`
	At       uint64      `json:"r"`
	Snapshot bool        `json:"h,omitempty"`
}

// partsParams requests the events of a cache store or engine that the peer
// follows itself, from position Since in the given epoch.
type partsParams struct {
	Target string `json:"t"`
	Epoch  uint64 `json:"e"`
	Since  uint64 `json:"s"`
	WaitMS int64  `json:"w"`
}

// partsResult is the result of a call with partsParams. Salts, IDs and Tokens
// have one element for each event; a removed part has removedPartTokens.
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

// removedPartTokens is the number of tokens that marks a part as removed.
const removedPartTokens = -1

func partsToWire(c caches.FeedCopy) partsResult {
	w := partsResult{
		Epoch: c.Events.Epoch, Next: c.Next, Snapshot: c.Events.Snapshot, Clock: c.Events.ClockMS,
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

func partsFromWire(target string, w partsResult) caches.FeedCopy {
	c := caches.FeedCopy{
		Next: w.Next, Age: time.Duration(w.AgeMS) * time.Millisecond, ClockAge: time.Duration(w.ClockAgeMS) * time.Millisecond,
		Events: control.CacheEvents{Target: target, Epoch: w.Epoch, Snapshot: w.Snapshot, ClockMS: w.Clock},
	}
	for i := range min(len(w.Salts), len(w.IDs), len(w.Tokens)) {
		added := w.Tokens[i] != removedPartTokens
		c.Events.Events = append(c.Events.Events, control.PartEvent{Added: added, Salt: w.Salts[i], ID: w.IDs[i], Tokens: max(w.Tokens[i], 0)})
	}
	return c
}

// configResult is the result of a call for the peer's configuration.
type configResult struct {
	Document  confkv.Document          `json:"document"`
	Isolation confkv.IsolationDocument `json:"isolation"`
}

func digestToWire(d membership.Digest) digestWire {
	w := digestWire{
		Node: d.Node, Incarnation: d.Incarnation, State: d.State, Version: uint64(d.Version),
		ServiceUnreachable: d.KeyValueUnreachable, MemberList: d.MemberListID, Ages: packAges(d.LastSeenAges), AgeCount: len(d.LastSeenAges), StoreEra: d.StoreEra,
	}
	for _, status := range d.Quarantine[:min(len(d.Quarantine), quarantine.MaxDigestEntries)] {
		w.Quarantine = append(w.Quarantine, encodeQuarantineStatus(status))
	}
	partReportsToWire(&w, d.Parts)
	if d.WantsNamedWeights {
		w.WantsNamedWeights = 1
	}
	if d.NewestVersion != d.Version {
		w.NewestVersion = uint64(d.NewestVersion)
	}
	if d.ConfirmationAge >= 0 {
		age := ceilMS(d.ConfirmationAge)
		w.ConfirmedMS = &age
	}
	for _, report := range d.LeavingReports[:min(len(d.LeavingReports), membership.MaxPeriodicItems)] {
		w.Leaving = append(w.Leaving, leavingReportWire{
			Server: report.Server, Address: report.Address, AgeMS: ceilMS(report.Age), Started: report.StartedAtMS, Entry: report.Revision,
		})
	}
	for _, named := range d.NamedWeights[:min(len(d.NamedWeights), membership.MaxNamedWeights)] {
		// Rounded down, so that a time that is relayed does not move into the past.
		w.NamedWeights = append(w.NamedWeights, namedWeightsWire{Model: named.Model, Version: named.Version, AgeMS: named.Age.Milliseconds()})
	}
	return w
}

// digestFromWire decodes the digest of a peer. It omits leaving reports, quarantine
// statuses and named weights beyond the maximum numbers, and malformed ones.
func digestFromWire(w digestWire) membership.Digest {
	d := membership.Digest{
		Node: w.Node, Incarnation: w.Incarnation, State: w.State, Version: config.Version(w.Version),
		NewestVersion: config.Version(max(w.NewestVersion, w.Version)), KeyValueUnreachable: w.ServiceUnreachable, ConfirmationAge: membership.UnknownConfirmation,
		MemberListID: w.MemberList, LastSeenAges: unpackAges(w.Ages, w.AgeCount), WantsNamedWeights: w.WantsNamedWeights == 1, StoreEra: w.StoreEra,
	}
	if w.ConfirmedMS != nil && *w.ConfirmedMS >= 0 {
		d.ConfirmationAge = time.Duration(*w.ConfirmedMS) * time.Millisecond
	}
	for _, encoded := range w.Quarantine[:min(len(w.Quarantine), quarantine.MaxDigestEntries)] {
		if status, ok := decodeQuarantineStatus(encoded); ok {
			d.Quarantine = append(d.Quarantine, status)
		}
	}
	d.Parts = partReportsFromWire(w)
	for _, report := range w.Leaving[:min(len(w.Leaving), membership.MaxPeriodicItems)] {
		d.LeavingReports = append(d.LeavingReports, membership.LeavingReport{
			Server: report.Server, Address: report.Address, Age: time.Duration(report.AgeMS) * time.Millisecond,
			StartedAtMS: report.Started, Revision: report.Entry,
		})
	}
	for _, named := range w.NamedWeights[:min(len(w.NamedWeights), membership.MaxNamedWeights)] {
		if named.AgeMS < 0 {
			continue
		}
		d.NamedWeights = append(d.NamedWeights, membership.NamedWeights{
			Model: named.Model, Version: named.Version, Age: time.Duration(min(named.AgeMS, maxAgeMS)) * time.Millisecond,
		})
	}
	return d
}

// maxAgeMS bounds the ages of named weights, far above every limit that counts from them.
const maxAgeMS = int64(time.Hour / time.Millisecond)

// ceilMS returns an age in milliseconds, rounded up so that the receiver never
// takes a report for newer than it is.
func ceilMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// packAges stores two ages of 4 bits in each byte.
func packAges(ages []uint8) []byte {
	packed := make([]byte, (len(ages)+1)/2)
	for i, age := range ages {
		packed[i/2] |= (age & 0xf) << (4 * (i % 2))
	}
	return packed
}

// unpackAges returns the ages that packAges stored, or nil when the number of
// bytes does not match count.
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
