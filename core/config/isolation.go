package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/zeebo/blake3"

	"tanagerspread/core/request"
)

// setDigestBytes is the length of the digest of a set of organisations in a scope.
const setDigestBytes = 8

// Isolation describes which organisations share no cached parts with others and since
// which version of the configuration. The zero value means that none is isolated and
// none ever was.
type Isolation struct {
	// Changed is the version that last changed the set of isolated organisations.
	Changed Version
	// Since has the isolated organisations, each with the version that isolated it.
	Since map[request.Organisation]Version
}

// Next returns the isolation after a version of the configuration that isolates the
// given organisations. It returns the receiver when the set is the same.
func (i Isolation) Next(isolated []request.Organisation, version Version) Isolation {
	if i.Isolates(isolated) {
		return i
	}
	next := Isolation{Changed: version, Since: map[request.Organisation]Version{}}
	for _, organisation := range isolated {
		next.Since[organisation] = version
		if since, isolatedBefore := i.Since[organisation]; isolatedBefore {
			next.Since[organisation] = since
		}
	}
	return next
}

// Isolates reports whether exactly the given organisations are isolated. No organisation
// is listed twice.
func (i Isolation) Isolates(organisations []request.Organisation) bool {
	if len(organisations) != len(i.Since) {
		return false
	}
	for _, organisation := range organisations {
		if _, isolated := i.Since[organisation]; !isolated {
			return false
		}
	}
	return true
}

// SharedScope returns the text that separates the cached parts that all other
// organisations share from those of any other set of isolated organisations and of any
// earlier period. It is empty when none was ever isolated. Each shared scope has exactly
// one slash, at its start, and a dash.
func (i Isolation) SharedScope() string {
	if i.Changed == 0 {
		return ""
	}
	names := make([]string, 0, len(i.Since))
	for organisation := range i.Since {
		names = append(names, strconv.Quote(string(organisation)))
	}
	slices.Sort(names)
	hasher := blake3.New()
	for _, name := range names {
		_, _ = hasher.WriteString(name)
	}
	return "/" + formatVersion(i.Changed) + "-" + fmt.Sprintf("%x", hasher.Sum(nil)[:setDigestBytes])
}

// Scope returns the text that separates the cached parts of an isolated organisation from
// all others. Only a version follows its last slash, unlike that of a shared scope. For an
// organisation that is no longer isolated, the version is that of the last change, so that
// its waiting calls use the scope of no earlier period.
func (i Isolation) Scope(organisation request.Organisation) string {
	since, isolated := i.Since[organisation]
	if !isolated {
		since = i.Changed
	}
	return string(organisation) + "/" + formatVersion(since)
}

// ScopeVersion returns the version of the configuration in a scope, or 0 when it has none.
func ScopeVersion(scope string) Version {
	digits, _, _ := strings.Cut(scope[strings.LastIndexByte(scope, '/')+1:], "-")
	version, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0
	}
	return Version(version)
}

func formatVersion(version Version) string {
	return strconv.FormatUint(uint64(version), 10)
}
