package resumer

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxDepth is the number of leading segments of a path that a place distinguishes.
const maxDepth = 64

// Place is the host and the path at which callers ask for a stream. Unlike the route that serves it, it stays the same
// whatever routes the operators add, replace or remove.
type Place struct {
	host, path string
}

// NewPlace returns the place of a host and a path; the host in the canonical form of package router. The prefix of a route
// is a place too.
func NewPlace(host, path string) Place { return Place{host: host, path: path} }

// String returns host and path, for logs.
func (pl Place) String() string { return pl.host + pl.path }

// keys returns the keys of the prefixes that cover the place, longest first. A prefix ends with a slash, and its key is a
// hash of host and prefix, as 16 hexadecimal digits.
func (pl Place) keys() []string {
	var keys []string
	di := xxhash.New()
	_, _ = di.WriteString(pl.host + "\x00")
	from := 0
	for at := range len(pl.path) {
		if pl.path[at] != '/' {
			continue
		}
		_, _ = di.WriteString(pl.path[from : at+1])
		from = at + 1
		keys = append(keys, fmt.Sprintf("%016x", di.Sum64()))
		if len(keys) == maxDepth {
			break
		}
	}
	slices.Reverse(keys)
	return keys
}

// key returns the key of the longest prefix that covers the place; empty if there is none.
func (pl Place) key() string {
	keys := pl.keys()
	if len(keys) == 0 {
		return ""
	}
	return keys[0]
}
