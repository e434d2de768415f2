package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Nodes listen below the range of ephemeral ports. An outgoing connection could
// otherwise occupy the port of a node before the node starts, as happened in a
// run beside other soaks (seed 103).
const (
	lowestPort  = 20000
	highestPort = 32000
	// maxPortAttempts is the number of ports that allocate tries.
	maxPortAttempts = 100
)

// portAllocator allocates loopback ports to the nodes of a site. It allocates no
// port twice, because a node that was started may not listen yet.
type portAllocator struct {
	allocated map[int]bool
}

// allocate returns loopback ports that it could listen on. It returns an error
// after maxPortAttempts ports. Another process may take a port before the node
// listens on it.
func (a *portAllocator) allocate(count int) ([]int, error) {
	if a.allocated == nil {
		a.allocated = map[int]bool{}
	}
	var ports []int
	for range maxPortAttempts {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if a.allocated[port] {
			continue
		}
		listener, err := net.Listen("tcp", loopbackAddress(port))
		if err != nil {
			continue
		}
		// The error of closing a listener that accepted nothing has no consequence.
		_ = listener.Close()
		a.allocated[port] = true
		if ports = append(ports, port); len(ports) == count {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("fewer than %d free ports in %d tries", count, maxPortAttempts)
}
