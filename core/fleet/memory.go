package fleet

import "time"

// MemoryUse is the memory of an engine that requests in progress occupy, in tokens.
type MemoryUse struct {
	// Private counts the tokens that belong to one request alone, the longest
	// response included.
	Private int
	// Shared lists the prompt parts that several requests may share, each once.
	Shared []SharedPart
}

// SharedPart is a prompt part that requests may share. Hash identifies it under its
// salt.
type SharedPart struct {
	Hash   uint32
	Tokens int
}

// IsZero reports whether no memory is occupied.
func (u MemoryUse) IsZero() bool {
	return u.Private == 0 && len(u.Shared) == 0
}

// memoryLedger adds up the memory that this node and its peers have promised to
// requests on an engine. A part that several requests share counts once. The zero
// value is ready to use.
type memoryLedger struct {
	committed int
	shared    map[uint32]*sharedUse
}

// TurnLength is the time for which nodes that see the same free memory of an engine
// keep to their shares of it. It covers the time until the peers know of a call that a
// node has sent.
const TurnLength = 100 * time.Millisecond

// turn is the memory that this node has taken in one turn.
type turn struct {
	number int64
	tokens int
}

// turnStart is the memory that was free when this node first looked in a turn.
type turnStart struct {
	number int64
	free   int
}

// TurnNumber returns the number of the turn that a time belongs to. It is the same on
// all nodes whose clocks agree.
func TurnNumber(now time.Time) int64 {
	return now.UnixNano() / int64(TurnLength)
}

// sharedUse is a shared part with the number of its uses in a ledger.
type sharedUse struct {
	tokens int
	uses   int
}

// add adds a use of memory.
func (l *memoryLedger) add(use MemoryUse) {
	l.committed += use.Private
	for _, part := range use.Shared {
		entry := l.shared[part.Hash]
		if entry == nil {
			entry = &sharedUse{tokens: part.Tokens}
			if l.shared == nil {
				l.shared = map[uint32]*sharedUse{}
			}
			l.shared[part.Hash] = entry
			l.committed += part.Tokens
		}
		entry.uses++
	}
}

// remove takes back an earlier add of the same use.
func (l *memoryLedger) remove(use MemoryUse) {
	l.committed -= use.Private
	for _, part := range use.Shared {
		entry := l.shared[part.Hash]
		if entry == nil {
			continue
		}
		entry.uses--
		if entry.uses == 0 {
			l.committed -= entry.tokens
			delete(l.shared, part.Hash)
		}
	}
}

// increase returns by how many tokens adding the use would increase the committed
// memory.
func (l *memoryLedger) increase(use MemoryUse) int {
	tokens := use.Private
	for _, part := range use.Shared {
		if l.shared[part.Hash] == nil {
			tokens += part.Tokens
		}
	}
	return tokens
}

// list returns the memory use of the ledger with each shared part once.
func (l *memoryLedger) list() MemoryUse {
	use := MemoryUse{Private: l.committed}
	for hash, entry := range l.shared {
		use.Private -= entry.tokens
		use.Shared = append(use.Shared, SharedPart{Hash: hash, Tokens: entry.tokens})
	}
	return use
}

// ReserveMemory adds the memory of a request of this node that starts on the server.
func (s *Server) ReserveMemory(use MemoryUse, now time.Time) {
	s.turn.tokens = s.ReservedInTurn(now) + s.memory.increase(use)
	s.turn.number = TurnNumber(now)
	s.ownMemory.add(use)
	s.memory.add(use)
}

// ReservedInTurn returns by how many tokens the requests that this node has sent to the
// server in the present turn increased the committed memory.
func (s *Server) ReservedInTurn(now time.Time) int {
	if s.turn.number != TurnNumber(now) {
		return 0
	}
	return s.turn.tokens
}

// FreeAtTurnStart returns the memory that was free when this node first looked in the
// present turn, given what is free now.
func (s *Server) FreeAtTurnStart(free int, now time.Time) int {
	if number := TurnNumber(now); s.turnStart.number != number {
		s.turnStart = turnStart{number: number, free: free + s.ReservedInTurn(now)}
	}
	return s.turnStart.free
}

// ReleaseMemory takes back ReserveMemory when the request has ended.
func (s *Server) ReleaseMemory(use MemoryUse) {
	s.ownMemory.remove(use)
	s.memory.remove(use)
}

// CommittedMemory returns the tokens of memory that requests of this node and of its
// peers are expected to occupy on the server.
func (s *Server) CommittedMemory() int {
	return s.memory.committed
}

// MemoryIncrease returns by how many tokens a request would increase the committed
// memory. Shared parts that a request in progress uses already do not count.
func (s *Server) MemoryIncrease(use MemoryUse) int {
	return s.memory.increase(use)
}
