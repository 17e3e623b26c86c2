package gossiper

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/wire"
)

const (
	// suspicionTime is how long a silent member has to contradict before it counts as dead.
	suspicionTime = 2 * time.Second
	// tombstoneTime is how long what is gone is remembered; longer than any message is under way.
	tombstoneTime = 5 * time.Minute
	// syncStreak is how many exchanges in a row must find differing tables before parts of them are sent: rumors
	// under way settle most differences.
	syncStreak = 4
	// enoughSynced ends a message of a comparison of tables once it holds as many records.
	enoughSynced = 96
)

// state is all that an instance knows of members and targets. It decides, and calls nobody.
type state struct {
	self   *wire.Member
	table  *table
	rumors *rumors
	// listed are the instances on the platform's list, by peer address.
	listed map[string]listedInstance
	// differing counts the exchanges in a row that found another table.
	differing int
	// synced is false until the table once equalled a peer's.
	synced bool
	// urgent is set when others should know something at once.
	urgent bool
	// membersChanged and targetsChanged are set when what others may use changed.
	membersChanged bool
	targetsChanged bool
}

// listedInstance is an instance as the platform's list has it.
type listedInstance struct {
	failureDomain string
	leaving       bool
}

func newState(self *wire.Member, now time.Time) *state {
	st := &state{self: self, table: newTable(), rumors: newRumors(), listed: make(map[string]listedInstance)}
	st.say(wire.MemberState_MEMBER_STATE_LIVE, now)
	st.targetsChanged = true
	return st
}

// say changes this instance's word about itself.
func (st *state) say(ms wire.MemberState, now time.Time) {
	st.sayAbove(ms, st.self.Heartbeat, now)
}

// sayAbove is say with a heartbeat above the given one.
func (st *state) sayAbove(ms wire.MemberState, heartbeat uint64, now time.Time) {
	next := proto.CloneOf(st.self)
	next.State = ms
	next.Heartbeat = heartbeat + 1
	st.self = next
	st.put(record{member: next}, now)
}

// haveRevision notes the configuration in force here.
func (st *state) haveRevision(revision uint64) {
	if st.self.ConfigurationRevision == revision {
		return
	}
	next := proto.CloneOf(st.self)
	next.ConfigurationRevision = revision
	st.self = next
	st.table.rows["m/"+next.Id].record.member = next
	st.membersChanged = true
}

// put takes a record over and spreads it, if it is news.
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

// hear takes over a record from a peer. What peers say of this instance itself is contradicted if it is wrong.
func (st *state) hear(re record, now time.Time) {
	if re.member == nil || re.member.Id != st.self.Id {
		st.put(re, now)
		return
	}
	if re.newer(record{member: st.self}) {
		st.sayAbove(st.self.State, re.member.Heartbeat, now)
	}
}

// hearOwner takes over what a member says of itself in person.
func (st *state) hearOwner(me *wire.Member, now time.Time) {
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

// hearAll takes over all records of a message.
func (st *state) hearAll(members []*wire.Member, targets []*wire.Target, now time.Time) {
	for _, me := range members {
		if me.GetId() != "" {
			st.hear(record{member: me}, now)
		}
	}
	for _, ta := range targets {
		if ta.GetId() != "" {
			st.hear(record{target: ta}, now)
		}
	}
}

// suspect notes that a member did not answer.
func (st *state) suspect(id string, now time.Time) {
	me := st.table.member(id)
	if me == nil || id == st.self.Id || severity[me.State] >= severity[wire.MemberState_MEMBER_STATE_SUSPECT] {
		return
	}
	next := proto.CloneOf(me)
	next.State = wire.MemberState_MEMBER_STATE_SUSPECT
	st.put(record{member: next}, now)
}

// replaced marks the members dead that another member follows at their address.
func (st *state) replaced(address, id string, now time.Time) {
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

// tick ends suspicions and forgets tombstones.
func (st *state) tick(now time.Time) {
	for key, ro := range st.table.rows {
		me := ro.record.member
		switch {
		case me != nil && me.State == wire.MemberState_MEMBER_STATE_SUSPECT && now.Sub(ro.since) >= suspicionTime:
			next := proto.CloneOf(me)
			next.State = wire.MemberState_MEMBER_STATE_DEAD
			st.put(record{member: next}, now)
		case ro.record.tombstone() && now.Sub(ro.since) >= tombstoneTime:
			st.table.remove(key)
		}
	}
}

// members returns all members that are not dead or suspect, sorted by id. One that the platform's list calls leaving is
// shown so.
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

// targets returns all targets that are not gone, sorted by id.
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
