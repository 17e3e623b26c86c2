package gossiper

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"lovagebank/wire"
)

// bucketCount is the number of buckets of keys by which tables are compared.
const bucketCount = 128

// record is the value of one key in the table: a member or a target. The message it points to is immutable; a change
// replaces it.
type record struct {
	member *wire.Member
	target *wire.Target
}

// key returns the key of the record, which is unique among members and targets.
func (re record) key() string {
	if re.member != nil {
		return "m/" + re.member.Id
	}
	return "t/" + re.target.Id
}

// tombstone reports whether the record is of a dead member or a removed target. Tombstones are kept for a while, so that
// a late message does not restore the member or target. Digests leave them out, as instances drop them at different
// times.
func (re record) tombstone() bool {
	if re.member != nil {
		return re.member.State == wire.MemberState_MEMBER_STATE_DEAD
	}
	return re.target.Gone
}

// hash returns the hash of the fields that all instances have to agree on. It leaves out the configuration's revision,
// which only the member itself sends.
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

// severity orders the states: of two records with the same heartbeat, the one with the more severe state is newer.
var severity = map[wire.MemberState]int{
	wire.MemberState_MEMBER_STATE_LIVE:    1,
	wire.MemberState_MEMBER_STATE_LEAVING: 2,
	wire.MemberState_MEMBER_STATE_SUSPECT: 3,
	wire.MemberState_MEMBER_STATE_DEAD:    4,
}

// newer reports whether the record replaces an old one of the same key. The result is the same at every instance.
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

// row is a record and the data about it that is local to this instance.
type row struct {
	record record
	hash   uint64
	// changedAt is when the record last changed in this table.
	changedAt time.Time
	// missedReadings counts the consecutive reads of the platform's list by this instance that lacked the target.
	missedReadings int
}

// table holds all members and targets by key, and a hash for each bucket of keys.
type table struct {
	rows    map[string]*row
	buckets [bucketCount]uint32
}

func newTable() *table { return &table{rows: make(map[string]*row)} }

func bucketOf(key string) int { return int(xxhash.Sum64String(key) % bucketCount) }

// put stores a record if it is newer than the stored one, and reports whether it did.
func (ta *table) put(re record, now time.Time) bool {
	key := re.key()
	old, known := ta.rows[key]
	if known && !re.newer(old.record) {
		return false
	}
	ta.remove(key)
	ta.rows[key] = &row{record: re, hash: re.hash(), changedAt: now}
	ta.toggleDigest(key)
	return true
}

func (ta *table) remove(key string) {
	ta.toggleDigest(key)
	delete(ta.rows, key)
}

// toggleDigest adds the row of a key to the hash of its bucket, or removes it: XOR does both. Tombstones are left out.
func (ta *table) toggleDigest(key string) {
	ro, known := ta.rows[key]
	if known && !ro.record.tombstone() {
		ta.buckets[bucketOf(key)] ^= uint32(ro.hash)
	}
}

// digest returns a hash of the whole table, which is equal for equal tables.
func (ta *table) digest() uint64 {
	var encoded [4 * bucketCount]byte
	for index, bucket := range ta.buckets {
		binary.LittleEndian.PutUint32(encoded[4*index:], bucket)
	}
	return xxhash.Sum64(encoded[:])
}

// differingRecords returns the records of buckets whose hashes differ from those of another table: whole buckets, until
// there are at least threshold records. Tombstones are included, since the other table may still hold the member or
// target as present.
func (ta *table) differingRecords(buckets []uint32, threshold int) []record {
	if len(buckets) != bucketCount {
		return nil
	}
	var byBucket [bucketCount][]record
	for key, ro := range ta.rows {
		bucket := bucketOf(key)
		if ta.buckets[bucket] != buckets[bucket] {
			byBucket[bucket] = append(byBucket[bucket], ro.record)
		}
	}
	var found []record
	for _, records := range byBucket {
		if len(found) >= threshold {
			break
		}
		found = append(found, records...)
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
