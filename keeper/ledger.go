package keeper

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"lovagebank/platform"
	"lovagebank/wire"
)

const (
	// instancePrefix begins the keys of instances; each goes with its instance's lease.
	instancePrefix = platform.OwnPrefix + "instances/"
	// holderPrefix begins the keys that name the holders of targets.
	holderPrefix = platform.OwnPrefix + "holders/"
	// absentBefore is how long an instance's entry must have been gone before its targets are taken over.
	absentBefore = time.Second
	// absentAfterOutage is the same around an outage of the store, after which instances need time to come back.
	absentAfterOutage = 4 * time.Second
	// turnOfNext is the time that each further instance waits, so that one claim is made at a time.
	turnOfNext = 1500 * time.Millisecond
	// settleStart is how long a new instance waits for others before it claims targets without a holder.
	settleStart = 1200 * time.Millisecond
	// forgetInstance is how long an instance that is gone still counts as one that may admit requests.
	forgetInstance = 15 * time.Second
	// forgetTarget is how long a target must be gone before its holder's entry is deleted.
	forgetTarget = 30 * time.Second
	// maxClaims bounds the targets claimed in one transaction.
	maxClaims = 10
)

// Instance is another instance of the fleet, or this one.
type Instance struct {
	// Name is its IP.
	Name string
	// Address is where it is called.
	Address string
	// FailureDomain is where it runs.
	FailureDomain string
	// Start names this start of its process.
	Start string
	// Present tells whether its entry is in the store.
	Present bool

	revision    int64
	absentSince time.Time
	hash        uint64
}

// holderRecord says who holds a target, since which revision.
type holderRecord struct {
	instance string
	revision int64
	// ordersFrom is the holder's own boot time from which it may give orders.
	ordersFrom time.Duration
	// era is the store's era in which the entry was written.
	era int64
}

// Candidate is a target that needs a holder.
type Candidate struct {
	ID            string
	FailureDomain string
}

// claim is a target to be taken over.
type claim struct {
	target string
	// record is what the store is known to hold; revision 0 for nothing.
	record holderRecord
	// wait is how long after the claim no orders may be given.
	wait time.Duration
	// from is the boot time at which that ends; 0 where there is no wait.
	from time.Duration
}

// situation is what claims depend on beside the store's word.
type situation struct {
	now  time.Time
	boot time.Duration
	// registeredAt is when this instance's entry was first written.
	registeredAt time.Time
	// troubled tells that the store has failed of late, so that leases may have ended early.
	troubled bool
	// era is the store's era, and steppedBack tells that it has begun of late.
	era         int64
	steppedBack bool
}

// ledger is what the store says of instances and holders. It decides which targets this instance should claim.
type ledger struct {
	self      string
	domain    string
	turn      time.Duration
	leaseTime time.Duration
	instances map[string]*Instance
	holders   map[string]holderRecord
	// unheldSince tells since when a target is known to have no holder.
	unheldSince map[string]time.Time
	goneSince   map[string]time.Time
}

func newLedger(self, domain string, turn, leaseTime time.Duration) *ledger {
	return &ledger{
		self:        self,
		domain:      domain,
		turn:        turn,
		leaseTime:   leaseTime,
		instances:   make(map[string]*Instance),
		holders:     make(map[string]holderRecord),
		unheldSince: make(map[string]time.Time),
		goneSince:   make(map[string]time.Time),
	}
}

// take takes in a change of the store; it returns an error for an entry that cannot be read.
func (le *ledger) take(it platform.Item, now time.Time) error {
	if name, ok := strings.CutPrefix(it.Key, instancePrefix); ok {
		return le.takeInstance(name, it, now)
	}
	target, ok := strings.CutPrefix(it.Key, holderPrefix)
	if !ok {
		return nil
	}
	if it.Deleted {
		delete(le.holders, target)
		return nil
	}
	var entry wire.TargetHolder
	if err := proto.Unmarshal(it.Value, &entry); err != nil {
		return err
	}
	le.holders[target] = holderRecord{
		instance:   entry.GetInstance(),
		revision:   it.Revision,
		ordersFrom: time.Duration(entry.GetOrdersFromMs()) * time.Millisecond,
		era:        entry.GetEra(),
	}
	delete(le.unheldSince, target)
	return nil
}

func (le *ledger) takeInstance(name string, it platform.Item, now time.Time) error {
	if it.Deleted {
		if in, ok := le.instances[name]; ok && in.Present {
			in.Present, in.absentSince, in.revision = false, now, 0
		}
		return nil
	}
	var entry wire.InstanceEntry
	if err := proto.Unmarshal(it.Value, &entry); err != nil {
		return err
	}
	le.instances[name] = &Instance{
		Name:          name,
		Address:       entry.GetAddress(),
		FailureDomain: entry.GetFailureDomain(),
		Start:         entry.GetStart(),
		Present:       true,
		revision:      it.Revision,
		hash:          xxhash.Sum64String(name),
	}
	return nil
}

// forget drops instances that have been gone for long, and returns them.
func (le *ledger) forget(now time.Time) []string {
	var gone []string
	for name, in := range le.instances {
		if !in.Present && now.Sub(in.absentSince) > forgetInstance {
			delete(le.instances, name)
			gone = append(gone, name)
		}
	}
	return gone
}

// order ranks the present instances as holders of a target: those of its failure domain first, then by hash.
func (le *ledger) order(ca Candidate) []*Instance {
	ranked := make([]*Instance, 0, len(le.instances))
	for _, in := range le.instances {
		if in.Present {
			ranked = append(ranked, in)
		}
	}
	target := xxhash.Sum64String(ca.ID)
	sort.Slice(ranked, func(i, j int) bool {
		near, other := ranked[i].FailureDomain == ca.FailureDomain, ranked[j].FailureDomain == ca.FailureDomain
		if near != other {
			return near
		}
		return mix(ranked[i].hash^target) < mix(ranked[j].hash^target)
	})
	return ranked
}

func mix(value uint64) uint64 {
	value *= 0x9e3779b97f4a7c15
	value ^= value >> 29
	return value * 0xbf58476d1ce4e5b9
}

// claims returns the targets that this instance should claim now.
func (le *ledger) claims(candidates []Candidate, held map[string]tenure, si situation) []claim {
	var claims []claim
	for _, ca := range candidates {
		if _, ok := held[ca.ID]; ok {
			continue
		}
		cl, ok := le.claim(ca, si)
		if ok {
			if cl.record.era < si.era && (si.steppedBack || cl.record.instance != "") {
				// The store may have forgotten who held it last.
				cl.wait = le.leaseTime + le.turn
			}
			if cl.wait > 0 {
				cl.from = si.boot + cl.wait
			}
			claims = append(claims, cl)
		}
		if len(claims) == maxClaims {
			break
		}
	}
	return claims
}

func (le *ledger) claim(ca Candidate, si situation) (claim, bool) {
	rc, held := le.holders[ca.ID]
	if held && rc.instance == le.self {
		return claim{target: ca.ID, record: rc, wait: le.remaining(rc, si.boot)}, true
	}
	since, free := le.freeSince(ca.ID, rc, held, si.now)
	if !free || !held && si.now.Sub(si.registeredAt) < settleStart {
		return claim{}, false
	}
	// A target without an entry has had no holder whose orders could still come; the store lets only one be the first.
	pause, wait := time.Duration(0), time.Duration(0)
	if held && si.troubled {
		pause, wait = absentAfterOutage, le.leaseTime
	} else if held {
		pause, wait = absentBefore, le.turn
	}
	if si.now.Sub(since) < pause+time.Duration(le.place(ca))*turnOfNext {
		return claim{}, false
	}
	return claim{target: ca.ID, record: rc, wait: wait}, true
}

// remaining is how long this instance, which the store names as holder already, has to wait with orders: an earlier
// process on this machine made the claim, or a call without an answer did. The boot time starts anew when the machine
// loses power; then the whole turn is waited.
func (le *ledger) remaining(rc holderRecord, boot time.Duration) time.Duration {
	left := rc.ordersFrom - boot
	switch {
	case left <= 0:
		return 0
	case left <= le.leaseTime+le.turn:
		return left
	default:
		return le.turn
	}
}

// freeSince tells since when a target has had no holder whose entry is in the store.
func (le *ledger) freeSince(target string, rc holderRecord, held bool, now time.Time) (time.Time, bool) {
	if held {
		in, known := le.instances[rc.instance]
		if known && in.Present {
			return time.Time{}, false
		}
		if known {
			return in.absentSince, true
		}
	}
	since, ok := le.unheldSince[target]
	if !ok {
		since = now
		le.unheldSince[target] = now
	}
	return since, true
}

// place is how many instances come before this one as holders of a target.
func (le *ledger) place(ca Candidate) int {
	for at, in := range le.order(ca) {
		if in.Name == le.self {
			return at
		}
	}
	return len(le.instances)
}

// departed returns targets that this instance holds and that have been gone for long.
func (le *ledger) departed(candidates []Candidate, now time.Time) []string {
	there := make(map[string]bool, len(candidates))
	for _, ca := range candidates {
		there[ca.ID] = true
		delete(le.goneSince, ca.ID)
	}
	var departed []string
	for target, rc := range le.holders {
		if there[target] || rc.instance != le.self {
			continue
		}
		since, ok := le.goneSince[target]
		if !ok {
			le.goneSince[target] = now
		} else if now.Sub(since) > forgetTarget && len(departed) < maxClaims {
			departed = append(departed, target)
		}
	}
	return departed
}
