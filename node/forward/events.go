package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"tanagerspread/core/code"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// eventBufferBytes is the size of the read buffer of a stream.
	eventBufferBytes = 4 << 10
)

// Event is one whole event of a stream with its bytes as the server sent them.
type Event struct {
	Raw []byte
	// ID is the identifier of the event, or NoEvent.
	ID int64
}

// EventReader reads the events of a stream.
type EventReader struct {
	reader *bufio.Reader
}

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, eventBufferBytes)}
}

// Next returns the next whole event. It returns io.EOF at the end of the
// stream, and code.AnswerTruncated when the stream ends within an event.
func (e *EventReader) Next() (Event, error) {
	event := Event{ID: NoEventID}
	for {
		line, err := e.reader.ReadSlice('\n')
		event.Raw = append(event.Raw, line...)
		switch {
		case err == bufio.ErrBufferFull && len(event.Raw) <= maxEventBytes:
			continue
		case err == io.EOF && len(event.Raw) == 0:
			return event, io.EOF
		case err == io.EOF:
			return event, code.New(code.AnswerTruncated, "the stream ended within an event")
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

// parseID takes the identifier from a line of the event.
func (e *Event) parseID(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
		e.ID = id
	}
}
