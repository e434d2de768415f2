package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// maxMessageBytes bounds one message. A configuration of the largest size
	// fits, since JSON may write a byte of text as up to two.
	maxMessageBytes = 3 << 20
	// writeTimeout bounds one write to a connection.
	writeTimeout = 2 * time.Second
	// idleTimeout closes a connection on which nothing arrives. With 340
	// nodes a connection is used every three minutes on average.
	idleTimeout = 10 * time.Minute
)

// boundedCodec frames JSON with a length and refuses oversized messages
// before it reads them.
type boundedCodec struct{}

// WriteObject writes one message.
func (boundedCodec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	frame := binary.AppendUvarint(make([]byte, 0, len(data)+binary.MaxVarintLen64), uint64(len(data)))
	_, err = stream.Write(append(frame, data...))
	return err
}

// ReadObject reads one message. It returns an error when the message is
// larger than maxMessageBytes.
func (boundedCodec) ReadObject(stream *bufio.Reader, object any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return fmt.Errorf("message of %d bytes is larger than %d", size, maxMessageBytes)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return json.Unmarshal(data, object)
}

// boundedConn bounds each read and write of a connection.
type boundedConn struct {
	net.Conn
}

// Read waits up to idleTimeout.
func (c boundedConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write waits up to writeTimeout.
func (c boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
