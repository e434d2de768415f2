package registry

import (
	"strings"

	"tanagerspread/client/kv"
)

// maxTombstones bounds the deleted keys that are remembered.
const maxTombstones = 4096

// versions holds the newest known revision of each key. A read and a watch may
// overtake each other; the higher revision counts.
type versions map[string]version

type version struct {
	revision kv.Revision
	deleted  bool
}

// newer records a change and reports whether it is newer than what is known.
func (v versions) newer(change kv.Change) bool {
	key := change.Entry.Key
	known, exists := v[key]
	if exists && (change.Entry.Revision < known.revision || change.Entry.Revision == known.revision && change.Deleted == known.deleted) {
		return false
	}
	if !exists && change.Deleted {
		return false
	}
	if len(v) >= maxTombstones {
		v.forgetDeleted()
	}
	v[key] = version{revision: change.Entry.Revision, deleted: change.Deleted}
	return true
}

// missing returns the known keys under a prefix that a list as of a revision
// lacks.
func (v versions) missing(prefix string, listed map[string]bool, at kv.Revision) []string {
	var keys []string
	for key, known := range v {
		if !known.deleted && !listed[key] && known.revision <= at && strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (v versions) forgetDeleted() {
	for key, known := range v {
		if known.deleted {
			delete(v, key)
		}
	}
}
