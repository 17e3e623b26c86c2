package gossiper

import (
	"slices"
	"time"

	"lovagebank/wire"
)

const (
	mostQuarantines = 4
	mostHints       = 4
)

// extras are what other parts spread along with membership.
type extras struct {
	quarantines []*wire.Quarantine
	hints       []*wire.HolderHint
}

// request opens an exchange.
func (st *state) request(ex extras) *wire.ExchangeRequest {
	members, targets := st.news()
	return &wire.ExchangeRequest{
		Sender: st.self, Members: members, Targets: targets, Quarantines: ex.quarantines, Holders: ex.hints,
		Digest: st.table.digest(),
	}
}

// news returns the records to spread next.
func (st *state) news() ([]*wire.Member, []*wire.Target) {
	var found []record
	for _, key := range st.rumors.take(st.memberCount()) {
		if ro := st.table.rows[key]; ro != nil {
			found = append(found, ro.record)
		}
	}
	return split(found)
}

func (st *state) memberCount() int {
	count := 0
	for _, ro := range st.table.rows {
		if ro.record.member != nil {
			count++
		}
	}
	return count
}

func split(records []record) (members []*wire.Member, targets []*wire.Target) {
	for _, re := range records {
		if re.member != nil {
			members = append(members, re.member)
		} else {
			targets = append(targets, re.target)
		}
	}
	return members, targets
}

// serve answers a peer's exchange.
func (st *state) serve(rq *wire.ExchangeRequest, ex extras, now time.Time) *wire.ExchangeResponse {
	st.hearOwner(rq.Sender, now)
	st.hearAll(rq.Members, rq.Targets, now)
	rs := &wire.ExchangeResponse{Receiver: st.self, Quarantines: ex.quarantines, Holders: ex.hints}
	rs.Members, rs.Targets = st.news()
	st.contradict(rq.Sender, rs)
	rs.Digest = st.table.digest()
	if rs.Digest == rq.Digest {
		return rs
	}
	rs.Buckets = slices.Clone(st.table.buckets[:])
	if len(rq.Buckets) > 0 {
		members, targets := split(st.table.differing(rq.Buckets, enoughSynced))
		rs.Members = append(rs.Members, members...)
		rs.Targets = append(rs.Targets, targets...)
	}
	return rs
}

// contradict tells a sender what is believed of it, if that is worse than its own word.
func (st *state) contradict(sender *wire.Member, rs *wire.ExchangeResponse) {
	known := st.table.member(sender.GetId())
	if known != nil && severity[known.State] > severity[sender.State] {
		rs.Members = append(rs.Members, known)
	}
}

// answered takes over the answer of the peer at an address. It returns the request that compares the tables further, or
// nil when that is not needed.
func (st *state) answered(address string, rs *wire.ExchangeResponse, now time.Time) *wire.ExchangeRequest {
	st.hearOwner(rs.Receiver, now)
	if rs.Receiver.GetId() != "" {
		st.replaced(address, rs.Receiver.Id, now)
	}
	st.hearAll(rs.Members, rs.Targets, now)
	if len(rs.Buckets) == 0 || rs.Digest == st.table.digest() {
		st.differing, st.synced = 0, true
		return nil
	}
	st.differing++
	if st.synced && st.differing < syncStreak {
		return nil
	}
	rq := &wire.ExchangeRequest{Sender: st.self, Digest: st.table.digest(), Buckets: slices.Clone(st.table.buckets[:])}
	rq.Members, rq.Targets = split(st.table.differing(rs.Buckets, enoughSynced))
	return rq
}
