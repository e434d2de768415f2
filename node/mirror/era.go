package mirror

import (
	"time"

	"tanagerspread/client/kv"
	"tanagerspread/core/code"
)

// beginEra prepares for entries of a revision. It returns code.KeyValueAway when they are
// of an earlier era than the mirror. After a rise, entries may be missing for a moment,
// until their writers write them again. The caller holds mu.
func (m *Mirror) beginEra(at kv.Revision) *code.Error {
	if at.Era() < m.revision.Era() {
		return code.New(code.KeyValueAway, "the entries are of an earlier era of the key-value service")
	}
	if at.Era() > m.revision.Era() && m.loaded {
		m.copyEnd = at
		m.recoveredAt = time.Now()
	}
	return nil
}

// FromCopy reports whether a revision is not newer than the first full read after the
// key-value service came back from a copy, so that its entry may have been replaced or
// deleted before.
func (m *Mirror) FromCopy(revision kv.Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.copyEnd != 0 && revision.Era() == m.copyEnd.Era() && revision <= m.copyEnd
}
