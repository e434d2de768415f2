package callerconn

import "testing"

// TestCapacity guards against more connections than the memory, the unread bytes or the
// descriptors of a node allow.
func TestCapacity(t *testing.T) {
	const mib = 1 << 20
	for _, test := range []struct {
		memory             int64
		descriptors        int
		connections, peers int
	}{
		{memory: 64 * mib, descriptors: 0, connections: 307, peers: 1024},
		{memory: 64 * mib, descriptors: 256, connections: 21, peers: 7},
		{memory: 112 * mib, descriptors: 4100, connections: 537, peers: 487},
		{memory: 536 * mib, descriptors: 4100, connections: 1462, peers: 487},
		{memory: 536 * mib, descriptors: 10_933, connections: 2572, peers: 1024},
		{memory: 1, descriptors: 1, connections: 1, peers: 1},
	} {
		c := CapacityOf(test.memory, test.descriptors)
		if c.Connections != test.connections || c.PeerConnections != test.peers {
			t.Errorf("%d bytes, %d descriptors: %+v, want %d connections and %d of peers", test.memory, test.descriptors, c, test.connections, test.peers)
		}
		if test.descriptors > reservedFiles && 2*c.Connections+c.PeerConnections > test.descriptors-reservedFiles {
			t.Errorf("%+v takes more than %d descriptors", c, test.descriptors-reservedFiles)
		}
		if total := c.CallerBytes + c.UnreadBytes; total > test.memory/2 {
			t.Errorf("%+v takes more than half of %d bytes", c, test.memory)
		}
	}
}
