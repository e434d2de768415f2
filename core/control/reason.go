package control

import (
	"fmt"
	"strings"

	"tanagerspread/core/fleet"
)

// Reasons why a server gets no new work.
const (
	reasonRule     = "rule"
	reasonList     = "list"
	reasonResponse = "response"
	reasonReport   = "report"
	reasonPause    = "retry-after"
)

// restReason returns why a server that leaves or is paused gets no new work, or an empty
// string for any other server. An operator's rule comes before what the server says, and
// what it said to this node before a report that may be relayed by a peer.
func restReason(server *fleet.Server) string {
	switch {
	case server.Chart.Is(fleet.TagPaused):
		return reasonPause
	case !server.Chart.Is(fleet.TagLeaving):
		return ""
	case server.LeavingByRule:
		return reasonRule
	case server.LeavingByList:
		return reasonList
	case server.LeavingByResponse:
		return reasonResponse
	}
	return reasonReport
}

// countResting returns the numbers of servers that leave and that are paused.
func countResting(servers []*fleet.Server) (leaving, paused int) {
	for _, server := range servers {
		switch {
		case server.Chart.Is(fleet.TagPaused):
			paused++
		case server.Chart.Is(fleet.TagLeaving):
			leaving++
		}
	}
	return leaving, paused
}

// describeServers describes the servers of a group for the detail of an error.
func (s *State) describeServers(servers []*fleet.Server) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d are known", len(servers))
	leaving, paused := countResting(servers)
	evacuated := 0
	for _, server := range servers {
		if s.isEvacuated(server) {
			evacuated++
		}
	}
	if leaving > 0 {
		fmt.Fprintf(&text, ", %d leave", leaving)
	}
	if paused > 0 {
		fmt.Fprintf(&text, ", %d want no calls yet", paused)
	}
	if evacuated > 0 {
		fmt.Fprintf(&text, ", %d are in evacuated failure domains", evacuated)
	}
	return text.String()
}
