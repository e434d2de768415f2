package soak

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// reservedFiles is the number of descriptors of fd_limit that sockets and pipes
	// cannot use.
	reservedFiles = 200
	// footprintInterval is the time between two measurements of a footprint.
	footprintInterval = 20 * time.Millisecond
	// tcpListen is the state of a listening socket in /proc/net/tcp. Its queue is a
	// number of connections.
	tcpListen = "0A"
)

// footprint is what a process uses of its machine.
type footprint struct {
	residentKB int
	// unreadKB is the number of KiB that its connections have received and the
	// process has not read.
	unreadKB int
	// sockets counts sockets and pipes.
	sockets int
}

func (f footprint) memoryKB() int { return f.residentKB + f.unreadKB }

// String describes the footprint.
func (f footprint) String() string {
	return fmt.Sprintf("%d KiB resident and %d KiB unread, %d sockets", f.residentKB, f.unreadKB, f.sockets)
}

// footprintWatch measures the footprint of the process of a node until it is stopped.
type footprintWatch struct {
	node *node
	stop chan struct{}
	done chan struct{}
	// peak has the largest memory, with its parts, and the largest number of sockets.
	peak footprint
}

// watchFootprints measures all nodes until the returned function is called, which returns
// the nodes that exceeded their memory or their descriptors at any measurement, and the peaks
// of all.
func (s *site) watchFootprints() (stop func() (violations, peaks []string)) {
	var watches []*footprintWatch
	for _, n := range s.nodes {
		w := &footprintWatch{node: n, stop: make(chan struct{}), done: make(chan struct{})}
		watches = append(watches, w)
		go w.run()
	}
	return func() (violations, peaks []string) {
		for _, w := range watches {
			close(w.stop)
			<-w.done
			peaks = append(peaks, fmt.Sprintf("%s: %s", w.node.name, w.peak))
			if w.peak.memoryKB() > s.options.memoryMB<<10 {
				violations = append(violations, fmt.Sprintf("%s: %s, its memory is %d KiB", w.node.name, w.peak, s.options.memoryMB<<10))
			}
			if limit := s.options.descriptors - reservedFiles; w.peak.sockets > limit {
				violations = append(violations, fmt.Sprintf("%s: %s, it may have %d sockets", w.node.name, w.peak, limit))
			}
		}
		return violations, peaks
	}
}

func (w *footprintWatch) run() {
	defer close(w.done)
	ticker := time.NewTicker(footprintInterval)
	defer ticker.Stop()
	for {
		if f, err := w.node.footprint(); err == nil {
			if f.memoryKB() > w.peak.memoryKB() {
				w.peak.residentKB, w.peak.unreadKB = f.residentKB, f.unreadKB
			}
			w.peak.sockets = max(w.peak.sockets, f.sockets)
		}
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

// footprint measures the process of the node. It returns an error when the process has
// ended.
func (n *node) footprint() (footprint, error) {
	var f footprint
	var err error
	n.mu.Lock()
	pid := n.process.Pid
	n.mu.Unlock()
	if f.residentKB, err = statusKB(pid, "VmRSS:"); err != nil {
		return f, err
	}
	inodes, err := socketInodes(pid)
	if err != nil {
		return f, err
	}
	f.sockets = len(inodes)
	bytes, err := unreadBytes(inodes, n.ports())
	f.unreadKB = bytes >> 10
	return f, err
}

// ports returns the ports that the node listens on, in the form of /proc/net/tcp.
func (n *node) ports() map[string]bool {
	ports := map[string]bool{}
	for _, address := range []string{n.callerAddress, n.readyAddress, n.operatorAddress} {
		_, text, _ := net.SplitHostPort(address)
		port, _ := strconv.Atoi(text)
		ports[fmt.Sprintf("%04X", port)] = true
	}
	return ports
}

// statusKB returns a field of /proc/PID/status in KiB. A process that has ended has none.
func statusKB(pid int, field string) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, field); found {
			return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
		}
	}
	return 0, fmt.Errorf("process %d has no %s", pid, field)
}

// socketInodes returns the inodes of the sockets and pipes that a process has open.
func socketInodes(pid int) (map[string]bool, error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	inodes := map[string]bool{}
	for _, entry := range entries {
		// A descriptor may have been closed since.
		target, _ := os.Readlink(dir + "/" + entry.Name())
		kind, rest, _ := strings.Cut(target, ":[")
		if kind == "socket" || kind == "pipe" {
			inodes[strings.TrimSuffix(rest, "]")] = true
		}
	}
	return inodes, nil
}

// unreadBytes returns the bytes that were received and not read by sockets with the given
// inodes, and by connections to the given ports that were not accepted yet.
func unreadBytes(inodes, ports map[string]bool) (int, error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	total := 0
	for line := range strings.Lines(string(table)) {
		// The fields are: number, local address, remote address, state, queues,
		// timer, retransmits, user, timeout, inode.
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[3] == tcpListen {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if !inodes[fields[9]] && !ports[port] {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			continue
		}
		total += int(bytes)
	}
	return total, nil
}
