// Package control runs the control thread of a process: one goroutine locked
// to its OS thread that owns the control state. Traffic goroutines reach it
// through one bounded queue.
package control

import (
	"context"
	"runtime"
	"time"

	"tanagerspread/core/code"
	"tanagerspread/core/control"
	"tanagerspread/core/request"
)

const (
	// queueLength bounds the messages that wait for the control thread.
	queueLength = 4096
	// admissionLength is the queue length at which new requests are refused,
	// so that messages of requests in progress still fit into the queue.
	admissionLength = queueLength * 3 / 4
	// tickInterval is the resolution of all timeouts in the charts.
	tickInterval = 50 * time.Millisecond
	// minSuspension is the shortest suspension that is reported. Two clocks that are
	// read one after the other differ by less.
	minSuspension = 100 * time.Millisecond
)

// Loop is the control thread. Ask and Tell may be called by any goroutine.
type Loop struct {
	state   *control.State
	inbox   chan envelope
	done    chan struct{}
	pending map[request.ID]chan<- control.Decision
	sink    func(control.Command)
	// suspended returns for how long the machine has been suspended since the process
	// started; suspendedBefore is its result at the last tick.
	suspended       func() time.Duration
	suspendedBefore time.Duration
}

type envelope struct {
	message control.Message
	reply   chan control.Decision
}

// NewLoop returns a loop over the state. The sink receives commands on the
// control thread and must not block. suspended returns for how long the machine has
// been suspended, during which the clock of the process stood still; nil means that it
// never is.
func NewLoop(state *control.State, sink func(control.Command), suspended func() time.Duration) *Loop {
	return &Loop{
		suspended: suspended,
		state:     state,
		inbox:     make(chan envelope, queueLength),
		done:      make(chan struct{}),
		pending:   map[request.ID]chan<- control.Decision{},
		sink:      sink,
	}
}

// Run handles messages until the context ends. It must be called once.
func (l *Loop) Run(ctx context.Context) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.reportSuspension()
			l.handle(envelope{message: control.Tick{}})
		case e := <-l.inbox:
			if ctx.Err() != nil {
				// The context was cancelled while a message was ready. A stopped
				// loop must not decide on it.
				return
			}
			l.handle(e)
		}
	}
}

// reportSuspension reports to the state that the machine was suspended since the last
// tick.
func (l *Loop) reportSuspension() {
	if l.suspended == nil {
		return
	}
	total := l.suspended()
	if duration := total - l.suspendedBefore; duration >= minSuspension {
		l.suspendedBefore = total
		l.handle(envelope{message: control.Suspended{Duration: duration}})
	}
}

func (l *Loop) handle(e envelope) {
	l.register(e)
	output := l.state.Handle(time.Now(), e.message)
	for _, reply := range output.Replies {
		l.deliver(reply)
	}
	for _, command := range output.Commands {
		l.sink(command)
	}
}

func (l *Loop) register(e envelope) {
	if question, ok := e.message.(control.Question); ok && e.reply != nil {
		l.pending[question.Subject()] = e.reply
	}
	if abandon, ok := e.message.(control.Abandon); ok {
		delete(l.pending, abandon.Request)
	}
}

// deliver sends a decision to the requester that waits for it. It never blocks,
// because each reply channel buffers the single decision on its question.
func (l *Loop) deliver(reply control.Reply) {
	decisions, ok := l.pending[reply.To]
	if !ok {
		return
	}
	delete(l.pending, reply.To)
	decisions <- reply.Decision
}

// Ask sends a question and waits for its decision. It returns code.Overloaded
// when the queue is full, code.CallerGone when the context ends first, and
// code.Draining when the loop has stopped.
func (l *Loop) Ask(ctx context.Context, question control.Question) (control.Decision, *code.Error) {
	if _, isNew := question.(control.Admit); isNew && len(l.inbox) >= admissionLength {
		return nil, code.New(code.Overloaded, "the control queue of the node is full")
	}
	reply := make(chan control.Decision, 1)
	select {
	case l.inbox <- envelope{message: question, reply: reply}:
	default:
		return nil, code.New(code.Overloaded, "the control queue of the node is full")
	}
	select {
	case decision := <-reply:
		return decision, nil
	case <-ctx.Done():
		return nil, code.Wrap(code.CallerGone, "the caller closed the connection", ctx.Err())
	case <-l.done:
		return nil, code.New(code.Draining, "the node has stopped")
	}
}

// Tell sends a message without waiting for a reply. It returns false when the
// queue is full.
func (l *Loop) Tell(message control.Message) bool {
	select {
	case l.inbox <- envelope{message: message}:
		return true
	default:
		return false
	}
}
