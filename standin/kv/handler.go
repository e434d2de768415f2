package kv

import (
	"net/http"
	"strconv"
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
)

// Handler returns the HTTP routes of the service.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+kv.PathKeys+"/{key}", s.handleGet)
	mux.HandleFunc("GET "+kv.PathKeys, s.handleList)
	mux.HandleFunc("PUT "+kv.PathKeys+"/{key}", s.handlePut)
	mux.HandleFunc("DELETE "+kv.PathKeys+"/{key}", s.handleDelete)
	mux.HandleFunc("POST "+kv.PathLease, s.handleGrant)
	mux.HandleFunc("POST "+kv.PathLease+"/{lease}/renew", s.handleRenew)
	mux.HandleFunc("GET "+kv.PathWatch, s.handleWatch)
	return mux
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	entry, err := s.Get(r.Context(), r.PathValue("key"))
	if err != nil {
		wire.ReplyError(w, err)
		return
	}
	wire.ReplyWithETag(w, r, entry)
}

func (s *Store) handleList(w http.ResponseWriter, r *http.Request) {
	entries, revision, err := s.List(r.Context(), r.URL.Query().Get(kv.QueryPrefix))
	wire.ReplyOrError(w, kv.ListReply{Entries: entries, Revision: revision}, err)
}

func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	var body kv.PutRequest
	if !wire.Decode(w, r, &body) {
		return
	}
	revision, err := s.Put(r.Context(), kv.Write{
		Key: r.PathValue("key"), Value: body.Value, Expected: body.Expected, Lease: body.Lease,
	})
	wire.ReplyOrError(w, kv.PutReply{Revision: revision}, err)
}

func (s *Store) handleDelete(w http.ResponseWriter, r *http.Request) {
	expected, ok := revisionOf(w, r, kv.QueryExpected)
	if !ok {
		return
	}
	wire.ReplyOrError(w, struct{}{}, s.Delete(r.Context(), r.PathValue("key"), expected))
}

func (s *Store) handleGrant(w http.ResponseWriter, r *http.Request) {
	var body kv.GrantRequest
	if !wire.Decode(w, r, &body) {
		return
	}
	lease, err := s.Grant(r.Context(), time.Duration(body.TTLMS)*time.Millisecond)
	wire.ReplyOrError(w, kv.GrantReply{Lease: lease}, err)
}

func (s *Store) handleRenew(w http.ResponseWriter, r *http.Request) {
	wire.ReplyOrError(w, struct{}{}, s.Renew(r.Context(), kv.LeaseID(r.PathValue("lease"))))
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, ok := revisionOf(w, r, kv.QueryAfter)
	if !ok {
		return
	}
	changes, revision, err := s.Watch(r.Context(), r.URL.Query().Get(kv.QueryPrefix), after)
	wire.ReplyCompressed(w, r, kv.WatchReply{Changes: changes, Revision: revision}, err)
}

func revisionOf(w http.ResponseWriter, r *http.Request, name string) (kv.Revision, bool) {
	number, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		wire.ReplyError(w, code.Newf(code.MalformedBody, "%s is not a revision", name))
		return 0, false
	}
	return kv.Revision(number), true
}
