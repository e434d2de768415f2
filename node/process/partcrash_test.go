package process_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/standin/deployed"
)

const (
	// crashPart is the prompt part that crashes servers, commonPart the first part of
	// most calls.
	crashPart  = "5eed00000001"
	commonPart = "c0ffee000002"
	// crashRestartTime is how long after its crash a server is back under another id,
	// crashEntryTime how long its entry stays in the store.
	crashRestartTime = 2 * time.Second
	crashEntryTime   = 2500 * time.Millisecond
	// crashWorkTime is how long a server works on a call.
	crashWorkTime = 100 * time.Millisecond
	// maxCallsAfterCrashes is how many calls with the part may still reach servers once
	// contactTime has passed after crashLimit crashes.
	maxCallsAfterCrashes = 3
	crashLimit           = 5
)

// crashSite is a site whose servers crash under one prompt part and come back. The mutex
// guards its fields and the cleanups of the site.
type crashSite struct {
	*deployedSite
	mu      sync.Mutex
	started int
	servers []*deployed.Server
	crashes []time.Time
	running sync.WaitGroup
}

// startServerUnder starts a server that crashes under crashPart.
func (s *crashSite) startServerUnder() {
	s.mu.Lock()
	s.started++
	server := deployed.NewServer(fmt.Sprintf("i-%d", s.started), 3)
	address := fmt.Sprintf("10.0.9.%d:1", s.started)
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	server.WorkTime = crashWorkTime
	server.CrashPart = crashPart
	httpServer := &http.Server{Handler: server.Handler()}
	var once sync.Once
	server.Crash = func() {
		once.Do(func() {
			s.mu.Lock()
			s.crashes = append(s.crashes, time.Now())
			s.mu.Unlock()
			s.running.Go(func() { s.replace(server, httpServer) })
		})
	}
	listener := s.network.Listen(address)
	s.running.Go(func() { _ = httpServer.Serve(listener) })
	s.mu.Lock()
	s.cleanups = append(s.cleanups, func() { _ = httpServer.Close() })
	s.mu.Unlock()
	s.store.RegisterServer(server, address, "ready", testMaxConcurrency)
}

// crashCount returns the number of crashes so far.
func (s *crashSite) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes)
}

// replace ends a server and starts another one, as the platform does.
func (s *crashSite) replace(server *deployed.Server, httpServer *http.Server) {
	_ = httpServer.Close()
	time.Sleep(crashRestartTime)
	s.startServerUnder()
	time.Sleep(crashEntryTime - crashRestartTime)
	s.store.Remove("servers/" + server.ID)
}

// TestCrashingPartNotSent guards against a prompt part that crashes one server after the
// other because no two of the calls with it are alike, and against sound calls that are
// refused because they share their caller or other parts with them.
func TestCrashingPartNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		nodes  int
		prompt func(i int) []string
		sound  func(i int) []string
	}{
		"first part": {
			nodes:  3,
			prompt: func(i int) []string { return []string{crashPart, fmt.Sprintf("doc%d", i%5)} },
			sound:  func(i int) []string { return []string{commonPart, fmt.Sprintf("doc%d", i%5)} },
		},
		"second part, behind common parts": {
			nodes:  3,
			prompt: func(i int) []string { return []string{[]string{commonPart, "other"}[i/2%2], crashPart} },
			sound:  func(i int) []string { return []string{[]string{commonPart, "other"}[i/2%2], fmt.Sprintf("doc%d", i%5)} },
		},
		"seven nodes": {
			nodes:  7,
			prompt: func(i int) []string { return []string{commonPart, crashPart, fmt.Sprintf("doc%d", i%3)} },
			sound:  func(i int) []string { return []string{commonPart, fmt.Sprintf("doc%d", i%3)} },
		},
	} {
		t.Run(name, func(t *testing.T) {
			runAtSite(t, func(base *deployedSite) {
				s := &crashSite{deployedSite: base}
				for range 12 {
					s.startServerUnder()
				}
				s.writeConfiguration(testKey)
				var nodes []*deployedNode
				for i := range c.nodes {
					nodes = append(nodes, s.startNode(fmt.Sprintf("n%d", i), "n0:peers"))
				}
				waitForRepeats()
				served := s.playCrashes(nodes, c.prompt, c.sound)
				s.checkCrashes(t, served)
			})
		})
	}
}

// playCrashes sends ten calls a second for 20 s, half of them with crashPart, and returns
// how many of the sound calls of the second half were served. The calls with crashPart of
// the second half must be refused as not run.
func (s *crashSite) playCrashes(nodes []*deployedNode, prompt, sound func(i int) []string) int {
	const calls, interval = 200, 100 * time.Millisecond
	var mu sync.Mutex
	var sent sync.WaitGroup
	served := 0
	for i := range calls {
		parts := sound(i)
		if i%2 == 0 {
			parts = prompt(i)
		}
		id := fmt.Sprintf("call-%d", i)
		sent.Go(func() {
			got, err := nodes[(i*5+i/7)%len(nodes)].tryCall("POST", "/review/", promptHeader(id, parts), "body of "+id)
			mu.Lock()
			defer mu.Unlock()
			if i%2 == 0 && i >= calls/2 && (got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "") {
				s.t.Errorf("call %d with the part got %+v", i, got)
			}
			if err == nil && got.status == http.StatusOK && !got.incomplete && i%2 == 1 && i >= calls/2 {
				served++
			}
		})
		time.Sleep(interval)
	}
	sent.Wait()
	time.Sleep(crashEntryTime + time.Second)
	synctest.Wait()
	return served
}

// promptHeader returns the headers of a call with the parts and a last part of its own.
func promptHeader(id string, parts []string) http.Header {
	call := deployed.Call{ID: id, Key: testKey, Deadline: 3 * time.Second, MaxAnswerTokens: 8}
	for _, part := range parts {
		call.Parts = append(call.Parts, deployed.Part{ID: part, Tokens: 200})
	}
	call.Parts = append(call.Parts, deployed.Part{ID: "own-" + id, Tokens: 20})
	return call.Header()
}

// checkCrashes checks the calls with crashPart that reached servers too late, and the sound
// calls that were served. Sound calls must begin half as often as without crashes, which
// is always.
func (s *crashSite) checkCrashes(t *testing.T, served int) {
	t.Helper()
	if len(s.crashes) < crashLimit {
		return
	}
	limit := s.crashes[crashLimit-1].Add(contactTime)
	late := 0
	for _, server := range s.servers {
		for _, r := range server.Received() {
			if r.HasSharedPart(crashPart) && r.ReceivedAt.After(limit) {
				late++
			}
		}
	}
	if late > maxCallsAfterCrashes {
		t.Errorf("%d calls with the part reached servers later than %v after crash %d; %d servers crashed", late, contactTime, crashLimit, len(s.crashes))
	}
	if served < 25 {
		t.Errorf("%d of 50 sound calls were served", served)
	}
}

// TestQuarantinedPartKeptByStore guards against a part that crashes servers again after
// all nodes that knew of it have ended.
func TestQuarantinedPartKeptByStore(t *testing.T) {
	runAtSite(t, func(base *deployedSite) {
		s := &crashSite{deployedSite: base}
		for range 12 {
			s.startServerUnder()
		}
		s.writeConfiguration(testKey)
		var nodes []*deployedNode
		for i := range 3 {
			nodes = append(nodes, s.startNode(fmt.Sprintf("n%d", i), "n0:peers"))
		}
		waitForRepeats()
		s.playCrashes(nodes, func(int) []string { return []string{commonPart, crashPart} }, func(int) []string { return []string{commonPart} })
		for _, n := range nodes {
			n.kill()
		}
		n := s.startNode("n9")
		waitForSync()
		before := s.crashCount()
		got := n.call("POST", "/review/", promptHeader("later", []string{commonPart, crashPart}), "x")
		if got.status != http.StatusServiceUnavailable || s.crashCount() != before {
			t.Errorf("a node that started later answered %+v; %d more servers crashed", got, s.crashCount()-before)
		}
		time.Sleep(crashEntryTime)
	})
}
