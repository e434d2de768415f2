package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"tanagerspread/core/code"
	"tanagerspread/node/memory"
)

const (
	// maxEventBytes is the largest event of a stream that is accepted.
	maxEventBytes = 1 << 20
	// eventBufferBytes is the size of the read buffer of a stream.
	eventBufferBytes = 4 << 10
)

// Event is one complete server-sent event.
type Event struct {
	// Raw holds the bytes of the event as the server sent them.
	Raw []byte
	// ID is the id field of the event, or NoEventID when it has no valid one.
	ID int64
}

// IsComment reports whether the event consists of comments and empty lines, which a
// server may send before a call begins to run.
func (e Event) IsComment() bool {
	for line := range bytes.Lines(e.Raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// EventReader splits a server-sent event stream into events.
type EventReader struct {
	reader *bufio.Reader
	// account holds the memory of the largest event so far.
	account *memory.Account
}

// NewEventReader returns a reader of the event stream in body, which reserves the memory
// of events in the account.
func NewEventReader(body io.Reader, account *memory.Account) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, eventBufferBytes), account: account}
}

// Next returns the next complete event. It returns io.EOF at the end of the
// stream, code.AnswerTruncated when the stream ends within an event,
// code.AnswerTooLarge when an event is larger than maxEventBytes, and
// memory.ErrNoMemory when there is no memory for it.
func (e *EventReader) Next() (Event, error) {
	event := Event{ID: NoEventID}
	for {
		line, err := e.reader.ReadSlice('\n')
		event.Raw = append(event.Raw, line...)
		if missing := int64(cap(event.Raw)) - e.account.Held(); missing > 0 && !e.account.Grow(missing) {
			return event, memory.ErrNoMemory
		}
		switch {
		case err == bufio.ErrBufferFull && len(event.Raw) <= maxEventBytes:
			continue
		case err == io.EOF && len(event.Raw) == 0:
			return event, io.EOF
		case err == io.EOF:
			return event, code.Wrap(code.AnswerTruncated, "the stream ended within an event", io.ErrUnexpectedEOF)
		case err != nil:
			return event, err
		}
		if len(event.Raw) > maxEventBytes {
			return event, code.Newf(code.AnswerTooLarge, "an event is larger than %d bytes", maxEventBytes)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return event, nil
		}
		event.parseID(line)
	}
}

// parseID sets the ID of the event if the line is an id field with a number.
func (e *Event) parseID(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
		e.ID = id
	}
}
