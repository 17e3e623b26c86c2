package gossiper

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/wire"
)

const (
	// suspicionTime is how long a suspect member has to refute the suspicion before it counts as dead.
	suspicionTime = 2 * time.Second
	// tombstoneTime is how long the record of a dead member or removed target is kept; it exceeds the time for which any
	// message can be in transit.
	tombstoneTime = 5 * time.Minute
	// syncStreak is how many exchanges in a row must find differing tables before parts of them are sent: pending rumors
	// resolve most differences.
	syncStreak = 4
	// syncRecordThreshold is the number of records at which a message of a table comparison takes no further bucket.
	syncRecordThreshold = 96
)

// state holds the members and targets that an instance has, and the rules of the protocol. It performs no I/O.
type state struct {
	self   *wire.Member
	table  *table
	rumors *rumors
	// listed holds the instances on the platform's list, by peer address.
	listed map[string]listedInstance
	// differing counts consecutive exchanges in which the tables differed.
	differing int
	// synced is set once this table and a peer's were equal.
	synced bool
	// urgent is set when a change should reach peers without waiting for the next periodic exchange.
	urgent bool
	// membersChanged and targetsChanged are set when the published members or targets are out of date.
	membersChanged bool
	targetsChanged bool
}

// listedInstance is the entry of an instance on the platform's list.
type listedInstance struct {
	failureDomain string
	leaving       bool
}

func newState(self *wire.Member, now time.Time) *state {
	st := &state{self: self, table: newTable(), rumors: newRumors(), listed: make(map[string]listedInstance)}
	st.setOwnState(wire.MemberState_MEMBER_STATE_LIVE, now)
	st.targetsChanged = true
	return st
}

// setOwnState sets the state that this instance publishes about itself, with the next heartbeat.
func (st *state) setOwnState(ms wire.MemberState, now time.Time) {
	st.setOwnStateAbove(ms, st.self.Heartbeat, now)
}

// setOwnStateAbove is setOwnState with a heartbeat above the given one.
func (st *state) setOwnStateAbove(ms wire.MemberState, heartbeat uint64, now time.Time) {
	next := proto.CloneOf(st.self)
	next.State = ms
	next.Heartbeat = heartbeat + 1
	st.self = next
	st.put(record{member: next}, now)
}

// setRevision sets the revision of the configuration in force at this instance.
func (st *state) setRevision(revision uint64) {
	if st.self.ConfigurationRevision == revision {
		return
	}
	next := proto.CloneOf(st.self)
	next.ConfigurationRevision = revision
	st.self = next
	st.table.rows["m/"+next.Id].record.member = next
	st.membersChanged = true
}

// put stores a record and starts to spread it, if it is newer than the stored one.
func (st *state) put(re record, now time.Time) {
	old := st.table.rows[re.key()]
	if !st.table.put(re, now) {
		return
	}
	st.rumors.add(re.key())
	if re.member != nil {
		st.membersChanged = true
		st.urgent = st.urgent || re.member.State != wire.MemberState_MEMBER_STATE_LIVE || old != nil
		return
	}
	st.targetsChanged = true
	st.urgent = st.urgent || re.target.Leaving && (old == nil || !old.record.target.Leaving)
}

// merge applies a record from a peer. If the record is a newer one of this instance itself, the instance refutes it by
// publishing its own state with a higher heartbeat.
func (st *state) merge(re record, now time.Time) {
	if re.member == nil || re.member.Id != st.self.Id {
		st.put(re, now)
		return
	}
	if re.newer(record{member: st.self}) {
		st.setOwnStateAbove(st.self.State, re.member.Heartbeat, now)
	}
}

// mergeFirstHand applies the record that a member sends about itself. Only such a record updates the revision of the
// member's configuration without a new heartbeat.
func (st *state) mergeFirstHand(me *wire.Member, now time.Time) {
	if me == nil || me.Id == "" || me.Id == st.self.Id {
		return
	}
	st.put(record{member: me}, now)
	ro := st.table.rows["m/"+me.Id]
	known := ro.record.member
	if known.ConfigurationRevision < me.ConfigurationRevision {
		next := proto.CloneOf(known)
		next.ConfigurationRevision = me.ConfigurationRevision
		ro.record.member = next
		st.membersChanged = true
	}
}

// mergeAll applies all records of a message that have an id.
func (st *state) mergeAll(members []*wire.Member, targets []*wire.Target, now time.Time) {
	for _, me := range members {
		if me.GetId() != "" {
			st.merge(record{member: me}, now)
		}
	}
	for _, ta := range targets {
		if ta.GetId() != "" {
			st.merge(record{target: ta}, now)
		}
	}
}

// suspect marks a member that did not answer as suspect.
func (st *state) suspect(id string, now time.Time) {
	me := st.table.member(id)
	if me == nil || id == st.self.Id || severity[me.State] >= severity[wire.MemberState_MEMBER_STATE_SUSPECT] {
		return
	}
	next := proto.CloneOf(me)
	next.State = wire.MemberState_MEMBER_STATE_SUSPECT
	st.put(record{member: next}, now)
}

// markReplaced marks the members dead whose address now belongs to the member with the given id.
func (st *state) markReplaced(address, id string, now time.Time) {
	for _, ro := range st.table.rows {
		me := ro.record.member
		if me == nil || me.PeerAddress != address || me.Id == id || ro.record.tombstone() || me.Id == st.self.Id {
			continue
		}
		next := proto.CloneOf(me)
		next.State = wire.MemberState_MEMBER_STATE_DEAD
		st.put(record{member: next}, now)
	}
}

// expire marks members dead that were suspect for suspicionTime, and drops tombstones older than tombstoneTime.
func (st *state) expire(now time.Time) {
	for key, ro := range st.table.rows {
		me := ro.record.member
		switch {
		case me != nil && me.State == wire.MemberState_MEMBER_STATE_SUSPECT && now.Sub(ro.changedAt) >= suspicionTime:
			next := proto.CloneOf(me)
			next.State = wire.MemberState_MEMBER_STATE_DEAD
			st.put(record{member: next}, now)
		case ro.record.tombstone() && now.Sub(ro.changedAt) >= tombstoneTime:
			st.table.remove(key)
		}
	}
}

// members returns all members that are neither dead nor suspect, sorted by id. A live member that the platform's list
// marks as leaving is returned as leaving.
func (st *state) members() []*wire.Member {
	var found []*wire.Member
	for _, ro := range st.table.rows {
		me := ro.record.member
		if me == nil || severity[me.State] >= severity[wire.MemberState_MEMBER_STATE_SUSPECT] {
			continue
		}
		if st.listed[me.PeerAddress].leaving && me.State == wire.MemberState_MEMBER_STATE_LIVE {
			me = proto.CloneOf(me)
			me.State = wire.MemberState_MEMBER_STATE_LEAVING
		}
		found = append(found, me)
	}
	slices.SortFunc(found, func(left, right *wire.Member) int { return strings.Compare(left.Id, right.Id) })
	return found
}

// targets returns all targets that are not removed, sorted by id.
func (st *state) targets() []*wire.Target {
	var found []*wire.Target
	for _, ro := range st.table.rows {
		if ta := ro.record.target; ta != nil && !ta.Gone {
			found = append(found, ta)
		}
	}
	slices.SortFunc(found, func(left, right *wire.Target) int { return strings.Compare(left.Id, right.Id) })
	return found
}
