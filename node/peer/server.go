package peer

import (
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

// maxConnections bounds the connections that a server keeps open.
const maxConnections = 1024

// Asker is the control thread as this package sees it.
type Asker interface {
	Ask(ctx context.Context, question control.Question) (control.Decision, *code.Error)
	Tell(message control.Message) bool
}

// Server answers the calls of peers.
type Server struct {
	// Entries holds the entries of the key-value service that peers may copy; nil
	// means none.
	Entries Entries
	// Boards holds what this node follows itself; nil means nothing.
	Boards *caches.Feeds

	control Asker
}

// Entries is a copy of the key-value service.
type Entries interface {
	// Copy returns what a copy lacks after a revision, or code.KeyValueAway.
	Copy(ctx context.Context, after kv.Revision, wait time.Duration) (changes []kv.Change, at kv.Revision, whole bool, err *code.Error)
}

// maxCopyWait bounds how long a peer may wait for a change.
const maxCopyWait = 30 * time.Second

// NewServer returns a server that asks the control thread for its answers.
func NewServer(asker Asker) *Server {
	return &Server{control: asker}
}

// Serve accepts connections until the context ends or the listener fails,
// and returns once all connections are closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	room := make(chan struct{}, maxConnections)
	defer func() {
		cancel()
		for range maxConnections {
			room <- struct{}{}
		}
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		select {
		case room <- struct{}{}:
			go func() {
				defer func() { <-room }()
				s.serveConn(ctx, conn)
			}()
		default:
			_ = conn.Close()
		}
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	stream := jsonrpc2.NewBufferedStream(boundedConn{conn}, boundedCodec{})
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle).SuppressErrClosed()), quiet())
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
	var wire digestWire
	if r.Params == nil || json.Unmarshal(*r.Params, &wire) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "malformed digest"}
	}
	decision, err := s.ask(ctx, control.AskDigest{ID: newID(), Digest: fromWire(wire)})
	if err != nil {
		return nil, err
	}
	answer, ok := decision.(control.DigestAnswer)
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "unexpected decision"}
	}
	return toWire(answer.Digest), nil
}

func (s *Server) work(r *jsonrpc2.Request) (any, error) {
	var wire workWire
	if r.Params == nil || json.Unmarshal(*r.Params, &wire) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "malformed work"}
	}
	// A message that finds the queue full is replaced by the next one.
	s.control.Tell(workFromWire(wire))
	return struct{}{}, nil
}

func (s *Server) copy(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var call copyCall
	if s.Entries == nil || r.Params == nil || json.Unmarshal(*r.Params, &call) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "malformed call, or no entries"}
	}
	wait := min(time.Duration(call.WaitMS)*time.Millisecond, maxCopyWait)
	changes, at, whole, err := s.Entries.Copy(ctx, kv.Revision(call.After), wait)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: int64(err.Code), Message: err.Detail}
	}
	return copyWire{Changes: changes, At: uint64(at), Whole: whole}, nil
}

func (s *Server) parts(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var call partsCall
	if s.Boards == nil || r.Params == nil || json.Unmarshal(*r.Params, &call) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "malformed call, or no boards"}
	}
	wait := min(time.Duration(call.WaitMS)*time.Millisecond, maxCopyWait)
	copied, err := s.Boards.Copy(ctx, call.Target, call.Epoch, call.Since, wait)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: int64(err.Code), Message: err.Detail}
	}
	return partsToWire(copied), nil
}

func (s *Server) config(ctx context.Context) (any, error) {
	decision, err := s.ask(ctx, control.AskConfig{ID: newID()})
	if err != nil {
		return nil, err
	}
	answer, ok := decision.(control.ConfigAnswer)
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "unexpected decision"}
	}
	return configWire{Document: confkv.NewDocument(answer.Current)}, nil
}

func (s *Server) ask(ctx context.Context, question control.Question) (control.Decision, error) {
	decision, err := s.control.Ask(ctx, question)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: int64(err.Code), Message: err.Detail}
	}
	return decision, nil
}

func newID() request.ID {
	return request.ID(uuid.NewString())
}
