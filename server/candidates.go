package server

import (
	"lovagebank/leaser"
	"lovagebank/wire"
)

// domainCandidates returns the live members of a failure domain that may hold a resource, most preferred first.
func (sv *Server) domainCandidates(resource, domain string) []string {
	var ids []string
	for _, me := range sv.gossiper.Members() {
		if me.GetState() == wire.MemberState_MEMBER_STATE_LIVE && me.GetFailureDomain() == domain {
			ids = append(ids, me.GetId())
		}
	}
	return leaser.Rendezvous(resource, ids)
}

// targetCandidates returns the instances that may hold a target: the live members of its failure domain.
func (sv *Server) targetCandidates(tg *wire.Target) []string {
	return sv.domainCandidates(leaser.TargetName(tg.GetId()), tg.GetFailureDomain())
}

// homeCandidates returns the instances that may hold a deployment-wide resource. The first candidate of each failure
// domain precedes all others, so that successors are in other domains than the holder.
func (sv *Server) homeCandidates(resource string) []string {
	var first, others []string
	domains := make(map[string]bool)
	for _, id := range leaser.Rendezvous(resource, sv.liveMembers()) {
		domain := sv.findMember(id).GetFailureDomain()
		if domains[domain] {
			others = append(others, id)
			continue
		}
		domains[domain] = true
		first = append(first, id)
	}
	return append(first, others...)
}
