package leaser

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// machine is the lease state machine of an instance for all resources. It performs no I/O: messages and the current
// time are its input, effects are its output.
type machine struct {
	self    string
	timing  Timing
	random  *rand.Rand
	nonces  uint64
	records map[string]*record
	lease   lease
	// givenPromises holds the ends of the promises that this instance gave as a successor, by resource.
	givenPromises map[string]time.Time
	requestStates map[string]*promiseRequestState
	readPending   bool
	nextList      time.Time
	// reacquireAt is the earliest time at which held records are locked again after an outage.
	reacquireAt time.Time
	leaving     bool
	left        bool
	changed     map[string]bool
	effects     []effect
}

// lease is this instance's lease in the store, which consists of one session.
type lease struct {
	session  string
	pending  bool
	deadline time.Time
	// renewalSentAt is when the last successful creation or renewal was sent.
	renewalSentAt time.Time
	nextAttempt   time.Time
	failures      int
}

// promiseRequestState is the state of this instance's promise requests to one successor.
type promiseRequestState struct {
	pending     bool
	nextAttempt time.Time
}

// record is the state of one resource on this instance.
type record struct {
	name          string
	candidates    []string
	requested     bool
	lastRequested time.Time
	// loaded reports whether stored has been read from the store.
	loaded bool
	stored storedRecord
	readAt time.Time
	// availableSince is when this instance first read the current version of the record. The wait before a takeover
	// counts from it.
	availableSince time.Time
	nextRead       time.Time
	write          *write
	hint           string
	hold           *hold
}

// hold is the state of a resource that this instance holds.
type hold struct {
	fencing uint64
	// session is the session that locks the record.
	session string
	// lastLeaseDeadline is the deadline of the last store lease that covered the record.
	lastLeaseDeadline time.Time
	// requiredSuccessors are the successors whose promises are required. They include more than the record names while
	// a change of successors is unresolved.
	requiredSuccessors []string
	promises           map[string]time.Time
	// acting is the state reported by the last event.
	acting bool
	// kind is how the resource was gained, for the next event that reports a gain.
	kind           EventKind
	inheritedState []byte
	// releasing means that this instance no longer acts; ownerStopped, that the owner has stopped and returned
	// finalState.
	releasing             bool
	ownerStopped          bool
	finalState            []byte
	successorMissingSince time.Time
}

func newMachine(self string, timing Timing) *machine {
	seed := xxhash.Sum64String(self)
	return &machine{
		self:          self,
		timing:        timing.withDefaults(),
		random:        rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // jitter needs no secret
		records:       make(map[string]*record),
		givenPromises: make(map[string]time.Time),
		requestStates: make(map[string]*promiseRequestState),
		changed:       make(map[string]bool),
	}
}

func (mc *machine) emit(ef effect) { mc.effects = append(mc.effects, ef) }

// takeEffects returns the effects emitted since the last call.
func (mc *machine) takeEffects() []effect {
	effects := mc.effects
	mc.effects = nil
	return effects
}

func (mc *machine) nonce() string {
	mc.nonces++
	return mc.self + "#" + strconv.FormatUint(mc.nonces, 10)
}

// jitter returns a random duration between 0.5 and 1.5 times the mean.
func (mc *machine) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(mc.random.Int64N(int64(mean)+1))
}

func (mc *machine) ensureRecord(name string) *record {
	rc := mc.records[name]
	if rc == nil {
		rc = &record{name: name}
		mc.records[name] = rc
	}
	return rc
}

// setResources replaces the resources for which this instance is a candidate or looks up the holder.
func (mc *machine) setResources(now time.Time, resources []Resource) {
	for _, rc := range mc.records {
		if rc.requested {
			rc.requested, rc.lastRequested = false, now
		}
	}
	for _, rs := range resources {
		rc := mc.ensureRecord(rs.name)
		rc.requested, rc.lastRequested = true, now
		rc.candidates = rs.candidates
		mc.changed[rs.name] = true
		if !rc.loaded && !mc.nextList.IsZero() && rc.nextRead.IsZero() && mc.rank(rc) <= successorCount {
			rc.nextRead = now
		}
		if rc.loaded && mc.holderMissing(rc) && (rc.nextRead.IsZero() || rc.nextRead.After(now.Add(missingHolderPollInterval))) {
			rc.nextRead = now
		}
	}
	mc.step(now)
}

// rank returns this instance's position among the candidates. If it is no candidate, it returns their number plus
// successorCount.
func (mc *machine) rank(rc *record) int {
	if rank := slices.Index(rc.candidates, mc.self); rank >= 0 {
		return rank
	}
	return len(rc.candidates) + successorCount
}

// holderMissing reports whether the record names no holder, or another instance that is no longer a candidate.
func (mc *machine) holderMissing(rc *record) bool {
	if rc.stored.index == 0 || rc.hold != nil {
		return false
	}
	holder := rc.stored.record.GetHolder()
	return holder == "" || !slices.Contains(rc.candidates, holder)
}

// step performs everything that is due.
func (mc *machine) step(now time.Time) {
	if mc.left {
		return
	}
	mc.stepSession(now)
	mc.stepReads(now)
	var writes []*write
	for _, rc := range mc.records {
		mc.stepHold(now, rc)
		if wr := mc.stepWrite(now, rc); wr != nil {
			writes = append(writes, wr)
		}
		mc.stepEvents(now, rc)
		mc.prune(rc)
	}
	mc.sendWrites(writes)
	mc.stepPromises(now)
	mc.stepLeave()
}

// prune drops a record that is neither requested nor held nor being written.
func (mc *machine) prune(rc *record) {
	if !rc.requested && rc.hold == nil && rc.write == nil {
		delete(mc.records, rc.name)
		mc.changed[rc.name] = true
	}
}

// stepEvents emits an event when this instance starts or stops acting.
func (mc *machine) stepEvents(now time.Time, rc *record) {
	hl := rc.hold
	if hl == nil {
		return
	}
	acting := now.Before(mc.actingUntil(rc))
	if acting == hl.acting {
		return
	}
	hl.acting = acting
	mc.changed[rc.name] = true
	kind := Lost
	if acting {
		kind = hl.kind
		hl.kind = Resumed
	}
	mc.emit(report{Event{resource: rc.name, kind: kind, fencing: hl.fencing, state: hl.inheritedState}})
	hl.inheritedState = nil
}

// actingUntil returns the time until which this instance may act as the holder.
func (mc *machine) actingUntil(rc *record) time.Time {
	if rc.hold == nil || rc.hold.releasing {
		return time.Time{}
	}
	until := mc.promisedUntil(rc)
	if rc.hold.session == mc.lease.session && rc.hold.session != "" && mc.lease.deadline.After(until) {
		until = mc.lease.deadline
	}
	return until
}
