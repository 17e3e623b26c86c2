package server

import (
	"strings"
	"time"
)

// leases names holders by rendezvous over the live members.
type leases struct {
	server *Server
}

// Holds tells whether this instance holds a resource, its fencing number, and until when.
func (le *leases) Holds(resource string) (uint64, time.Time, bool) {
	holder, ok := le.Holder(resource)
	return 1, time.Now().Add(time.Second), ok && holder == le.server.identity
}

// Holder names the instance that holds a resource.
func (le *leases) Holder(resource string) (string, bool) {
	var ids []string
	kind, rest, _ := strings.Cut(resource, "/")
	switch kind {
	case "target":
		tg := le.server.findTarget(rest)
		if tg == nil {
			return "", false
		}
		ids = le.server.targetCandidates(tg)
	case "floor":
		domain, _, _ := strings.Cut(rest, "/")
		ids = le.server.domainCandidates(resource, domain)
	default:
		ids = le.server.homeCandidates(resource)
	}
	if len(ids) == 0 {
		return "", false
	}
	return ids[0], true
}
