package callerconn

const (
	// callerShare is the share of the memory of a process that the connections, heads,
	// bodies and buffered responses of callers may use, unreadShare the share that the
	// kernel may hold for them: bytes that were received and are not read yet.
	callerShare = 0.3
	unreadShare = 0.15
	// ConnectionBytes is the memory of a connection without a request: its goroutine
	// and the buffers of net/http.
	ConnectionBytes = 20 << 10
	// SmallBuffer is the size of the receive buffer of each connection of a caller and
	// to a server.
	SmallBuffer = 8 << 10
	// LargeBuffer is the size of that of a connection with a large body, if there is
	// memory for it.
	LargeBuffer = 64 << 10
	// bufferOverhead is the factor by which the kernel enlarges the size of a buffer. It
	// counts its own structures too, but data may fill most of the buffer.
	bufferOverhead = 2
	// SmallUnread is the number of unread bytes that a small buffer holds at most.
	SmallUnread = bufferOverhead * SmallBuffer
	// LargeUnread is the number of unread bytes that a large buffer holds at most.
	LargeUnread = bufferOverhead * LargeBuffer
	// reservedFiles is the number of descriptors that sockets cannot use.
	reservedFiles = 200
	// callerParts are the eighths of the sockets for connections of callers, and as many
	// for those to the servers of their calls; peerParts are for connections of peers. The
	// others are for connections to peers, to the store and to event feeds.
	callerParts = 3
	peerParts   = 1
	socketParts = 8
)

// Capacity is the part of a process's memory and descriptors that its callers and its peers
// may use.
type Capacity struct {
	// CallerBytes bounds the memory that callers make the process hold, UnreadBytes the
	// bytes of their connections, and of those to servers, that the process has not read.
	CallerBytes int64
	UnreadBytes int64
	// Connections bounds the connections of callers, PeerConnections those that peers
	// open.
	Connections     int
	PeerConnections int
	// Backlog bounds the connections of callers that are not accepted yet. They need no
	// descriptor, but hold unread bytes.
	Backlog int
}

// maxPeerConnections bounds the connections that peers open to a process with unlimited
// descriptors.
const maxPeerConnections = 1024

// CapacityOf returns the capacity of a process with a number of bytes of memory and of file
// descriptors, 0 when unknown. Connections without a request take at most half of the
// memory of callers and half of the unread bytes, so that calls find room for their bodies
// and servers.
func CapacityOf(memoryBytes int64, descriptors int) Capacity {
	c := Capacity{
		CallerBytes:     int64(float64(memoryBytes) * callerShare),
		UnreadBytes:     int64(float64(memoryBytes) * unreadShare),
		PeerConnections: maxPeerConnections,
	}
	c.Backlog = max(int(c.UnreadBytes/2/SmallUnread), 1)
	c.Connections = min(int(c.CallerBytes/2/ConnectionBytes), c.Backlog)
	if descriptors > 0 {
		sockets := descriptors - reservedFiles
		c.Connections = min(c.Connections, sockets*callerParts/socketParts)
		c.PeerConnections = min(c.PeerConnections, sockets*peerParts/socketParts)
	}
	c.Connections = max(c.Connections, 1)
	c.PeerConnections = max(c.PeerConnections, 1)
	return c
}
