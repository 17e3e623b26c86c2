package gossiper

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"lovagebank/wire"
)

// peer is an instance to exchange with. id is empty if no live member has the address.
type peer struct {
	id      string
	address string
	domain  string
}

// peers returns the other members that are not dead: those in this instance's failure domain if sameDomain is set, else
// those in other failure domains.
func (st *state) peers(sameDomain bool) []peer {
	var found []peer
	for _, ro := range st.table.rows {
		me := ro.record.member
		if me == nil || me.Id == st.self.Id || ro.record.tombstone() {
			continue
		}
		if (me.FailureDomain == st.self.FailureDomain) == sameDomain {
			found = append(found, peer{id: me.Id, address: me.PeerAddress, domain: me.FailureDomain})
		}
	}
	return found
}

// unknownPeers returns peer addresses that no live member has: instances on the platform's list that are not leaving,
// seeds, and the addresses of dead members.
func (st *state) unknownPeers(seeds []string) []peer {
	known := map[string]bool{st.self.PeerAddress: true}
	for _, ro := range st.table.rows {
		if me := ro.record.member; me != nil && !ro.record.tombstone() {
			known[me.PeerAddress] = true
		}
	}
	var found []peer
	for address, li := range st.listed {
		if !known[address] && !li.leaving {
			known[address] = true
			found = append(found, peer{address: address})
		}
	}
	for _, address := range seeds {
		if !known[address] {
			known[address] = true
			found = append(found, peer{address: address})
		}
	}
	for _, ro := range st.table.rows {
		if me := ro.record.member; me != nil && ro.record.tombstone() && !known[me.PeerAddress] {
			known[me.PeerAddress] = true
			found = append(found, peer{address: me.PeerAddress})
		}
	}
	return found
}

// pick returns up to count randomly chosen peers. It shuffles the given slice.
func pick(peers []peer, count int, shuffle func(count int, swap func(left, right int))) []peer {
	shuffle(len(peers), func(left, right int) { peers[left], peers[right] = peers[right], peers[left] })
	return peers[:min(count, len(peers))]
}

// pickDomains returns one random peer from each of up to count random failure domains.
func pickDomains(peers []peer, count int, shuffle func(count int, swap func(left, right int))) []peer {
	var found []peer
	for _, pe := range pick(peers, len(peers), shuffle) {
		sameDomain := func(picked peer) bool { return picked.domain == pe.domain }
		if len(found) < count && !slices.ContainsFunc(found, sameDomain) {
			found = append(found, pe)
		}
	}
	return found
}

// hasDuty reports whether an instance is among the count live members of its failure domain that have a duty, chosen by
// rendezvous hashing. While the member lists of instances differ, too many or too few instances may have the duty.
func hasDuty(self *wire.Member, members []*wire.Member, duty string, count int) bool {
	ownScore := xxhash.Sum64String(duty + "/" + self.Id)
	higher := 0
	for _, me := range members {
		if me.FailureDomain != self.FailureDomain || me.Id == self.Id || me.State != wire.MemberState_MEMBER_STATE_LIVE {
			continue
		}
		if score := xxhash.Sum64String(duty + "/" + me.Id); score > ownScore || score == ownScore && me.Id > self.Id {
			higher++
		}
	}
	return higher < count
}
