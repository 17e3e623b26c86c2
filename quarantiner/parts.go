package quarantiner

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagebank/balancer"
)

const (
	// crashRetention is how long a crash counts as evidence, and verdictRetention how long a verdict stays in force after the
	// last request that it refused.
	crashRetention   = 10 * time.Minute
	verdictRetention = 10 * time.Minute
	// settleTime is the age from which a crash counts: until then instances report which requests they had at the target, and a
	// target that is still alive shows it.
	settleTime = time.Second
	// A response shows that a target did not crash if its request was sent from minAliveDelay to maxAliveDelay after the
	// presumed crash. Times reported by peers are inexact, and a crashed target may be back under its ID later.
	minAliveDelay = 300 * time.Millisecond
	maxAliveDelay = 1200 * time.Millisecond
	// begunInterval is the time within which two begun answers to prompts with a part count as one.
	begunInterval = 200 * time.Millisecond
	// maxCrashes, maxSuspects, maxBegun and maxVerdicts bound the memory: crashes kept, suspected parts per crash, parts known to
	// have begun, and verdicts. A target may have some hundred requests, each with a part that few others share.
	maxCrashes  = 256
	maxSuspects = 512
	maxBegun    = 1 << 14
	maxVerdicts = 64
	// sequenceBits is the size of the counter in a mark.
	sequenceBits = 32
)

// inFlight is a request that is at a target.
type inFlight struct {
	parts  []Part
	cancel func()
}

// Parts finds the parts of prompts that crash targets, by the crashes and the begun answers of all instances. Whatever a prompt
// holds beside, a target crashes that begins an answer on such a part. So each begun answer shows that all parts of its prompt are
// sound, and after a crash the parts of all requests are suspected that were at the target and whose answers had not begun. It is safe
// for concurrent use and performs no I/O.
type Parts struct {
	mu       sync.Mutex
	crashes  map[balancer.Start]*crash
	begun    map[Part]time.Time
	sound    map[Part]*soundness
	names    map[Part]string
	verdicts map[string]*condemnation
	running  map[*inFlight]struct{}
	// begunAnswers is the number of answers that have begun at this instance.
	begunAnswers int
	// base is the part of the marks that identifies this start of the process, and sequence the number of the last change.
	base      uint64
	sequence  uint64
	announced uint64
	// evaluated is the number of the last change that verdicts have been decided on, and unsettledUntil is when the newest crash counts.
	evaluated      uint64
	unsettledUntil time.Time
	peers          map[string]*peerMarks
	// saved holds the suspects of crashes that the store is known to have; unsaved is true if they may differ from the known ones.
	saved   map[balancer.Start]map[Part]uint32
	unsaved bool
}

// NewParts returns Parts without evidence; start identifies this start of the process.
func NewParts(start string) *Parts {
	return &Parts{
		crashes:  make(map[balancer.Start]*crash),
		begun:    make(map[Part]time.Time),
		sound:    make(map[Part]*soundness),
		names:    make(map[Part]string),
		verdicts: make(map[string]*condemnation),
		running:  make(map[*inFlight]struct{}),
		base:     xxhash.Sum64String(start) << sequenceBits,
		peers:    make(map[string]*peerMarks),
		saved:    make(map[balancer.Start]map[Part]uint32),
	}
}

// next returns the mark of a new change.
func (pa *Parts) next() uint64 {
	pa.sequence++
	pa.unsaved = true
	return pa.base | pa.sequence
}

// Track registers a request at a target whose answer has not begun; cancel is called if a verdict comes to cover its parts. The
// returned function ends the registration.
func (pa *Parts) Track(parts []Part, cancel func()) (stop func()) {
	rq := &inFlight{parts: parts, cancel: cancel}
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.running[rq] = struct{}{}
	return func() {
		pa.mu.Lock()
		defer pa.mu.Unlock()
		delete(pa.running, rq)
	}
}
