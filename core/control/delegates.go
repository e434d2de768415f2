package control

// delegatesPerDomain is the number of nodes of each failure domain that watch the
// key-value service. The others copy what these know.
const delegatesPerDomain = 2

// delegateTarget separates the ranks of delegates from those of followers.
const delegateTarget = "key-value service"

// CopyEntries tells from which peer the entries of the key-value service are
// copied; an empty target means from the service itself.
type CopyEntries struct {
	Source PeerTarget
}

func (CopyEntries) command() {}

// chooseEntrySource names the peer to copy entries from.
func (s *State) chooseEntrySource() {
	if !s.options.Forwarding {
		return
	}
	source := s.followSource(delegateTarget, delegatesPerDomain, s.peersInDomain())
	if source != s.source {
		s.source = source
		s.command(CopyEntries{Source: source})
		s.followCaches()
	}
}
