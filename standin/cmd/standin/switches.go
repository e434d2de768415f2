package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"tanagerspread/client/vmlist"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
	"tanagerspread/standin/site"
)

// maxVMBytes limits the size of a VM entry in a request.
const maxVMBytes = 16 << 10

// siteCounters holds the counters of a site, summed over its VMs.
type siteCounters struct {
	// Manifests is the number of manifests in the stores, one for each exported
	// prompt.
	Manifests int `json:"manifests"`
	// ServiceRuns is the number of calls of plain services that had their effect.
	ServiceRuns int `json:"service_runs"`
	// Running is the number of requests in the batches of the engines.
	Running int `json:"running"`
}

// switches returns a handler with the routes that inject faults into a running site,
// change its VM list and return its counters.
func switches(s *site.Site) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /vms", func(w http.ResponseWriter, r *http.Request) { setVM(s, w, r) })
	mux.HandleFunc("POST /engines/clear-cache", func(w http.ResponseWriter, _ *http.Request) {
		for _, vm := range s.Engines {
			vm.Engine.ClearCache()
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /engines/hang", func(w http.ResponseWriter, r *http.Request) {
		setSwitch(w, r, func(on bool) {
			for _, vm := range s.Engines {
				vm.Engine.SetHang(on)
			}
		})
	})
	mux.HandleFunc("POST /kv/outage", func(w http.ResponseWriter, r *http.Request) { setSwitch(w, r, s.KV.SetUnreachable) })
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { wire.Reply(w, collectCounters(s)) })
	return mux
}

// setVM adds a VM to the VM list, or replaces the entry with the same identifier.
func setVM(s *site.Site, w http.ResponseWriter, r *http.Request) {
	var vm vmlist.VM
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxVMBytes)).Decode(&vm); err != nil || vm.ID == "" {
		wire.ReplyError(w, code.Wrap(code.MalformedBody, "the body is not an entry of the VM list", err))
		return
	}
	s.VMs.Set(vm)
	w.WriteHeader(http.StatusNoContent)
}

// setSwitch calls set with the value of the query parameter "on".
func setSwitch(w http.ResponseWriter, r *http.Request, set func(on bool)) {
	on, err := strconv.ParseBool(r.URL.Query().Get("on"))
	if err != nil {
		wire.ReplyError(w, code.Wrap(code.MalformedBody, "the parameter on is not true or false", err))
		return
	}
	set(on)
	w.WriteHeader(http.StatusNoContent)
}

func collectCounters(s *site.Site) siteCounters {
	var c siteCounters
	for _, vm := range s.Engines {
		c.Running += vm.Engine.Counters().Running
	}
	for _, vm := range s.Stores {
		c.Manifests += vm.Store.Stats().Manifests
	}
	for _, vm := range s.Services {
		for _, runs := range vm.Service.Runs() {
			c.ServiceRuns += runs
		}
	}
	return c
}

// serveSwitches serves the switches until the context ends and returns their
// address. It serves nothing and returns an empty string for an empty address.
func serveSwitches(ctx context.Context, address string, s *site.Site) (string, error) {
	if address == "" {
		return "", nil
	}
	if err := checkLoopback(address); err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen for switches: %w", err)
	}
	server := &http.Server{Handler: switches(s)}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	// The server is closed when the site ends, so its error needs no report.
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}
