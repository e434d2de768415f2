package deployed

import (
	"time"
)

// The services of a configuration, and the model that modelService serves.
const (
	plainService = "desk"
	modelService = "models"
	// cacheStoreService is a cache store.
	cacheStoreService = "memory"
	modelName         = "m"
)

// startedAtMS is the start time of all server processes in Unix milliseconds.
const startedAtMS = 1700000000000

// Configuration is the configuration that the operator writes. It has a plain
// service, a service of model servers, and one route for each of the path prefixes
// "/lookup/", "/charge/", "/review/" and "/caption/".
type Configuration struct {
	Version       int
	Host          string
	Timeout       time.Duration
	TargetLatency time.Duration
	Tenant        string
	// Keys are the valid API keys of the tenant.
	Keys []string
	// Isolated is true when the tenant shares no cached parts with others.
	Isolated bool
	// CacheStoreAddress is the address of a managed cache store; empty means that
	// there is none.
	CacheStoreAddress string
	// MaxBodyBytes is the limit on the bodies of calls; 0 means 4 MiB.
	MaxBodyBytes int64
}

type routeEntry struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"path_prefix"`
	Kind            string `json:"kind"`
	TimeoutMS       int64  `json:"timeout_ms"`
	TargetLatencyMS int64  `json:"target_latency_ms"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"max_attempts"`
	Resumable       bool   `json:"resumable"`
}

func (c Configuration) routes() []routeEntry {
	routes := []routeEntry{
		{Name: "lookup", Kind: "idempotent", Service: plainService, MaxAttempts: 2},
		{Name: "charge", Kind: "non_idempotent", Service: plainService, MaxAttempts: 1},
		{Name: "review", Kind: "streaming", Service: modelService, MaxAttempts: 2, Resumable: true},
		{Name: "caption", Kind: "streaming", Service: modelService, MaxAttempts: 1},
	}
	for i := range routes {
		r := &routes[i]
		r.Host = c.Host
		r.PathPrefix = "/" + r.Name + "/"
		r.TimeoutMS = c.Timeout.Milliseconds()
		r.TargetLatencyMS = c.TargetLatency.Milliseconds()
	}
	return routes
}

// Configure writes the configuration to the store.
func (s *Store) Configure(c Configuration) {
	services := []map[string]any{
		{"name": plainService, "max_conns": 100},
		{"name": modelService, "max_conns": 100, "engine": map[string]any{"kv_capacity_tokens": 60000, "kv_token_bytes": 18432}},
	}
	if c.CacheStoreAddress != "" {
		services = append(services, map[string]any{
			"name": cacheStoreService, "kv_store_addr": c.CacheStoreAddress, "zone": "a", "kv_capacity_tokens": 60000, "managed": true, "max_inflight": 1,
		})
	}
	maxBodyBytes := c.MaxBodyBytes
	if maxBodyBytes == 0 {
		maxBodyBytes = 4 << 20
	}
	s.Put("op/config", map[string]any{
		"version": c.Version, "routes": c.routes(), "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": c.Tenant, "api_keys": c.Keys, "isolated": c.Isolated}},
	})
}

// SetWeightVersion writes the weight version that the model servers should load.
func (s *Store) SetWeightVersion(version int) {
	s.Put("op/version/"+modelName, map[string]any{"model": modelName, "version": version})
}

// RegisterServer writes the registry entry of a server, as the server itself does.
func (s *Store) RegisterServer(server *Server, address, state string, maxConcurrency int) {
	entry := map[string]any{
		"service": plainService, "address": address, "zone": "a", "slots": maxConcurrency, "state": state, "born": server.StartedAtMS,
	}
	if server.Events > 0 {
		version, _ := server.Weights()
		entry["service"] = modelService
		entry["models"] = []map[string]any{{"name": modelName, "version": version}}
	}
	s.Put("servers/"+server.ID, entry)
}
