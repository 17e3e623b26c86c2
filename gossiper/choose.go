package gossiper

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"lovagebank/wire"
)

// peer is whom to call. id is empty for an address that no known member has.
type peer struct {
	id      string
	address string
	domain  string
}

// peers returns whom to exchange with: members that are not dead, in this failure domain or in the others.
func (st *state) peers(near bool) []peer {
	var found []peer
	for _, ro := range st.table.rows {
		me := ro.record.member
		if me == nil || me.Id == st.self.Id || ro.record.tombstone() {
			continue
		}
		if (me.FailureDomain == st.self.FailureDomain) == near {
			found = append(found, peer{id: me.Id, address: me.PeerAddress, domain: me.FailureDomain})
		}
	}
	return found
}

// strangers returns the addresses, on the platform's list or among the seeds, that no live member has.
func (st *state) strangers(seeds []string) []peer {
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

// pick returns up to count of the peers, at random.
func pick(peers []peer, count int, shuffle func(count int, swap func(left, right int))) []peer {
	shuffle(len(peers), func(left, right int) { peers[left], peers[right] = peers[right], peers[left] })
	return peers[:min(count, len(peers))]
}

// pickDomains returns a peer of each of up to count failure domains, at random.
func pickDomains(peers []peer, count int, shuffle func(count int, swap func(left, right int))) []peer {
	var found []peer
	for _, pe := range pick(peers, len(peers), shuffle) {
		other := func(picked peer) bool { return picked.domain == pe.domain }
		if len(found) < count && !slices.ContainsFunc(found, other) {
			found = append(found, pe)
		}
	}
	return found
}

// isOneOf tells whether an instance is among those that members of a failure domain pick for a duty. Instances whose
// views differ for a moment may pick too many or too few.
func isOneOf(self *wire.Member, members []*wire.Member, duty string, count int) bool {
	own := xxhash.Sum64String(duty + "/" + self.Id)
	before := 0
	for _, me := range members {
		if me.FailureDomain != self.FailureDomain || me.Id == self.Id || me.State != wire.MemberState_MEMBER_STATE_LIVE {
			continue
		}
		if score := xxhash.Sum64String(duty + "/" + me.Id); score > own || score == own && me.Id > self.Id {
			before++
		}
	}
	return before < count
}
