package gossiper

import (
	"slices"
	"time"

	"lovagebank/wire"
)

const (
	// maxQuarantines and maxHints bound the quarantines and holder hints in one message.
	maxQuarantines = 4
	maxHints       = 4
)

// piggyback holds data of other packages that exchange messages carry besides membership.
type piggyback struct {
	quarantines []*wire.Quarantine
	hints       []*wire.HolderHint
}

// request returns the first request of an exchange.
func (st *state) request(pb piggyback) *wire.ExchangeRequest {
	members, targets := st.nextRecords()
	return &wire.ExchangeRequest{
		Sender: st.self, Members: members, Targets: targets, Quarantines: pb.quarantines, Holders: pb.hints,
		Digest: st.table.digest(),
	}
}

// nextRecords returns the records that the next message spreads as rumors.
func (st *state) nextRecords() ([]*wire.Member, []*wire.Target) {
	var found []record
	for _, key := range st.rumors.take(st.memberCount()) {
		if ro := st.table.rows[key]; ro != nil {
			found = append(found, ro.record)
		}
	}
	return splitRecords(found)
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

func splitRecords(records []record) (members []*wire.Member, targets []*wire.Target) {
	for _, re := range records {
		if re.member != nil {
			members = append(members, re.member)
		} else {
			targets = append(targets, re.target)
		}
	}
	return members, targets
}

// serve merges a peer's request and returns the response. If the digests differ, the response holds the hashes of the
// buckets; if the request holds bucket hashes too, the response also holds records of the buckets that differ.
func (st *state) serve(rq *wire.ExchangeRequest, pb piggyback, now time.Time) *wire.ExchangeResponse {
	st.mergeFirstHand(rq.Sender, now)
	st.mergeAll(rq.Members, rq.Targets, now)
	rs := &wire.ExchangeResponse{Receiver: st.self, Quarantines: pb.quarantines, Holders: pb.hints}
	rs.Members, rs.Targets = st.nextRecords()
	st.addSenderRecord(rq.Sender, rs)
	rs.Digest = st.table.digest()
	if rs.Digest == rq.Digest {
		return rs
	}
	rs.Buckets = slices.Clone(st.table.buckets[:])
	if len(rq.Buckets) > 0 {
		members, targets := splitRecords(st.table.differingRecords(rq.Buckets, syncRecordThreshold))
		rs.Members = append(rs.Members, members...)
		rs.Targets = append(rs.Targets, targets...)
	}
	return rs
}

// addSenderRecord adds this instance's record of the sender to the response, if the state in that record is more severe
// than the state that the sender reports, so that the sender can refute it.
func (st *state) addSenderRecord(sender *wire.Member, rs *wire.ExchangeResponse) {
	existing := st.table.member(sender.GetId())
	if existing != nil && severity[existing.State] > severity[sender.State] {
		rs.Members = append(rs.Members, existing)
	}
}

// handleResponse merges the response of the peer at an address. It returns the next request of the table comparison, or
// nil if none is needed.
func (st *state) handleResponse(address string, rs *wire.ExchangeResponse, now time.Time) *wire.ExchangeRequest {
	st.mergeFirstHand(rs.Receiver, now)
	if rs.Receiver.GetId() != "" {
		st.markReplaced(address, rs.Receiver.Id, now)
	}
	st.mergeAll(rs.Members, rs.Targets, now)
	if len(rs.Buckets) == 0 || rs.Digest == st.table.digest() {
		st.differing, st.synced = 0, true
		return nil
	}
	st.differing++
	if st.synced && st.differing < syncStreak {
		return nil
	}
	rq := &wire.ExchangeRequest{Sender: st.self, Digest: st.table.digest(), Buckets: slices.Clone(st.table.buckets[:])}
	rq.Members, rq.Targets = splitRecords(st.table.differingRecords(rs.Buckets, syncRecordThreshold))
	return rq
}
