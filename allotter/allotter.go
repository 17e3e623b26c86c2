// Package allotter keeps organisations within their rate and burst over all instances, without asking anyone while a
// request waits. Instances tell each other, several times a second, how much they have admitted and how much was asked
// of them. Each keeps a bucket of what the whole fleet may still admit and spends at most its own part of it between
// two tellings. An instance that is not heard from is presumed to admit an even part of the rate.
package allotter

import (
	"sync"
	"time"

	"lovagebank/decayer"
	"lovagebank/router"
)

const (
	// leastSilence is the least time after which an instance that was not heard from is presumed to admit its even
	// part, and missedTellings the number of tellings that it must have missed; both sides of a pair tell in an interval.
	leastSilence   = 1200 * time.Millisecond
	missedTellings = 1.5
	// presumeStep is the least time whose admissions are presumed at once.
	presumeStep = 50 * time.Millisecond
	// startLevel is the part of the burst that is there when an instance first meets an organisation and no other can
	// tell it what is left: requests may have been admitted before all instances started again.
	startLevel = 0.6
	// likelyRequests is the number of requests, beyond those asked of late, that count in each instance's part: the next
	// ones may come anywhere.
	likelyRequests = 3
	// newsPerTelling is the number of peers, of all, that one telling counts for in what is still unheard: more than the
	// one that was told, as what was admitted since its last telling has reached part of the others already.
	newsPerTelling = 1.25
	// slackPart is the part of the tolerated slack that all instances together may spend beyond their parts. What is told
	// late takes the rest.
	slackPart = 0.6
	// unknownShare is an instance's part while it doesn't know yet which others there are.
	unknownShare = 0.02
	// largePart is the part of a second's rate from which a request counts as large. The bucket may owe up to debtTime
	// of the rate for one: where small requests empty it all the time, it never holds enough for a large one.
	largePart = 0.05
	debtTime  = 500 * time.Millisecond
	// amplePart is the part of the burst from which a bucket counts as well filled.
	amplePart = 0.5
	// refusalMemory is how long a refusal keeps less urgent large requests from being lent to.
	refusalMemory = 2 * time.Second
	// usualPart is how much of a peer's last pace is taken to have come evenly while it was not heard.
	usualPart = 0.8
	// strayMemory is how long an instance that the store does not name counts after its last word: its key may have lapsed
	// although it runs.
	strayMemory = 10 * time.Second
	// demandMemory is the time over which the demand of an instance is averaged.
	demandMemory = 3 * time.Second
	// settleTime is the time after which an instance's own account of an organisation is good enough for others.
	settleTime = 8 * time.Second
	// minWait and maxWait bound what a refused caller is told to wait. While the bucket is well filled it is the least: the
	// caller comes back to another instance, whose part is likely there.
	minWait = 100 * time.Millisecond
	maxWait = 3 * time.Second
)

// Tally is what one instance tells of one organisation.
type Tally struct {
	// Admitted and Asked are the tokens admitted and asked for since the instance started.
	Admitted  float64
	Requested float64
	// Requests is the number of requests that asked for them.
	Requests float64
	// Remaining is what the instance believes the whole fleet may still admit.
	Remaining float64
	// Settled tells that Left rests on more than the instance's own time since its start.
	Settled bool
}

// Update is all that one instance tells.
type Update struct {
	// Instance names the instance and Start this start of its process, whose tallies begin at zero.
	Instance string
	Start    string
	// Leaving instances take no new connections: while silent they are presumed to admit nothing.
	Leaving bool
	// Tallies are by organisation.
	Tallies map[string]Tally
}

// Options set an Allotter up.
type Options struct {
	// Interval returns the time between two tellings of an instance.
	Interval func() time.Duration
	// Slack is what the fleet may admit of an organisation beyond its allowance, in tokens, as instances hear late what
	// the others admit.
	Slack float64
}

// Allotter keeps all organisations' buckets. It is safe for concurrent use.
type Allotter struct {
	op      Options
	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
	// silentPeers are those that were silent at silentAt.
	silentPeers []*peer
	silentAt    time.Time
	// complete tells that peers holds all instances that the store names.
	complete bool
}

// New makes an allotter.
func New(op Options) *Allotter {
	return &Allotter{op: op, buckets: make(map[string]*bucket), peers: make(map[string]*peer)}
}

// bucket returns an organisation's bucket with what has flowed into it until now.
func (al *Allotter) bucket(og *router.Organisation, now time.Time) *bucket {
	bu, ok := al.buckets[og.Name()]
	if !ok {
		bu = &bucket{
			at: now, metAt: now, asked: decayer.New(demandMemory, now), requests: decayer.New(demandMemory, now),
			refusals: make(map[int]time.Time),
		}
		al.buckets[og.Name()] = bu
	}
	bu.rate = og.Rate()
	bu.ledger.resize(og.Burst(), al.op.Slack)
	if !ok {
		bu.ledger.reset(og.Burst()*startLevel, now)
	}
	al.flow(og.Name(), bu, al.silent(now), now)
	return bu
}

// flow enters what has flowed into a bucket until now, and what silent peers are presumed to have admitted.
func (al *Allotter) flow(name string, bu *bucket, silent []*peer, now time.Time) {
	seconds := now.Sub(bu.at).Seconds()
	bu.at = now
	bu.ledger.enter(bu.rate*seconds, now)
	even := bu.rate / float64(len(al.peers)+1)
	presumed := false
	for _, pe := range silent {
		presumed = bu.presume(pe.told(name, now), even, pe.heardAt, now) || presumed
	}
	if presumed {
		bu.ledger.settle()
	}
}

// silent are the peers that were not heard from for so long that admissions are presumed of them. They are looked for
// again once more than a presumeStep can have been missed.
func (al *Allotter) silent(now time.Time) []*peer {
	if now.Sub(al.silentAt) >= presumeStep {
		al.silentAt, al.silentPeers = now, al.findSilent(now)
	}
	return al.silentPeers
}

// findSilent also forgets, in the end, peers that the store does not name.
func (al *Allotter) findSilent(now time.Time) []*peer {
	silence := max(time.Duration(missedTellings*float64(al.op.Interval())), leastSilence)
	var silent []*peer
	for name, pe := range al.peers {
		if !pe.named && now.Sub(pe.heardAt) > strayMemory {
			delete(al.peers, name)
			continue
		}
		if !pe.leaving && now.Sub(pe.heardAt) > silence {
			silent = append(silent, pe)
		}
	}
	return silent
}

// Charge admits a request of a cost, or tells when to come back. The smaller its rank, the more urgent it is: nothing is
// lent to a large request while more urgent ones of the organisation are refused.
func (al *Allotter) Charge(og *router.Organisation, cost float64, rank int) Decision {
	if og.Rate() <= 0 {
		return Decision{admitted: true}
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	now := time.Now()
	bu := al.bucket(og, now)
	bu.asked.Add(cost, now)
	bu.requests.Add(1, now)
	bu.own.Requested += cost
	bu.own.Requests++
	de := al.demand(og.Name(), bu, now)
	share, spare := al.share(bu, de, now), al.spare(bu, de)
	part := share*(bu.ledger.level+bu.unheard) + spare
	switch {
	case bu.affords(cost, part):
		bu.spend(cost, now)
		return Decision{admitted: true}
	case !bu.refusesBefore(rank, now) && (al.plenty(bu, cost, de, now) || bu.lends(cost, part)):
		bu.lent += cost
		bu.spend(cost, now)
		return Decision{admitted: true}
	}
	bu.refusals[rank] = now
	wait := minWait
	if !bu.ample(cost + al.pressing(bu, de)) {
		// What is missing here, for the fleet or for this instance's part.
		missing := max(cost, (bu.unheard-bu.lent+cost-spare)/share-bu.unheard) - bu.ledger.level
		wait = time.Duration(missing / bu.rate * float64(time.Second))
	}
	return Decision{
		wait: min(max(wait, minWait), maxWait), left: bu.ledger.level, part: part, spent: bu.unheard, peers: len(al.peers),
	}
}

// share is the part of the bucket that this instance may spend: its part of the demand, chance allowed for.
func (al *Allotter) share(bu *bucket, de demand, now time.Time) float64 {
	own := bu.asked.ValueAt(now)
	heard := len(al.peers) == 0
	for _, pe := range al.peers {
		heard = heard || pe.start != ""
	}
	count := float64(len(al.peers) + 1)
	switch {
	case !al.complete:
		return unknownShare
	case de.tokens <= 0 || !heard:
		return 1 / count
	}
	coming := likelyRequests * own / bu.requests.ValueAt(now)
	return min((own+coming)/(de.tokens+count*coming), 1)
}

// Refund gives back the cost of a request that did not run.
func (al *Allotter) Refund(og *router.Organisation, cost float64) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if bu, ok := al.buckets[og.Name()]; ok {
		bu.ledger.enter(cost, time.Now())
		bu.unheard = max(bu.unheard-cost, 0)
		bu.recent = max(bu.recent-1, 0)
		bu.own.Admitted -= cost
	}
}

// Tallies is what this instance tells the others.
func (al *Allotter) Tallies() map[string]Tally {
	al.mu.Lock()
	defer al.mu.Unlock()
	tallies := make(map[string]Tally, len(al.buckets))
	for name, bu := range al.buckets {
		tally := bu.own
		tally.Remaining = bu.ledger.level
		tally.Settled = bu.settled || time.Since(bu.metAt) > settleTime
		tallies[name] = tally
	}
	return tallies
}

// Apply takes in what another instance tells.
func (al *Allotter) Apply(te Update) {
	al.mu.Lock()
	defer al.mu.Unlock()
	now := time.Now()
	silent := al.silent(now)
	for name, bu := range al.buckets {
		al.flow(name, bu, silent, now)
	}
	pe := al.met(te, now)
	before := pe.heardAt
	pe.heardAt, pe.leaving = now, te.Leaving
	heard := min(newsPerTelling/float64(len(al.peers)), 1)
	for _, bu := range al.buckets {
		bu.unheard *= 1 - heard
		bu.recent *= 1 - heard
		bu.lent *= 1 - heard
	}
	for name, tally := range te.Tallies {
		to := pe.told(name, now)
		admitted := max(tally.Admitted-to.tally.Admitted, 0)
		to.asked.Add(max(tally.Requested-to.tally.Requested, 0), now)
		to.requests.Add(max(tally.Requests-to.tally.Requests, 0), now)
		to.tally = tally
		if bu, ok := al.buckets[name]; ok {
			bu.hear(to, admitted, before, now)
		}
		to.presumed, to.pace = 0, to.asked.ValueAt(now)/demandMemory.Seconds()
	}
}

// AddPeer makes an instance count although it has not been heard from yet.
func (al *Allotter) AddPeer(instance string) {
	al.mu.Lock()
	defer al.mu.Unlock()
	pe, ok := al.peers[instance]
	if !ok {
		pe = &peer{heardAt: time.Now(), tallies: make(map[string]*told)}
		al.peers[instance] = pe
	}
	pe.named = true
}

// SetPeersComplete says that all other instances have been named by Member.
func (al *Allotter) SetPeersComplete() {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.complete = true
}

// Remove drops an instance that has left.
func (al *Allotter) Remove(instance string) {
	al.mu.Lock()
	defer al.mu.Unlock()
	delete(al.peers, instance)
	al.silentAt = time.Time{}
}
