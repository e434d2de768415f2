package control

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"tanagerspread/chart"
	"tanagerspread/core/cachekey"
	"tanagerspread/core/config"
	"tanagerspread/core/fleet"
	"tanagerspread/core/invariant"
	"tanagerspread/core/kvcache"
	"tanagerspread/core/membership"
	"tanagerspread/core/placement"
	"tanagerspread/core/quarantine"
	"tanagerspread/core/request"
)

const (
	benchMembers = 340
	// benchRequests is the number of requests that one node has in progress
	// when 6.8 requests arrive a second and each takes 22 s.
	benchRequests = 150
)

func benchMember(i int) string {
	return fmt.Sprintf("entry-vm-%04d", i)
}

// benchNodeState returns a ready node with 339 peers, all of which it has seen,
// and its VM list. Each member of the member list is a node here. The option
// Agents is set: in the program, agents are the goroutines that connect a node to
// the key-value service and to its peers. Without it the control state starts no
// periodic work for them, and a tick would cost less than in the program.
func benchNodeState(b failer) (*State, []VM) {
	b.Helper()
	s, err := New(Options{
		Node: benchMember(0), Charts: chart.Embedded(), Seed: 1, ServerSlots: testSlots, Agents: true, Incarnation: 1,
		Checker: invariant.NewChecker(func(v *invariant.Violation) { panic(v) }),
	}, testStart)
	if err != nil {
		b.Fatal(err)
	}
	list := benchList(benchServers)
	for i := range benchMembers {
		list = append(list, VM{ID: benchMember(i), Address: benchMember(i), PeerAddress: benchMember(i), Role: fleet.RoleEntryVM})
	}
	s.Handle(testStart, VMList{VMs: list})
	s.Handle(testStart, Configure{Version: 1, Rules: benchRules(benchOrganisations, 1000)})
	for i := range benchMembers - 1 {
		s.Handle(testStart, PeerDigest{Digest: benchDigest(i+1, s.members.Members()), AskedAt: testStart})
	}
	return s, list
}

// benchDigest returns the digest with which a peer answers.
func benchDigest(i int, members []string) membership.Digest {
	d := membership.Digest{
		Node: benchMember(i), Incarnation: 1, State: "ready", Version: 1, NewestVersion: 1,
		ConfirmationAge: time.Second, MemberListID: membership.MemberListID(members), LastSeenAges: make([]uint8, len(members)),
	}
	for k := range d.LastSeenAges {
		d.LastSeenAges[k] = uint8(k % 8)
	}
	return d
}

// TestTickAllocations guards against heap allocations in a tick, of which there
// are 20 a second.
func TestTickAllocations(t *testing.T) {
	s, _ := benchNodeState(t)
	if got := testing.AllocsPerRun(20, func() { s.Handle(testStart, Tick{}) }); got > 0 {
		t.Errorf("%v allocations a tick, want none", got)
	}
}

// BenchmarkNodeTick measures one tick of a node among 340 members with 1,000
// servers and 150 requests in progress.
func BenchmarkNodeTick(b *testing.B) {
	s, _ := benchNodeState(b)
	for i := range benchRequests {
		r, prefix := benchRequest(i)
		admitAndPlace(b, s, testStart, r, prefix...)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s.Handle(testStart, Tick{})
	}
}

// BenchmarkNodeVMList measures one VMList message with 1,000 servers and 340
// members.
func BenchmarkNodeVMList(b *testing.B) {
	s, list := benchNodeState(b)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s.Handle(testStart, VMList{VMs: list})
	}
}

// BenchmarkPeerDigest measures a peer's answer among 340 members.
func BenchmarkPeerDigest(b *testing.B) {
	s, _ := benchNodeState(b)
	message := PeerDigest{Digest: benchDigest(7, s.members.Members()), AskedAt: testStart}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s.Handle(testStart, message)
	}
}

// BenchmarkAskDigest measures a peer's question for the digest and the answer
// to it, among 340 members.
func BenchmarkAskDigest(b *testing.B) {
	s, _ := benchNodeState(b)
	message := AskDigest{ID: "q", Digest: benchDigest(7, nil)}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s.Handle(testStart, message)
	}
}

// BenchmarkConfigure measures a new configuration of 1,400 organisations with
// 1,000 servers.
func BenchmarkConfigure(b *testing.B) {
	s, _ := benchNodeState(b)
	rules := benchRules(benchOrganisations, 1000)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		s.Handle(testStart, Configure{Version: config.Version(i + 2), Rules: rules})
	}
}

// BenchmarkUnknownToken measures a refusal after the comparison with the
// digests of 1,400 tokens.
func BenchmarkUnknownToken(b *testing.B) {
	s, _ := benchNodeState(b)
	r := completion("r", 0, time.Time{})
	r.TokenDigest = request.Digest{9, 9, 9}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		s.Handle(testStart, Admit{Request: r})
	}
}

// BenchmarkFullQuarantine measures the check of a full quarantine list for
// expired entries, which each tick makes.
func BenchmarkFullQuarantine(b *testing.B) {
	list, err := quarantine.NewList(chart.Embedded(), quarantine.NewServers(testStart), testStart)
	if err != nil {
		b.Fatal(err)
	}
	fillQuarantine(list, 4096)
	b.ResetTimer()
	for range b.N {
		list.Review(testStart, nil)
	}
}

func fillQuarantine(list *quarantine.List, count int) {
	for i := range count {
		e := quarantine.Entry{Kind: quarantine.Quarantined, Server: "e1", ExpiresAt: testStart.Add(time.Hour)}
		binary.LittleEndian.PutUint32(e.Fingerprint[:], uint32(i))
		list.MergeEntry(testStart, e)
	}
}

// BenchmarkBoundedMemory reports the heap bytes of the bounded lists per
// entry, and of a peer.
func BenchmarkBoundedMemory(b *testing.B) {
	const count = 4096
	key := func(i int) cachekey.Key {
		var k cachekey.Key
		binary.LittleEndian.PutUint32(k[:], uint32(i))
		return k
	}
	for range b.N {
		start := heapBytes()
		recent := placement.NewRecentPrefixes()
		for i := range count {
			recent.Record(testStart, []cachekey.Key{key(i)}, fleet.ServerID(benchMember(i)))
		}
		prefixes := heapBytes()
		exports := kvcache.NewExports()
		for i := range count {
			exports.RecordExported(testStart, []cachekey.Key{key(i)})
		}
		exported := heapBytes()
		list, err := quarantine.NewList(chart.Embedded(), quarantine.NewServers(testStart), testStart)
		if err != nil {
			b.Fatal(err)
		}
		fillQuarantine(list, count)
		quarantined := heapBytes()
		members := membership.NewTable(benchMember(0))
		locations := map[string]membership.Location{}
		for i := range benchMembers {
			locations[benchMember(i)] = membership.Location{Address: benchMember(i)}
		}
		members.SetMembers(locations, func() chart.Instance { return chart.Instance{} })
		peers := heapBytes()
		b.ReportMetric((prefixes-start)/count, "B/prefix")
		b.ReportMetric((exported-prefixes)/count, "B/export")
		b.ReportMetric((quarantined-exported)/count, "B/quarantine")
		b.ReportMetric((peers-quarantined)/benchMembers, "B/peer")
		runtime.KeepAlive([]any{recent, exports, list, members, locations})
	}
}
