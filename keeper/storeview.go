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
	// instancePrefix begins the keys of instance entries; each is bound to its instance's lease.
	instancePrefix = platform.InstancePrefix + "instances/"
	// holderPrefix begins the keys of entries that name the holders of targets.
	holderPrefix = platform.InstancePrefix + "holders/"
	// absenceBeforeClaim is how long an instance's entry must have been absent before its targets are taken over.
	absenceBeforeClaim = time.Second
	// absenceAfterOutage replaces absenceBeforeClaim around an outage of the store, after which instances need time to register
	// again.
	absenceAfterOutage = 4 * time.Second
	// claimStagger is how much longer each instance waits than the one ranked before it, so that one claim is made at a time.
	claimStagger = 1500 * time.Millisecond
	// startupDelay is how long a new instance waits for others to register before it claims targets without a holder.
	startupDelay = 1200 * time.Millisecond
	// instanceRetention is how long a departed instance still counts as one that may admit requests.
	instanceRetention = 15 * time.Second
	// holderRetention is how long a target must be absent before its holder entry is deleted.
	holderRetention = 30 * time.Second
	// maxClaims is the maximum number of targets claimed, or holder entries deleted, in one transaction.
	maxClaims = 10
)

// Instance is an instance of the fleet, possibly this one, as its entry in the store describes it.
type Instance struct {
	// Name is the instance's IP address.
	Name string
	// Address is the address at which peers call the instance.
	Address string
	// FailureDomain is the failure domain in which the instance runs.
	FailureDomain string
	// Start identifies this start of the instance's process.
	Start string
	// Present reports whether the instance's entry exists in the store.
	Present bool

	revision    int64
	absentSince time.Time
	hash        uint64
}

// holderRecord is the holder entry of a target and its revision.
type holderRecord struct {
	instance string
	revision int64
	// ordersFrom is the boot time of the holder's machine from which it may send orders.
	ordersFrom time.Duration
	// era is the store's era in which the entry was written.
	era int64
}

// Candidate is a target that needs a holder.
type Candidate struct {
	ID            string
	FailureDomain string
}

// claim is a target that this instance is to take over.
type claim struct {
	target string
	// record is the last known holder entry; revision 0 if there is none.
	record holderRecord
	// wait is how long after the claim no orders may be sent.
	wait time.Duration
	// from is the boot time at which the wait ends; 0 if there is none.
	from time.Duration
}

// claimConditions holds the inputs of a claim decision that do not come from the store.
type claimConditions struct {
	now  time.Time
	boot time.Duration
	// registeredAt is when this instance's entry was first written.
	registeredAt time.Time
	// storeFailed is true if the store has failed recently, so that leases may have ended early.
	storeFailed bool
	// era is the store's era, and rolledBack is true if it began recently with a store rollback.
	era        int64
	rolledBack bool
}

// storeView is the known state of instances and holders in the store. It decides which targets this instance should claim.
type storeView struct {
	self          string
	domain        string
	handoverDelay time.Duration
	leaseTime     time.Duration
	instances     map[string]*Instance
	holders       map[string]holderRecord
	// unheldSince is when a target was first seen without a holder.
	unheldSince map[string]time.Time
	// targetAbsentSince is when a held target was first seen missing from the candidates.
	targetAbsentSince map[string]time.Time
}

func newStoreView(self, domain string, handoverDelay, leaseTime time.Duration) *storeView {
	return &storeView{
		self:              self,
		domain:            domain,
		handoverDelay:     handoverDelay,
		leaseTime:         leaseTime,
		instances:         make(map[string]*Instance),
		holders:           make(map[string]holderRecord),
		unheldSince:       make(map[string]time.Time),
		targetAbsentSince: make(map[string]time.Time),
	}
}

// apply applies a change of a key in the store; it returns an error for an entry that cannot be decoded.
func (sv *storeView) apply(it platform.Item, now time.Time) error {
	if name, ok := strings.CutPrefix(it.Key, instancePrefix); ok {
		return sv.applyInstance(name, it, now)
	}
	target, ok := strings.CutPrefix(it.Key, holderPrefix)
	if !ok {
		return nil
	}
	if it.Deleted {
		delete(sv.holders, target)
		return nil
	}
	var entry wire.TargetHolder
	if err := proto.Unmarshal(it.Value, &entry); err != nil {
		return err
	}
	sv.holders[target] = holderRecord{
		instance:   entry.GetInstance(),
		revision:   it.Revision,
		ordersFrom: time.Duration(entry.GetOrdersFromMs()) * time.Millisecond,
		era:        entry.GetEra(),
	}
	delete(sv.unheldSince, target)
	return nil
}

func (sv *storeView) applyInstance(name string, it platform.Item, now time.Time) error {
	if it.Deleted {
		if in, ok := sv.instances[name]; ok && in.Present {
			in.Present, in.absentSince, in.revision = false, now, 0
		}
		return nil
	}
	var entry wire.InstanceEntry
	if err := proto.Unmarshal(it.Value, &entry); err != nil {
		return err
	}
	sv.instances[name] = &Instance{
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

// removeAbsent drops instances that have been absent for longer than instanceRetention and returns their names.
func (sv *storeView) removeAbsent(now time.Time) []string {
	var removed []string
	for name, in := range sv.instances {
		if !in.Present && now.Sub(in.absentSince) > instanceRetention {
			delete(sv.instances, name)
			removed = append(removed, name)
		}
	}
	return removed
}

// rankInstances ranks the present instances as holders of a target: those of its failure domain first, then by hash.
func (sv *storeView) rankInstances(ca Candidate) []*Instance {
	ranked := make([]*Instance, 0, len(sv.instances))
	for _, in := range sv.instances {
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
func (sv *storeView) claims(candidates []Candidate, held map[string]heldTarget, cc claimConditions) []claim {
	var claims []claim
	for _, ca := range candidates {
		if _, ok := held[ca.ID]; ok {
			continue
		}
		cl, ok := sv.claimFor(ca, cc)
		if ok {
			if cl.record.era < cc.era && (cc.rolledBack || cl.record.instance != "") {
				// The rollback may have lost the entry of the last holder.
				cl.wait = sv.leaseTime + sv.handoverDelay
			}
			if cl.wait > 0 {
				cl.from = cc.boot + cl.wait
			}
			claims = append(claims, cl)
		}
		if len(claims) == maxClaims {
			break
		}
	}
	return claims
}

func (sv *storeView) claimFor(ca Candidate, cc claimConditions) (claim, bool) {
	rc, held := sv.holders[ca.ID]
	if held && rc.instance == sv.self {
		return claim{target: ca.ID, record: rc, wait: sv.remainingWait(rc, cc.boot)}, true
	}
	since, free := sv.freeSince(ca.ID, rc, held, cc.now)
	if !free || !held && cc.now.Sub(cc.registeredAt) < startupDelay {
		return claim{}, false
	}
	// A target without an entry has had no holder whose orders could still arrive; the store accepts only one first claim.
	pause, wait := time.Duration(0), time.Duration(0)
	if held && cc.storeFailed {
		pause, wait = absenceAfterOutage, sv.leaseTime
	} else if held {
		pause, wait = absenceBeforeClaim, sv.handoverDelay
	}
	if cc.now.Sub(since) < pause+time.Duration(sv.rank(ca))*claimStagger {
		return claim{}, false
	}
	return claim{target: ca.ID, record: rc, wait: wait}, true
}

// remainingWait returns how long this instance must wait before it sends orders to a target for which the store already
// names it as holder: an earlier process on this machine made the claim, or a call whose answer was lost. The boot time
// restarts from zero when the machine loses power; the wait is then the full handover delay.
func (sv *storeView) remainingWait(rc holderRecord, boot time.Duration) time.Duration {
	left := rc.ordersFrom - boot
	switch {
	case left <= 0:
		return 0
	case left <= sv.leaseTime+sv.handoverDelay:
		return left
	default:
		return sv.handoverDelay
	}
}

// freeSince returns since when a target has had no holder whose instance entry exists in the store; false if it has one now.
func (sv *storeView) freeSince(target string, rc holderRecord, held bool, now time.Time) (time.Time, bool) {
	if held {
		in, known := sv.instances[rc.instance]
		if known && in.Present {
			return time.Time{}, false
		}
		if known {
			return in.absentSince, true
		}
	}
	since, ok := sv.unheldSince[target]
	if !ok {
		since = now
		sv.unheldSince[target] = now
	}
	return since, true
}

// rank returns how many instances rank before this one as holders of a target.
func (sv *storeView) rank(ca Candidate) int {
	for at, in := range sv.rankInstances(ca) {
		if in.Name == sv.self {
			return at
		}
	}
	return len(sv.instances)
}

// departed returns targets that this instance holds and that have been absent for longer than holderRetention.
func (sv *storeView) departed(candidates []Candidate, now time.Time) []string {
	present := make(map[string]bool, len(candidates))
	for _, ca := range candidates {
		present[ca.ID] = true
		delete(sv.targetAbsentSince, ca.ID)
	}
	var departed []string
	for target, rc := range sv.holders {
		if present[target] || rc.instance != sv.self {
			continue
		}
		since, ok := sv.targetAbsentSince[target]
		if !ok {
			sv.targetAbsentSince[target] = now
		} else if now.Sub(since) > holderRetention && len(departed) < maxClaims {
			departed = append(departed, target)
		}
	}
	return departed
}
