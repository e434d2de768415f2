package store

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"tanagerspread/client/store"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
	"tanagerspread/standin/link"
)

// chunkBytes is the size of the chunks in which blocks are read and sent.
const chunkBytes = 16 << 10

// Handler returns the HTTP routes of the store VM.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+store.PathBlocks+"/{key}", s.handlePut)
	mux.HandleFunc("GET "+store.PathBlocks+"/{key}", s.handleGet)
	mux.HandleFunc("PUT "+store.PathManifests+"/{key}", s.handleManifest)
	mux.HandleFunc("POST "+store.PathFind, s.handleFind)
	mux.HandleFunc("POST "+store.PathPins, s.handlePin)
	mux.HandleFunc("DELETE "+store.PathPins+"/{pin}", s.handleUnpin)
	mux.HandleFunc("GET "+store.PathStats, s.handleStats)
	return s.injectFaults(mux)
}

// injectFaults applies the delay and aborts the calls of a crashed store VM.
func (s *Store) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		crashed := s.crashed
		delay := s.delay
		s.mu.Unlock()
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go cancelOnCrash(ctx, crashed, cancel)
		if delay > 0 {
			wait(ctx, delay)
		}
		if ctx.Err() == nil && !isClosed(crashed) {
			next.ServeHTTP(w, r.WithContext(ctx))
		}
		if isClosed(crashed) {
			panic(http.ErrAbortHandler) // net/http closes the connection.
		}
	})
}

func cancelOnCrash(ctx context.Context, crashed <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-crashed:
		cancel()
	case <-ctx.Done():
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// handlePut reads a block over the link and stores it. An interrupted write
// stores nothing.
func (s *Store) handlePut(w http.ResponseWriter, r *http.Request) {
	meta, refusal := store.ReadMeta(r.PathValue("key"), r.Header)
	if refusal != nil {
		wire.ReplyError(w, refusal)
		return
	}
	content, err := receiveBlock(r.Context(), s.network, r.Body, meta.Length)
	if err != nil {
		wire.ReplyError(w, code.Wrap(code.BlockInvalid, "the block broke off", err))
		return
	}
	wire.ReplyOrError(w, struct{}{}, s.putBlock(meta, content))
}

// errTooLong is returned for a block that is longer than the length in its
// metadata.
var errTooLong = errors.New("more bytes than described")

// receiveBlock reads a block of at most length bytes at the rate of the link. It
// returns the bytes up to the end of the body, or errTooLong.
func receiveBlock(ctx context.Context, network *link.Link, body io.Reader, length int) ([]byte, error) {
	content := make([]byte, 0, length)
	chunk := make([]byte, chunkBytes)
	for {
		n, err := body.Read(chunk)
		if len(content)+n > length {
			return nil, errTooLong
		}
		content = append(content, chunk[:n]...)
		if waitErr := network.Transfer(ctx, n); waitErr != nil {
			return nil, waitErr
		}
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	meta, content, onDisk, refusal := s.getBlock(r.PathValue("key"))
	if refusal != nil {
		wire.ReplyError(w, refusal)
		return
	}
	if onDisk && s.disk.Transfer(r.Context(), len(content)) != nil {
		return
	}
	store.WriteMeta(w.Header(), meta)
	for len(content) > 0 {
		n := min(len(content), chunkBytes)
		if s.network.Transfer(r.Context(), n) != nil {
			panic(http.ErrAbortHandler) // net/http closes the connection.
		}
		if _, err := w.Write(content[:n]); err != nil {
			return
		}
		content = content[n:]
	}
}

func (s *Store) handleManifest(w http.ResponseWriter, r *http.Request) {
	var manifest store.Manifest
	if !wire.Decode(w, r, &manifest) {
		return
	}
	if manifest.Key != r.PathValue("key") || len(manifest.Blocks) > store.MaxKeys {
		wire.ReplyError(w, code.New(code.MalformedBody, "the manifest has another key or too many blocks"))
		return
	}
	wire.ReplyOrError(w, struct{}{}, s.putManifest(manifest))
}

func (s *Store) handleFind(w http.ResponseWriter, r *http.Request) {
	var request store.FindRequest
	if !wire.Decode(w, r, &request) || !withinKeyLimit(w, request.Keys) {
		return
	}
	manifest, err := s.findManifest(request.Keys)
	wire.ReplyOrError(w, manifest, err)
}

func (s *Store) handlePin(w http.ResponseWriter, r *http.Request) {
	var request store.PinRequest
	if !wire.Decode(w, r, &request) || !withinKeyLimit(w, request.Keys) {
		return
	}
	id, err := s.addPin(request.Keys, time.Duration(request.TTLMS)*time.Millisecond)
	wire.ReplyOrError(w, store.PinReply{Pin: id}, err)
}

func (s *Store) handleUnpin(w http.ResponseWriter, r *http.Request) {
	s.unpin(r.PathValue("pin"))
	wire.Reply(w, struct{}{})
}

func (s *Store) handleStats(w http.ResponseWriter, _ *http.Request) {
	wire.Reply(w, s.Stats())
}

// withinKeyLimit returns true if the request has at most store.MaxKeys keys.
// Otherwise it refuses the request.
func withinKeyLimit(w http.ResponseWriter, keys []string) bool {
	if len(keys) <= store.MaxKeys {
		return true
	}
	wire.ReplyError(w, code.Newf(code.TooManyItems, "more than %d keys", store.MaxKeys))
	return false
}
