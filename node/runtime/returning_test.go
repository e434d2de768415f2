package runtime_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"tanagerspread/chart"
	"tanagerspread/client/engine"
	storeclient "tanagerspread/client/store"
	"tanagerspread/client/wire"
	"tanagerspread/core/cachekey"
	"tanagerspread/core/control"
	"tanagerspread/core/fleet"
	"tanagerspread/node/blocks"
	"tanagerspread/node/ingress"
	"tanagerspread/node/runtime"
	standinengine "tanagerspread/standin/engine"
	"tanagerspread/standin/pipe"
	"tanagerspread/standin/site"
	"tanagerspread/standin/store"
)

const callerAddress = "node:80"

// cacheSite is one node with a site of two engines and two block stores, in
// virtual time.
type cacheSite struct {
	*site.Site
	t      *testing.T
	client *http.Client
	dial   wire.Dialer
	tell   func(control.Message) bool
	// kill stops the node without a planned stop.
	kill context.CancelFunc
}

func startCacheSite(t *testing.T) *cacheSite {
	t.Helper()
	network := pipe.NewNetwork()
	ctx, cancel := context.WithCancel(t.Context())
	s, err := site.Start(ctx, site.Options{
		Shape:  site.Shape{Domains: []string{"hobart-a"}, Model: testModel, Engines: 2, Stores: 2},
		Store:  store.Options{MemoryBytes: 4 << 20, LinkRate: 1 << 20},
		Listen: func(id string) (net.Listener, error) { return network.Listen(id + ":80"), nil },
		Dial:   network.Dial,
	})
	if err != nil {
		t.Fatal(err)
	}
	node, err := runtime.New(runtime.Options{
		Control:      control.Options{Node: "n1", Domain: "hobart-a", Charts: chart.Embedded(), ServerSlots: 8},
		Listener:     network.Listen(callerAddress),
		Dial:         network.Dial,
		Recorder:     ingress.NoRecorder(),
		Logger:       logr.Discard(),
		MaxBodyBytes: 1 << 20,
		OrderService: s.KV,
	})
	if err != nil {
		t.Fatal(err)
	}
	nodeCtx, kill := context.WithCancel(ctx)
	go func() { _ = node.Run(nodeCtx) }()
	node.Control().Tell(control.Configure{Version: 1, Rules: testRules()})
	node.Control().Tell(control.VMList{VMs: controlVMs(s)})
	transport := &http.Transport{DialContext: network.Dial, DisableKeepAlives: true}
	t.Cleanup(func() {
		cancel()
		_ = s.Close()
		transport.CloseIdleConnections()
	})
	return &cacheSite{Site: s, t: t, client: &http.Client{Transport: transport}, dial: network.Dial, tell: node.Control().Tell, kill: kill}
}

func controlVMs(s *site.Site) []control.VM {
	var vms []control.VM
	for _, e := range s.Engines {
		vms = append(vms, control.VM{ID: e.ID, Address: e.Address, Role: fleet.RoleEngine, Serves: e.Serves, Weights: e.Weights})
	}
	for _, v := range s.Stores {
		vms = append(vms, control.VM{ID: v.ID, Address: v.Address, Role: fleet.RoleStore})
	}
	return vms
}

// send sends a completion, verifies its text and returns the number of cached
// tokens.
func (s *cacheSite) send(prompt string) int {
	s.t.Helper()
	body, _ := json.Marshal(map[string]any{"model": testModel, "prompt": prompt, "max_tokens": 2})
	r, _ := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+callerAddress+"/v1/completions", strings.NewReader(string(body)))
	r.Header.Set("Authorization", "Bearer secret")
	response, err := s.client.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var completion struct {
		Choices []struct{ Text string }
		Usage   engine.Usage
	}
	if err := json.NewDecoder(response.Body).Decode(&completion); err != nil || response.StatusCode != http.StatusOK {
		s.t.Fatalf("status %d, error %v", response.StatusCode, err)
	}
	if completion.Choices[0].Text != standinengine.Text(prompt, 2) {
		s.t.Errorf("text %q", completion.Choices[0].Text)
	}
	return completion.Usage.CachedTokens
}

// clearEngineCaches empties the KV caches of all engines.
func (s *cacheSite) clearEngineCaches() {
	for _, e := range s.Engines {
		e.Engine.ClearCache()
	}
}

func (s *cacheSite) checkBlocks() {
	s.t.Helper()
	for _, e := range s.Engines {
		if n := e.Engine.Counters().InvalidBlocksUsed; n != 0 {
			s.t.Errorf("engine %s used %d invalid blocks", e.ID, n)
		}
	}
}

// promptOfBlocks returns a prompt of the given number of full blocks and the
// keys that the node derives for them.
func promptOfBlocks(blockCount int) (string, []string) {
	prompt := strings.Repeat("tide and sand, ", blockCount*cachekey.BlockBytes/15+1)[:blockCount*cachekey.BlockBytes]
	keys := cachekey.Chain(cachekey.Scope{Organisation: "castlereagh", Model: testModel, Weights: 1}, []byte(prompt))
	return prompt, blocks.EncodeKeys(keys)
}

// TestRepeatedPrompt guards against a repeated prompt that is computed again
// although a store has its blocks, and against any use of blocks that were
// freed, damaged or partially written.
func TestRepeatedPrompt(t *testing.T) {
	const blockCount = 4
	for name, test := range map[string]struct {
		fault func(s *cacheSite, keys []string)
		// cached is the expected number of imported blocks.
		cached int
	}{
		"stores intact": {func(*cacheSite, []string) {}, blockCount},
		"block freed": {func(s *cacheSite, keys []string) {
			for _, v := range s.Stores {
				v.Store.FreeBlock(keys[2])
			}
		}, 0},
		"block partly written": {func(s *cacheSite, keys []string) {
			for _, v := range s.Stores {
				v.Store.TruncateBlock(keys[2], 100)
			}
		}, 2},
		"block damaged": {func(s *cacheSite, keys []string) {
			for _, v := range s.Stores {
				v.Store.CorruptBlock(keys[0])
			}
		}, 0},
		"stores dead": {func(s *cacheSite, _ []string) {
			for _, v := range s.Stores {
				v.Store.Crash()
			}
		}, 0},
		"links slow": {func(s *cacheSite, _ []string) {
			for _, v := range s.Stores {
				v.Store.SetLinkRate(1)
			}
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startCacheSite(t)
				prompt, keys := promptOfBlocks(blockCount)
				if cached := s.send(prompt); cached != 0 {
					t.Errorf("first run: %d cached tokens", cached)
				}
				time.Sleep(time.Minute)
				s.clearEngineCaches()
				test.fault(s, keys)
				if cached := s.send(prompt); cached != test.cached*cachekey.BlockTokens {
					t.Errorf("second run: %d cached tokens, want %d blocks", cached, test.cached)
				}
				s.checkBlocks()
			})
		})
	}
}

// TestExportInterrupted guards against a manifest that lists blocks which were
// not written because an engine or a store was killed or a store was full.
func TestExportInterrupted(t *testing.T) {
	for name, fault := range map[string]func(s *cacheSite){
		"engine killed while it writes": func(s *cacheSite) {
			for _, e := range s.Engines {
				e.Engine.Crash()
				e.Engine.Restart()
			}
		},
		"store killed while it is written": func(s *cacheSite) {
			for _, v := range s.Stores {
				v.Store.Crash()
				v.Store.Restart()
			}
		},
		"store full": func(s *cacheSite) {
			for _, v := range s.Stores {
				v.Store.SetFull(true)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startCacheSite(t)
				for _, v := range s.Stores {
					v.Store.SetLinkRate(64 << 10) // one of four blocks in 0.5 s
				}
				prompt, _ := promptOfBlocks(4)
				s.send(prompt)
				time.Sleep(700 * time.Millisecond)
				fault(s)
				time.Sleep(time.Minute)
				s.clearEngineCaches()
				if cached := s.send(prompt); cached != 0 {
					t.Errorf("second run: %d cached tokens although no export was complete", cached)
				}
				s.checkBlocks()
			})
		})
	}
}

// TestOrganisationsIsolated guards against blocks of one organisation that are
// used for another one with the same prompt and a shared store.
func TestOrganisationsIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startCacheSite(t)
		prompt, keys := promptOfBlocks(2)
		s.send(prompt)
		time.Sleep(time.Minute)
		foreign := cachekey.Chain(cachekey.Scope{Organisation: "ulan", Model: testModel, Weights: 1}, []byte(prompt))
		for _, v := range s.Stores {
			client := storeclient.NewClient(wire.Options{Address: v.Address, Dial: s.dial})
			if _, err := client.Find(t.Context(), blocks.EncodeKeys(foreign)); err == nil {
				t.Error("a store found blocks for another organisation")
			}
			client.Close()
		}
		if keys[0] == blocks.EncodeKey(foreign[0]) {
			t.Error("two organisations share a block key")
		}
	})
}

// TestBlockReplacedDuringImport guards against the import of a block that was
// overwritten with another generation between the lookup and the transfer.
func TestBlockReplacedDuringImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startCacheSite(t)
		prompt, keys := promptOfBlocks(3)
		s.send(prompt)
		time.Sleep(time.Minute)
		s.clearEngineCaches()
		for _, v := range s.Stores {
			v.Store.SetDelay(300 * time.Millisecond)
		}
		cached := make(chan int, 1)
		go func() { cached <- s.send(prompt) }()
		time.Sleep(450 * time.Millisecond) // The manifest has been read; the pin is not set yet.
		for _, v := range s.Stores {
			v.Store.SetDelay(0)
			client := storeclient.NewClient(wire.Options{Address: v.Address, Dial: s.dial})
			content := []byte("content of another generation")
			if err := client.PutBlock(t.Context(), storeclient.NewMeta(keys[1], 7, content), content); err != nil {
				t.Error(err)
			}
			client.Close()
		}
		if got := <-cached; got != cachekey.BlockTokens {
			t.Errorf("%d cached tokens, want the block before the replaced one", got)
		}
		s.checkBlocks()
	})
}

// TestNodeKilledDuringExport guards against a manifest that lists the blocks of
// an export whose node was killed before the export finished.
func TestNodeKilledDuringExport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startCacheSite(t)
		for _, v := range s.Stores {
			v.Store.SetLinkRate(64 << 10) // four blocks in 2 s
		}
		prompt, keys := promptOfBlocks(4)
		s.send(prompt)
		time.Sleep(1200 * time.Millisecond)
		s.kill()
		time.Sleep(time.Minute)
		for _, v := range s.Stores {
			client := storeclient.NewClient(wire.Options{Address: v.Address, Dial: s.dial})
			if manifest, err := client.Find(t.Context(), keys); err == nil {
				t.Errorf("store %s lists %d blocks of an export that did not finish", v.ID, len(manifest.Blocks))
			}
			client.Close()
		}
	})
}
