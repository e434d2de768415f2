package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/client/wire"
	"tanagerspread/core/cachekey"
	"tanagerspread/core/code"
	standin "tanagerspread/standin/engine"
	"tanagerspread/standin/pipe"
	"tanagerspread/standin/store"
)

const (
	engineAddress = "engine:80"
	storeAddress  = "store:80"
)

// harness runs one engine on an in-memory network.
type harness struct {
	t       *testing.T
	network *pipe.Network
	engine  *standin.Engine
	client  *engine.Client
	http    http.Client
}

func newHarness(t *testing.T, options standin.Options) *harness {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	h := &harness{t: t, network: pipe.NewNetwork()}
	options.Dial = h.network.Dial
	h.engine = standin.New(ctx, options)
	h.client = engine.NewClient(wire.Options{Address: engineAddress, Dial: h.network.Dial})
	h.http.Transport = &http.Transport{DialContext: h.network.Dial, DisableKeepAlives: true}
	h.serve(engineAddress, h.engine.Handler())
	t.Cleanup(func() {
		h.client.Close()
		cancel()
	})
	return h
}

func (h *harness) serve(address string, handler http.Handler) {
	server := &http.Server{Handler: handler}
	listener := h.network.Listen(address)
	go func() { _ = server.Serve(listener) }()
	h.t.Cleanup(func() { _ = server.Close() })
}

// result is the outcome of one completion call.
type result struct {
	status int
	header http.Header
	events []engine.CompletionEvent
	// firstToken is the time until the response headers, which the engine sends
	// with the first token.
	firstToken time.Duration
	total      time.Duration
	err        error
}

func (r result) text() string {
	var text strings.Builder
	for _, e := range r.events {
		text.WriteString(e.Text)
	}
	return text.String()
}

func (r result) lastEvent() engine.CompletionEvent {
	if len(r.events) == 0 {
		return engine.CompletionEvent{}
	}
	return r.events[len(r.events)-1]
}

func (h *harness) complete(ctx context.Context, request engine.CompletionRequest) result {
	start := time.Now()
	body, _ := json.Marshal(request)
	httpRequest, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+engineAddress+engine.PathCompletions, bytes.NewReader(body))
	response, err := h.http.Do(httpRequest)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	r := result{status: response.StatusCode, header: response.Header, firstToken: time.Since(start)}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var event engine.CompletionEvent
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok && json.Unmarshal([]byte(data), &event) == nil {
			r.events = append(r.events, event)
		}
	}
	r.err = lines.Err()
	r.total = time.Since(start)
	return r
}

// newRequest returns a request for a response of at most maxTokens tokens. Its
// prompt consists of the given number of complete blocks, and its prefix keys
// identify them.
func newRequest(id, text string, blocks, maxTokens int) engine.CompletionRequest {
	content := strings.Repeat(text, blocks*cachekey.BlockBytes/len(text))
	request := engine.CompletionRequest{RequestID: id, CacheNamespace: "ns", Prompt: content, MaxTokens: maxTokens}
	for i := range blocks {
		request.PrefixKeys = append(request.PrefixKeys, text+"/"+string(rune('a'+i)))
	}
	return request
}

// completeAll sends requests concurrently, in order of arrival, and returns their
// results in the same order.
func (h *harness) completeAll(requests ...engine.CompletionRequest) []result {
	results := make([]result, len(requests))
	var wg sync.WaitGroup
	for i, request := range requests {
		wg.Go(func() { results[i] = h.complete(h.t.Context(), request) })
		synctest.Wait()
	}
	wg.Wait()
	return results
}

// testOptions returns options with which the prefill of one block takes 2 s.
func testOptions() standin.Options {
	return standin.Options{
		PrefillRate: cachekey.BlockTokens / 2, TokenInterval: 100 * time.Millisecond,
		IntervalPerRun: 50 * time.Millisecond, CacheBlocks: 4, Slots: 2,
	}
}

// TestContinuousBatching guards against concurrent runs that do not slow each
// other down and against a queue that ignores priorities.
func TestContinuousBatching(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, testOptions())
		alone := h.complete(t.Context(), newRequest("1", "alone", 1, 3))
		if alone.firstToken != 2*time.Second || alone.total != 2200*time.Millisecond {
			t.Errorf("alone: first token after %v, end after %v", alone.firstToken, alone.total)
		}
		lessUrgent := newRequest("4", "late", 1, 1)
		lessUrgent.Priority = 2
		urgent := newRequest("5", "soon", 1, 1)
		urgent.Priority = 1
		results := h.completeAll(newRequest("2", "pair", 1, 3), newRequest("3", "twin", 1, 30), lessUrgent, urgent)
		if results[0].firstToken != 4*time.Second || results[0].total != 4250*time.Millisecond {
			t.Errorf("in a batch of two: first token after %v, end after %v", results[0].firstToken, results[0].total)
		}
		if running, waiting := results[0].header.Get(engine.HeaderRunning), results[0].header.Get(engine.HeaderWaiting); running != "2" || waiting != "2" {
			t.Errorf("load in the response: %s running, %s waiting", running, waiting)
		}
		if results[3].firstToken >= results[2].firstToken {
			t.Errorf("first token of the urgent run after %v, of the other one after %v", results[3].firstToken, results[2].firstToken)
		}
	})
}

// TestCacheEviction guards against eviction of the wrong blocks, against cache
// hits across namespaces, and against cache events before their delay.
func TestCacheEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := testOptions()
		options.EventDelay = time.Hour
		options.DropEvery = 3
		h := newHarness(t, options)
		cached := func(request engine.CompletionRequest) int {
			usage := h.complete(t.Context(), request).lastEvent().Usage
			if usage == nil {
				t.Fatal("no usage in the last event")
			}
			return usage.CachedTokens
		}
		long, short := newRequest("1", "long", 2, 1), newRequest("2", "else", 2, 1)
		cached(long)
		cached(short)
		if got := cached(long); got != 2*cachekey.BlockTokens {
			t.Errorf("repeated prompt: %d cached tokens", got)
		}
		otherNamespace := newRequest("3", "long", 1, 1)
		otherNamespace.CacheNamespace = "other"
		if got := cached(otherNamespace); got != 0 {
			t.Errorf("prompt of another namespace: %d cached tokens", got)
		}
		if got := cached(short); got != cachekey.BlockTokens {
			t.Errorf("least recently used prompt without its last block: %d cached tokens", got)
		}
		if got := cached(long); got != cachekey.BlockTokens {
			t.Errorf("prompt whose last block was evicted later: %d cached tokens", got)
		}
		if reply, err := h.client.Events(t.Context(), 0); err != nil || len(reply.Events) != 0 {
			t.Errorf("events before their delay: %d, error %v", len(reply.Events), err)
		}
		time.Sleep(time.Hour)
		reply, err := h.client.Events(t.Context(), 0)
		if err != nil || len(reply.Events) < 3 || reply.Events[2].Sequence != 4 {
			t.Errorf("events: %+v, error %v", reply, err)
		}
	})
}

// TestResumeAndCancel guards against a resumed stream that does not continue the
// first one, and against a run that continues after its caller disconnected.
func TestResumeAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, testOptions())
		request := newRequest("1", "text", 1, 50)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		if cancelled := h.complete(ctx, request); cancelled.err == nil {
			t.Error("the caller's timeout did not end the stream")
		}
		synctest.Wait()
		if load, err := h.client.Load(t.Context()); err != nil || load.Running != 0 {
			t.Errorf("after the caller disconnected: %d running, error %v", load.Running, err)
		}
		request.Resume = &engine.Resume{From: 10, Text: standin.Text(request.Prompt, 10)}
		resumed := h.complete(t.Context(), request)
		if request.Resume.Text+resumed.text() != standin.Text(request.Prompt, 50) {
			t.Error("the resumed stream does not continue the first one")
		}
		request.Resume.Text = "other"
		refused := h.complete(t.Context(), request)
		if refused.header.Get(engine.HeaderExecution) != engine.ExecutionNotRun {
			t.Errorf("resume with another text: status %d", refused.status)
		}
		if counters := h.engine.Counters(); counters.Runs["1"] != 2 || counters.ResumeMismatches != 1 {
			t.Errorf("counters: %+v", counters)
		}
	})
}

// TestOrders guards against a weight swap that breaks a run in progress, against
// accepting an order with an old fencing number, and against a load that
// continues after the deadline of its order.
func TestOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := testOptions()
		options.Initial = engine.Desired{Model: "m", Weights: 1}
		h := newHarness(t, options)
		old := newRequest("1", "text", 1, 50)
		old.Model, old.Weights = "m", 1
		order := engine.Order{ID: "o1", Fencing: 7, DeadlineMS: 5000, Desired: engine.Desired{Model: "m", Weights: 2}}
		var run result
		var wg sync.WaitGroup
		wg.Go(func() { run = h.complete(t.Context(), old) })
		time.Sleep(3 * time.Second)
		if status, err := h.client.Order(t.Context(), order); err != nil || status.OrderState != engine.OrderLoading {
			t.Errorf("order: %+v, error %v", status, err)
		}
		time.Sleep(1500 * time.Millisecond)
		if status, err := h.client.Status(t.Context()); err != nil || status.Current.Weights != 2 || status.OrderState != engine.OrderDone {
			t.Errorf("after the load: %+v, error %v", status, err)
		}
		if late := h.complete(t.Context(), old); late.header.Get(engine.HeaderExecution) != engine.ExecutionNotRun {
			t.Errorf("request for the old weights: status %d", late.status)
		}
		wg.Wait()
		if run.text() != standin.Text(old.Prompt, 50) {
			t.Error("the swap broke the run in progress")
		}
		order.ID, order.Fencing = "o2", 6
		if _, err := h.client.Order(t.Context(), order); err == nil || err.Code != code.OrderRefused {
			t.Errorf("old fencing number: got %v, want order-refused", err)
		}
		order = engine.Order{ID: "o3", Fencing: 8, DeadlineMS: 500, Desired: engine.Desired{Model: "m", Weights: 3}}
		_, _ = h.client.Order(t.Context(), order)
		time.Sleep(2 * time.Second)
		if status, _ := h.client.Status(t.Context()); status.OrderState != engine.OrderFailed || status.Current.Weights != 2 {
			t.Errorf("after the deadline: %+v", status)
		}
	})
}

// TestIgnoreFencing guards against an engine that checks fencing numbers in spite
// of IgnoreFencing. The tests of the wait before a new issuer sends orders rely on
// the option.
func TestIgnoreFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := testOptions()
		options.IgnoreFencing = true
		h := newHarness(t, options)
		for i, fencing := range []uint64{9, 1} {
			order := engine.Order{ID: string(rune('a' + i)), Fencing: fencing, DeadlineMS: 5000, Desired: engine.Desired{Role: "decode"}}
			status, err := h.client.Order(t.Context(), order)
			if err != nil || status.OrderState != engine.OrderDone || status.OrderID != order.ID || status.Current.Role != "decode" {
				t.Errorf("order with fencing number %d: %+v, error %v", fencing, status, err)
			}
		}
	})
}

// TestFaults guards against injected faults that do not have the effect on which
// the tests of the nodes rely.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := testOptions()
		options.CrashMarker = "poison"
		options.RestartAfter = time.Minute
		options.LoadLag = time.Second
		h := newHarness(t, options)
		h.engine.TruncateNext(2)
		if r := h.complete(t.Context(), newRequest("1", "text", 1, 5)); len(r.events) != 2 || r.err != nil || r.lastEvent().Done {
			t.Errorf("truncated: %d events, error %v", len(r.events), r.err)
		}
		h.engine.MismatchNextID(2)
		if r := h.complete(t.Context(), newRequest("2", "text", 1, 5)); r.events[1].RequestID != "2" || r.events[2].RequestID == "2" {
			t.Errorf("mismatched identifier: %+v", r.events)
		}
		h.engine.DuplicateNext(2)
		if r := h.complete(t.Context(), newRequest("3", "text", 1, 5)); len(r.events) != 7 || r.events[2].Sequence != r.events[3].Sequence {
			t.Errorf("duplicated: %+v", r.events)
		}
		h.engine.SetLeaving(true)
		if load, _ := h.client.Load(t.Context()); load.Leaving {
			t.Error("the load report does not lag")
		}
		r := h.complete(t.Context(), newRequest("4", "text", 1, 5))
		if r.status != http.StatusServiceUnavailable || r.header.Get(engine.HeaderLeaving) != "true" || r.header.Get(engine.HeaderExecution) != engine.ExecutionNotRun {
			t.Errorf("leaving: status %d, headers %v", r.status, r.header)
		}
		h.engine.SetLeaving(false)
		results := h.completeAll(newRequest("5", "text", 1, 100), newRequest("6", "poison", 1, 5))
		if results[0].err == nil || results[1].err == nil {
			t.Errorf("crash: errors %v and %v", results[0].err, results[1].err)
		}
		if counters := h.engine.Counters(); counters.Runs["6"] != 1 || counters.Runs["4"] != 0 {
			t.Errorf("runs: %v", counters.Runs)
		}
		time.Sleep(time.Minute)
		h.engine.SetHang(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		if r := h.complete(ctx, newRequest("7", "text", 1, 1)); r.err == nil {
			t.Error("a hanging engine responded")
		}
		h.engine.SetHang(false)
		if r := h.complete(t.Context(), newRequest("8", "text", 1, 1)); r.err != nil || !r.lastEvent().Done {
			t.Errorf("after crash and hang: %+v", r)
		}
	})
}

// TestTransfer guards against an import of truncated or freed blocks, and against
// an export that sends skipped blocks again.
func TestTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, testOptions())
		vm := store.New(store.Options{MemoryBytes: 1 << 20, LinkRate: 1 << 20})
		h.serve(storeAddress, vm.Handler())
		request := newRequest("1", "text", 3, 1)
		h.complete(t.Context(), request)
		transfer := engine.TransferRequest{Store: storeAddress, Namespace: "ns", Keys: request.PrefixKeys, Generation: 1}
		for _, skip := range []int{0, 2} {
			transfer.Skip = skip
			reply, err := h.client.Export(t.Context(), transfer)
			if err != nil || reply.Blocks != 3 || reply.Moved != 3-skip || len(reply.Written) != 3-skip {
				t.Errorf("export that skips %d blocks: %+v, error %v", skip, reply, err)
			}
			if skip == 0 {
				transfer.Expected = reply.Written
			}
		}
		h.engine.ClearCache()
		vm.TruncateBlock(request.PrefixKeys[2], 100)
		reply, err := h.client.Import(t.Context(), transfer)
		if err != nil || reply.Blocks != 2 || code.Code(reply.Code) != code.BlockInvalid {
			t.Errorf("import of a truncated block: %+v, error %v", reply, err)
		}
		if usage := h.complete(t.Context(), request).lastEvent().Usage; usage.CachedTokens != 2*cachekey.BlockTokens {
			t.Errorf("after the import: %d cached tokens", usage.CachedTokens)
		}
		h.engine.ClearCache()
		vm.FreeBlock(request.PrefixKeys[0])
		if reply, _ := h.client.Import(t.Context(), transfer); reply.Blocks != 0 || code.Code(reply.Code) != code.BlockMissing {
			t.Errorf("import of a freed block: %+v", reply)
		}
		vm.Crash()
		if reply, _ := h.client.Import(t.Context(), transfer); code.Code(reply.Code) != code.StoreAway {
			t.Errorf("import from a crashed store VM: %+v", reply)
		}
		if counters := h.engine.Counters(); counters.InvalidBlocksUsed != 0 {
			t.Errorf("%d invalid blocks used", counters.InvalidBlocksUsed)
		}
	})
}
