package deployed

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// unlessBusy counts a management call and refuses it while the server is busy.
func (s *Server) unlessBusy(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.managementCalls++
		busy := s.busy
		s.mu.Unlock()
		if busy {
			s.setRetryAfter(w)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handle(w, r)
	}
}

// handleEvents responds to a poll for cache events without events when the wait
// time of the call is over.
func (s *Server) handleEvents(w http.ResponseWriter, r *http.Request) {
	wait, err := strconv.Atoi(r.Header.Get("Wait-Ms"))
	if err != nil {
		http.Error(w, "Wait-Ms is not a number", http.StatusBadRequest)
		return
	}
	select {
	case <-r.Context().Done():
	case <-time.After(time.Duration(wait) * time.Millisecond):
		writeJSON(w, map[string]any{"boot_epoch": 1, "next": 0, "events": [][]any{}, "clock_ms": time.Now().UnixMilli()})
	}
}

func (s *Server) handleReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The field "stage" is part of the published report; the product does not
	// read it.
	writeJSON(w, map[string]any{
		"stage": "both", "busy": false, "sequence": s.sequence,
		"models": []map[string]any{{"name": "m", "version": s.weights, "adapters": []string{}}},
	})
}

// handleOrder accepts an order unless its fencing token is lower than the last
// accepted one, or it expects another sequence number than the current one. The
// weights are loaded at once.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Version      int    `json:"version"`
		Holder       string `json:"holder"`
		FencingToken uint64 `json:"fencing_token"`
		Expected     uint64 `json:"expected"`
	}
	if !decode(w, r, &request) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, Order{At: time.Now(), Holder: request.Holder, FencingToken: request.FencingToken})
	switch {
	case request.FencingToken < s.fencingToken:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case request.Expected != s.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.fencingToken = request.FencingToken
	s.sequence++
	s.acceptedOrders++
	s.weights = request.Version
	w.WriteHeader(http.StatusAccepted)
}

// Order is an order that arrived at a server, whether or not it was accepted.
type Order struct {
	At           time.Time
	Holder       string
	FencingToken uint64
}

// Orders returns the orders that arrived.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders)
}
