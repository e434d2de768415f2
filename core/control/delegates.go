package control

// delegatesPerDomain is the number of nodes of each failure domain that watch
// the key-value service. The other nodes copy the entries from them.
const delegatesPerDomain = 2

// delegateTarget is the target name for which delegates are ranked. It differs
// from the names of followed targets, so that the ranks are independent.
const delegateTarget = "key-value service"

// CopyEntries specifies the peer from which the entries of the key-value service
// are copied; an empty source means that the service itself is watched.
type CopyEntries struct {
	Source PeerTarget
}

func (CopyEntries) command() {}

// chooseEntrySource chooses the peer to copy the entries of the key-value service
// from, or none when this node is a delegate.
func (s *State) chooseEntrySource() {
	if !s.options.Forwarding {
		return
	}
	source := s.followSource(delegateTarget, delegatesPerDomain, s.peersInDomain())
	if source != s.entrySource {
		s.entrySource = source
		s.command(CopyEntries{Source: source})
		s.followCaches()
	}
}
