package soak

import "testing"

// TestPortsAllocatedOnce guards against two nodes of a site with the same port.
// The second of them cannot listen, and its process exits.
func TestPortsAllocatedOnce(t *testing.T) {
	const nodes = 200
	var ports portAllocator
	seen := map[int]bool{}
	for range nodes {
		allocated, err := ports.allocate(portsPerNode)
		if err != nil {
			t.Fatal(err)
		}
		for _, port := range allocated {
			if seen[port] {
				t.Errorf("port %d was allocated twice", port)
			}
			seen[port] = true
		}
	}
}
