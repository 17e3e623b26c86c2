package server

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lovagebank/leaser"
	"lovagebank/wire"
)

// ranked is a member with its rendezvous weight for one resource.
type ranked struct {
	id     string
	domain string
	weight uint64
}

// rank orders the live members that fit by their rendezvous weight for a resource, highest first.
func (sv *Server) rank(resource string, fits func(me *wire.Member) bool) []ranked {
	var found []ranked
	for _, me := range sv.gossiper.Members() {
		if me.GetState() != wire.MemberState_MEMBER_STATE_LIVE || !fits(me) {
			continue
		}
		found = append(found, ranked{me.GetId(), me.GetFailureDomain(), xxhash.Sum64String(me.GetId() + "\x00" + resource)})
	}
	slices.SortFunc(found, func(first, second ranked) int { return cmp.Compare(second.weight, first.weight) })
	return found
}

// domainCandidates returns the members of a failure domain that may hold a resource, the preferred one first.
func (sv *Server) domainCandidates(resource, domain string) []string {
	members := sv.rank(resource, func(me *wire.Member) bool { return me.GetFailureDomain() == domain })
	ids := make([]string, 0, len(members))
	for _, ra := range members {
		ids = append(ids, ra.id)
	}
	return ids
}

// targetCandidates returns the instances that may hold a target: those of its failure domain.
func (sv *Server) targetCandidates(tg *wire.Target) []string {
	return sv.domainCandidates(leaser.TargetName(tg.GetId()), tg.GetFailureDomain())
}

// homeCandidates returns the instances that may hold a resource of the whole deployment. The first of each failure
// domain come before the others, so that successors lie in other domains than the holder.
func (sv *Server) homeCandidates(resource string) []string {
	var first, others []string
	domains := make(map[string]bool)
	for _, ra := range sv.rank(resource, func(*wire.Member) bool { return true }) {
		if domains[ra.domain] {
			others = append(others, ra.id)
			continue
		}
		domains[ra.domain] = true
		first = append(first, ra.id)
	}
	return append(first, others...)
}
