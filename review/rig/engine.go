package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine is a server of language models. It sends the head of its answer as soon as it
// has the request, the first event after FirstEvent and the last one Rest later, and
// drops a request whose connection closes.
type Engine struct {
	ID         string
	FirstEvent time.Duration
	Rest       time.Duration
	// HeadWithFirstEvent delays the head until the first event.
	HeadWithFirstEvent bool
	// CrashPart is the part of a prompt that ends the process when it begins to write an
	// answer on it; Crash does that.
	CrashPart string
	Crash     func()

	record *Record
	mu     sync.Mutex
	got    []Got
	// down is true from a crash until Restart.
	down bool
	// cache has the tenant whose request made each part, by salt and part; reuses are the
	// uses of parts that another tenant's request made.
	cache  map[[2]string]string
	reuses []Reuse
}

// Reuse is the use of a cached part by a request of another tenant than that which made it.
type Reuse struct {
	ID, Part, Salt string
	MadeBy, UsedBy string
	At             time.Time
}

// Reuses returns the uses of parts that another tenant's request made.
func (e *Engine) Reuses() []Reuse {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Reuse(nil), e.reuses...)
}

// useCache looks up the parts of a prompt in order under its salt. The parts after the
// first one that is missing are made by this request.
func (e *Engine) useCache(id, salt, tenant string, parts []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache == nil {
		e.cache = map[[2]string]string{}
	}
	found := true
	for _, part := range parts {
		key := [2]string{salt, part}
		maker, cached := e.cache[key]
		if found = found && cached; !found {
			e.cache[key] = tenant
			continue
		}
		if maker != tenant {
			e.reuses = append(e.reuses, Reuse{ID: id, Part: part, Salt: salt, MadeBy: maker, UsedBy: tenant, At: time.Now()})
			e.record.Printf("server %s: %s of tenant %s uses part %s under the salt %q, which a request of tenant %s made", e.ID, id, tenant, part, salt, maker)
		}
	}
}

// Restart starts the engine as a new incarnation.
func (e *Engine) Restart(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ID = id
	e.down = false
}

// name returns the id of the present incarnation, or false when it has crashed.
func (e *Engine) name() (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ID, !e.down
}

// crash ends the engine unless it has ended already.
func (e *Engine) crash(request string) {
	e.mu.Lock()
	before := e.down
	e.down = true
	e.mu.Unlock()
	if !before {
		e.record.Printf("server %s crashes on %s", e.ID, request)
		e.Crash()
	}
}

// Got is a request that reached an engine.
type Got struct {
	ID    string
	Parts []string
	At    time.Time
	// Events is the number of events that were sent, Whole is true after the last one.
	Events int
	Whole  bool
}

// NewEngine returns an engine that is not registered yet.
func NewEngine(id string, record *Record) *Engine { return &Engine{ID: id, record: record} }

// Got returns what has reached the engine.
func (e *Engine) Got() []Got {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Got(nil), e.got...)
}

// Entry returns the entry of the engine in the platform's store.
func (e *Engine) Entry(address, zone, service string, slots int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		"stage": "both", "models": []map[string]any{{"name": "m0", "version": 1, "adapters": []string{}}},
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// serveManagement answers the calls that are no requests of clients.
func (e *Engine) serveManagement(w http.ResponseWriter, r *http.Request) bool {
	now := time.Now().UnixMilli()
	switch r.URL.Path {
	case "/report":
		writeJSON(w, map[string]any{
			"stage": "both", "models": []map[string]any{{"name": "m0", "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
			"waiting": 0, "running": 0, "kv_used": 0, "kv_total": 74297, "handles": 0, "clock_ms": now,
		})
	case "/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		writeJSON(w, map[string]any{"boot_epoch": 1, "next": 1, "lost": false, "events": [][]any{}, "clock_ms": now})
	case "/kv-list":
		writeJSON(w, map[string]any{"boot_epoch": 1, "next": 1, "held": [][]any{}, "clock_ms": now})
	default:
		return false
	}
	return true
}

func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.serveManagement(w, r) {
		return
	}
	id := r.Header.Get("Request-Attempt-Id")
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Request-Attempt-Id", id)
	name, up := e.name()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != name {
		w.Header().Set("Instance-Id", name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	index, crashes := e.receive(id, r.Header.Get("Prompt-Prefix"))
	e.useCache(id, r.Header.Get("Cache-Salt"), r.Header.Get("Tenant"), e.Got()[index].Parts)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Seal", "seal."+name+"."+id)
	w.Header().Set("Weight-Versions", "1")
	if !e.HeadWithFirstEvent {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	const events = 8
	pause := e.FirstEvent
	for i := 1; i <= events; i++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			e.record.Printf("server %s: the connection of %s was closed after %d events", name, id, i-1)
			return
		}
		if crashes {
			e.crash(id)
		}
		if _, up := e.name(); !up {
			panic(http.ErrAbortHandler)
		}
		pause = e.Rest / (events - 1)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
		_ = http.NewResponseController(w).Flush()
		e.mu.Lock()
		e.got[index].Events = i
		e.got[index].Whole = i == events
		e.mu.Unlock()
	}
}

// receive records a request and reports whether it crashes the engine.
func (e *Engine) receive(id, prefix string) (index int, crashes bool) {
	var parts []string
	for field := range strings.SplitSeq(prefix, ",") {
		part, _, _ := strings.Cut(field, ":")
		parts = append(parts, part)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.got = append(e.got, Got{ID: id, Parts: parts, At: time.Now()})
	for _, part := range parts[:len(parts)-1] {
		crashes = crashes || e.CrashPart != "" && part == e.CrashPart
	}
	e.record.Printf("server %s got %s (%s)", e.ID, id, prefix)
	return len(e.got) - 1, crashes
}

// EngineService returns the configuration of a service of engines.
func EngineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": 74297, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": true, "backups": true, "managed": true,
			"stride": 4, "max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m0"}},
		},
	}
}

// MemoryStore is a store of kept KV cache that holds nothing.
type MemoryStore struct{}

func (MemoryStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now().UnixMilli()
	switch r.URL.Path {
	case "/kv-events":
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		writeJSON(w, map[string]any{"boot_epoch": 7, "next": 1, "lost": false, "events": [][]any{}, "clock_ms": now})
	case "/kv-list":
		writeJSON(w, map[string]any{"boot_epoch": 7, "next": 1, "held": [][]any{}, "clock_ms": now})
	case "/report":
		writeJSON(w, map[string]any{"kv_used": 0, "kv_total": 395531, "boot_epoch": 7, "clock_ms": now})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}
