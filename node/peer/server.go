package peer

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/jsonrpc2"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/request"
	"tanagerspread/node/caches"
	"tanagerspread/node/confkv"
)

// defaultMaxConnections is the MaxConnections of a server without one.
const defaultMaxConnections = 1024

// ControlThread is the part of the control thread that this package uses.
type ControlThread interface {
	Ask(ctx context.Context, question control.Question) (control.Decision, *code.Error)
	Tell(message control.Message) bool
}

// Server answers the calls of peers.
type Server struct {
	// Entries is the copy of the key-value service that peers may read. When it
	// is nil, such calls are rejected.
	Entries Entries
	// Feeds holds the event feeds of the cache stores and engines that this node
	// follows itself. When it is nil, calls for them are rejected.
	Feeds *caches.Feeds
	// MaxConnections bounds the open connections; further ones are closed at once. 0
	// means defaultMaxConnections.
	MaxConnections int

	control ControlThread
}

// Entries is a copy of the entries of the key-value service.
type Entries interface {
	// Copy returns the changes after a revision, or all entries when snapshot is
	// true. It waits up to wait for a change, and returns code.KeyValueAway when
	// the copy is not up to date.
	Copy(ctx context.Context, after kv.Revision, wait time.Duration) (changes []kv.Change, at kv.Revision, snapshot bool, err *code.Error)
}

// maxCopyWait bounds the time that a call of a peer waits for a change.
const maxCopyWait = 30 * time.Second

// NewServer returns a server that gets digests and configurations from the
// control thread.
func NewServer(thread ControlThread) *Server {
	return &Server{control: thread}
}

// Serve accepts connections until the context is cancelled or the listener
// fails. It returns the listener's error once all connections are closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	limit := cmp.Or(s.MaxConnections, defaultMaxConnections)
	slots := make(chan struct{}, limit)
	defer func() {
		cancel()
		for range limit {
			slots <- struct{}{}
		}
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		select {
		case slots <- struct{}{}:
			go func() {
				defer func() { <-slots }()
				s.serveConn(ctx, conn)
			}()
		default:
			_ = conn.Close()
		}
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	stream := jsonrpc2.NewBufferedStream(boundedConn{conn}, boundedCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed()), discardLog())
	select {
	case <-ctx.Done():
		_ = rpc.Close()
	case <-rpc.DisconnectNotify():
	}
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodPing:
		return struct{}{}, nil
	case methodDigest:
		return s.digest(ctx, r)
	case methodWork:
		return s.work(r)
	case methodCopy:
		return s.copy(ctx, r)
	case methodParts:
		return s.parts(ctx, r)
	case methodConfig:
		return s.config(ctx)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
}

func (s *Server) digest(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var params digestWire
	if r.Params == nil || json.Unmarshal(*r.Params, &params) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "malformed digest"}
	}
	decision, err := s.ask(ctx, control.AskDigest{ID: newRequestID(), Digest: digestFromWire(params)})
	if err != nil {
		return nil, err
	}
	answer, ok := decision.(control.DigestAnswer)
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "unexpected decision"}
	}
	return digestToWire(answer.Digest), nil
}

func (s *Server) work(r *jsonrpc2.Request) (any, error) {
	var params workParams
	if r.Params == nil || json.Unmarshal(*r.Params, &params) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "malformed work"}
	}
	// A message is dropped when the control thread's queue is full; the peer's
	// next message replaces it.
	s.control.Tell(workFromWire(params))
	return struct{}{}, nil
}

func (s *Server) copy(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var params copyParams
	if s.Entries == nil || r.Params == nil || json.Unmarshal(*r.Params, &params) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "malformed call, or no entries"}
	}
	wait := min(time.Duration(params.WaitMS)*time.Millisecond, maxCopyWait)
	changes, at, snapshot, err := s.Entries.Copy(ctx, kv.Revision(params.After), wait)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: int64(err.Code), Message: err.Detail}
	}
	return copyResult{Changes: changes, At: uint64(at), Snapshot: snapshot}, nil
}

func (s *Server) parts(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var params partsParams
	if s.Feeds == nil || r.Params == nil || json.Unmarshal(*r.Params, &params) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "malformed call, or no boards"}
	}
	wait := min(time.Duration(params.WaitMS)*time.Millisecond, maxCopyWait)
	copied, err := s.Feeds.Copy(ctx, params.Target, params.Epoch, params.Since, wait)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: int64(err.Code), Message: err.Detail}
	}
	return partsToWire(copied), nil
}

func (s *Server) config(ctx context.Context) (any, error) {
	decision, err := s.ask(ctx, control.AskConfig{ID: newRequestID()})
	if err != nil {
		return nil, err
	}
	answer, ok := decision.(control.ConfigAnswer)
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "unexpected decision"}
	}
	return configResult{Document: confkv.NewDocument(answer.Current), Isolation: confkv.IsolationDocument(answer.Isolation)}, nil
}

func (s *Server) ask(ctx context.Context, question control.Question) (control.Decision, error) {
	decision, err := s.control.Ask(ctx, question)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: int64(err.Code), Message: err.Detail}
	}
	return decision, nil
}

func newRequestID() request.ID {
	return request.ID(uuid.NewString())
}
