package control

// delegates is the number of nodes of each failure domain that watch the
// key-value service. The others copy what these know.
const delegates = 2

// delegateTopic separates the ranks of delegates from those of followers.
const delegateTopic = "key-value service"

// CopyEntries tells from which peer the entries of the key-value service are
// copied; an empty target means from the service itself.
type CopyEntries struct {
	Source PeerTarget
}

func (CopyEntries) command() {}

// chooseSource names the peer to copy entries from.
func (s *State) chooseSource() {
	if !s.options.Forwarding {
		return
	}
	source := s.followSource(delegateTopic, delegates, s.nearPeers())
	if source != s.entrySource {
		s.entrySource = source
		s.command(CopyEntries{Source: source})
		s.followCaches()
	}
}
