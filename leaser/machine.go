package leaser

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// machine holds an instance's state of all resources. It makes no calls: messages and the time come in, effects go out.
type machine struct {
	self    string
	timing  Timing
	random  *rand.Rand
	nonces  uint64
	records map[string]*record
	lease   lease
	// promises are this instance's own, by resource.
	promises map[string]time.Time
	asks     map[string]*ask
	reading  bool
	nextList time.Time
	// reacquireAt delays the locking of held records after an outage.
	reacquireAt time.Time
	leaving     bool
	left        bool
	changed     map[string]bool
	effects     []effect
}

// lease is the store's lease of this instance: one session.
type lease struct {
	session  string
	calling  bool
	deadline time.Time
	// confirmed is when the last renewal that succeeded was sent.
	confirmed time.Time
	next      time.Time
	failures  int
}

// ask is what this instance knows of its requests to one successor.
type ask struct {
	calling bool
	next    time.Time
}

// record is what this instance knows and does about one resource.
type record struct {
	name       string
	candidates []string
	wanted     bool
	lastWanted time.Time
	// known tells that stored was read.
	known  bool
	stored stored
	readAt time.Time
	// openSince is when this instance first saw that the unchanged record may be taken over.
	openSince time.Time
	nextRead  time.Time
	write     *write
	hint      string
	hold      *hold
}

// hold is the state of a resource that this instance is the holder of.
type hold struct {
	fencing uint64
	// session is the one that locks the record.
	session string
	// lastLease is the last deadline by the store's lease.
	lastLease time.Time
	// need are the successors whose promises count; more than the record names while a change is not resolved.
	need     []string
	promises map[string]time.Time
	// acting is what the last event said.
	acting bool
	// kind is how the resource was gained, until the event is out.
	kind  EventKind
	state []byte
	// surrendering tells that this instance acts no more; surrendered, that its owner gave handedState.
	surrendering bool
	surrendered  bool
	handedState  []byte
	missingSince time.Time
}

func newMachine(self string, timing Timing) *machine {
	seed := xxhash.Sum64String(self)
	return &machine{
		self:     self,
		timing:   timing.withDefaults(),
		random:   rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // jitter needs no secret
		records:  make(map[string]*record),
		promises: make(map[string]time.Time),
		asks:     make(map[string]*ask),
		changed:  make(map[string]bool),
	}
}

func (mc *machine) emit(ef effect) { mc.effects = append(mc.effects, ef) }

// takeEffects returns the effects since the last call.
func (mc *machine) takeEffects() []effect {
	effects := mc.effects
	mc.effects = nil
	return effects
}

func (mc *machine) nonce() string {
	mc.nonces++
	return mc.self + "#" + strconv.FormatUint(mc.nonces, 10)
}

// jitter returns between half and one and a half of the mean.
func (mc *machine) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(mc.random.Int64N(int64(mean)+1))
}

func (mc *machine) record(name string) *record {
	rc := mc.records[name]
	if rc == nil {
		rc = &record{name: name}
		mc.records[name] = rc
	}
	return rc
}

// want replaces the resources that this instance is a candidate for or looks up.
func (mc *machine) want(now time.Time, resources []Resource) {
	for _, rc := range mc.records {
		if rc.wanted {
			rc.wanted, rc.lastWanted = false, now
		}
	}
	for _, rs := range resources {
		rc := mc.record(rs.name)
		rc.wanted, rc.lastWanted = true, now
		rc.candidates = rs.candidates
		mc.changed[rs.name] = true
		if !rc.known && !mc.nextList.IsZero() && rc.nextRead.IsZero() && mc.rank(rc) <= successorCount {
			rc.nextRead = now
		}
		if rc.known && mc.suspect(rc) && (rc.nextRead.IsZero() || rc.nextRead.After(now.Add(suspectPoll))) {
			rc.nextRead = now
		}
	}
	mc.step(now)
}

// rank is this instance's place among the candidates; their number when it is none.
func (mc *machine) rank(rc *record) int {
	if rank := slices.Index(rc.candidates, mc.self); rank >= 0 {
		return rank
	}
	return len(rc.candidates) + successorCount
}

// suspect tells whether another instance holds the record and is no candidate any more.
func (mc *machine) suspect(rc *record) bool {
	if rc.stored.index == 0 || rc.hold != nil {
		return false
	}
	holder := rc.stored.record.GetHolder()
	return holder == "" || !slices.Contains(rc.candidates, holder)
}

// step does all that is due.
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
		mc.forget(rc)
	}
	mc.sendWrites(writes)
	mc.stepPromises(now)
	mc.stepLeave()
}

// forget drops a record that is neither wanted nor held.
func (mc *machine) forget(rc *record) {
	if !rc.wanted && rc.hold == nil && rc.write == nil {
		delete(mc.records, rc.name)
		mc.changed[rc.name] = true
	}
}

// stepEvents reports a change between acting and not acting.
func (mc *machine) stepEvents(now time.Time, rc *record) {
	hl := rc.hold
	if hl == nil {
		return
	}
	acting := now.Before(mc.until(rc))
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
	mc.emit(report{Event{resource: rc.name, kind: kind, fencing: hl.fencing, state: hl.state}})
	hl.state = nil
}

// until returns the end of the time in which this instance may act as the holder.
func (mc *machine) until(rc *record) time.Time {
	if rc.hold == nil || rc.hold.surrendering {
		return time.Time{}
	}
	until := mc.promisedUntil(rc)
	if rc.hold.session == mc.lease.session && rc.hold.session != "" && mc.lease.deadline.After(until) {
		until = mc.lease.deadline
	}
	return until
}
