package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"tanagerspread/client/engine"
	"tanagerspread/client/wire"
	"tanagerspread/core/code"
)

// Handler returns the HTTP routes of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathCompletions, e.handleCompletion)
	mux.HandleFunc("GET "+engine.PathLoad, e.handleLoad)
	mux.HandleFunc("POST "+engine.PathOrders, e.handleOrder)
	mux.HandleFunc("GET "+engine.PathOrders, e.handleStatus)
	mux.HandleFunc("POST "+engine.PathExport, e.handleExport)
	mux.HandleFunc("POST "+engine.PathImport, e.handleImport)
	mux.HandleFunc("GET "+engine.PathEvents, e.handleEvents)
	return e.injectFaults(mux)
}

// injectFaults aborts the calls of a crashed engine and blocks those of a hanging
// one until it continues.
func (e *Engine) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var crashed, hangEnded chan struct{}
		if !e.do(func(s *state) { crashed, hangEnded = s.crashed, s.hangEnded }) {
			panic(http.ErrAbortHandler) // net/http closes the connection.
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go abortOnCrash(ctx, crashed, cancel, http.NewResponseController(w))
		if hangEnded != nil {
			select {
			case <-hangEnded:
			case <-ctx.Done():
			}
		}
		if ctx.Err() == nil && !isClosed(crashed) {
			next.ServeHTTP(w, r.WithContext(ctx))
		}
		if isClosed(crashed) {
			panic(http.ErrAbortHandler) // net/http closes the connection.
		}
	})
}

// abortOnCrash cancels a call when the engine crashes. The write deadline also
// unblocks a write in progress.
func abortOnCrash(ctx context.Context, crashed <-chan struct{}, cancel context.CancelFunc, controller *http.ResponseController) {
	select {
	case <-crashed:
		cancel()
		_ = controller.SetWriteDeadline(time.Now())
	case <-ctx.Done():
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

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	wire.Reply(w, e.loadReport())
}

func (e *Engine) loadReport() engine.Load {
	var load engine.Load
	e.do(func(s *state) { load = s.loadReport(time.Now()) })
	return load
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get(engine.QueryAfter), 10, 64)
	if err != nil {
		wire.ReplyError(w, code.New(code.MalformedBody, "after is not a sequence number"))
		return
	}
	var reply engine.EventsReply
	e.do(func(s *state) { reply = s.feed.eventsAfter(time.Now(), after) })
	wire.Reply(w, reply)
}

// writeLoad sets the load report headers of a response.
func writeLoad(header http.Header, load engine.Load) {
	header.Set(engine.HeaderRunning, strconv.Itoa(load.Running))
	header.Set(engine.HeaderWaiting, strconv.Itoa(load.Waiting))
	header.Set(engine.HeaderPrefillTokens, strconv.Itoa(load.PrefillTokens))
	if load.Leaving {
		header.Set(engine.HeaderLeaving, "true")
	}
}
