package gossiper

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"lovagebank/wire"
)

// bucketCount is the number of parts in which tables are compared.
const bucketCount = 128

// record is what the table holds under one key: a member or a target. Records are never changed, only replaced.
type record struct {
	member *wire.Member
	target *wire.Target
}

// key is unique among members and targets.
func (re record) key() string {
	if re.member != nil {
		return "m/" + re.member.Id
	}
	return "t/" + re.target.Id
}

// tombstone tells whether the record stands for something that is gone. It is kept for a while, so that a late message
// does not bring it back, but does not count in digests: instances forget it at different times.
func (re record) tombstone() bool {
	if re.member != nil {
		return re.member.State == wire.MemberState_MEMBER_STATE_DEAD
	}
	return re.target.Gone
}

// hash is of all that other instances have to agree on. The configuration's revision is told by its owner alone.
func (re record) hash() uint64 {
	var message proto.Message = re.target
	if re.member != nil {
		shared := proto.CloneOf(re.member)
		shared.ConfigurationRevision = 0
		message = shared
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(encoded)
}

var severity = map[wire.MemberState]int{
	wire.MemberState_MEMBER_STATE_LIVE:    1,
	wire.MemberState_MEMBER_STATE_LEAVING: 2,
	wire.MemberState_MEMBER_STATE_SUSPECT: 3,
	wire.MemberState_MEMBER_STATE_DEAD:    4,
}

// newer tells whether a record replaces another one of the same key. Every instance decides alike.
func (re record) newer(old record) bool {
	if re.member != nil {
		if re.member.Heartbeat != old.member.Heartbeat {
			return re.member.Heartbeat > old.member.Heartbeat
		}
		return severity[re.member.State] > severity[old.member.State]
	}
	if re.target.Version != old.target.Version {
		return re.target.Version > old.target.Version
	}
	return re.hash() > old.hash()
}

// row is a record with what this instance alone knows of it.
type row struct {
	record record
	hash   uint64
	// since is when the record last changed here.
	since time.Time
	// unlisted counts this instance's readings of the platform's list in a row that lacked the target.
	unlisted int
}

// table holds all members and targets.
type table struct {
	rows    map[string]*row
	buckets [bucketCount]uint32
}

func newTable() *table { return &table{rows: make(map[string]*row)} }

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// put takes a record over if it is newer than what the table holds.
func (ta *table) put(re record, now time.Time) bool {
	key := re.key()
	old, known := ta.rows[key]
	if known && !re.newer(old.record) {
		return false
	}
	ta.remove(key)
	ta.rows[key] = &row{record: re, hash: re.hash(), since: now}
	ta.toggle(key)
	return true
}

func (ta *table) remove(key string) {
	ta.toggle(key)
	delete(ta.rows, key)
}

// toggle adds a row to its bucket's digest, or takes it out.
func (ta *table) toggle(key string) {
	ro, known := ta.rows[key]
	if known && !ro.record.tombstone() {
		ta.buckets[bucketOf(key)] ^= uint32(ro.hash)
	}
}

// digest is the same for equal tables.
func (ta *table) digest() uint64 {
	var encoded [4 * bucketCount]byte
	for at, bucket := range ta.buckets {
		binary.LittleEndian.PutUint32(encoded[4*at:], bucket)
	}
	return xxhash.Sum64(encoded[:])
}

// differing returns records of the parts in which another table differs: whole parts, until there are at least the given
// number of records. Tombstones are among them, since the other table may still hold what is gone.
func (ta *table) differing(buckets []uint32, enough int) []record {
	if len(buckets) != bucketCount {
		return nil
	}
	var parts [bucketCount][]record
	for key, ro := range ta.rows {
		bucket := bucketOf(key)
		if ta.buckets[bucket] != buckets[bucket] {
			parts[bucket] = append(parts[bucket], ro.record)
		}
	}
	var found []record
	for _, part := range parts {
		if len(found) >= enough {
			break
		}
		found = append(found, part...)
	}
	return found
}

func (ta *table) member(id string) *wire.Member {
	if ro := ta.rows["m/"+id]; ro != nil {
		return ro.record.member
	}
	return nil
}

func (ta *table) target(id string) *row { return ta.rows["t/"+id] }
