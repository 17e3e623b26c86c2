// Package allotter enforces the token rate and burst of each organisation over all instances without a remote call on
// the request path. Instances exchange state updates several times a second: how many tokens each has admitted and how
// many were requested from it. Each instance keeps a token bucket for the whole fleet and spends at most its own share
// of the bucket between two updates. A silent instance is presumed to admit an equal share of the rate.
package allotter

import (
	"sync"
	"time"

	"lovagebank/counter"
	"lovagebank/router"
)

const (
	// minSilence is the minimum time without an update after which a peer counts as silent and is presumed to admit
	// an equal share. missedUpdates is the number of update intervals that must have passed as well; within an interval
	// both sides of a pair send an update.
	minSilence    = 1200 * time.Millisecond
	missedUpdates = 1.5
	// presumeStep is the minimum period for which presumed admissions are entered.
	presumeStep = 50 * time.Millisecond
	// initialFill is the initial fill of a bucket, as a share of the burst, while no peer has reported the remaining
	// tokens. It is below 1 because requests may have been admitted before all instances restarted.
	initialFill = 0.6
	// smoothingRequests is the number of requests that is added to the recent demand of every instance when shares are
	// computed, because the next requests may arrive at any instance.
	smoothingRequests = 3
	// peersPerUpdate is the number of peers by which one received update reduces the unreported tokens. It is more than
	// the one peer that exchanged, because part of the tokens admitted since its last update is known to other peers
	// already.
	peersPerUpdate = 1.25
	// usableSlack is the share of Options.Slack that all instances together may spend beyond their shares. The rest covers
	// admissions that are reported late.
	usableSlack = 0.6
	// bootstrapShare is the share of an instance until it has the full list of its peers.
	bootstrapShare = 0.02
	// largeRequestShare is the cost from which a request counts as large, as a share of one second's rate. For a large
	// request the bucket may go into debt by up to maxDebtTime of the rate: small requests that keep the bucket empty
	// would otherwise starve large ones.
	largeRequestShare = 0.05
	maxDebtTime       = 500 * time.Millisecond
	// wellFilledShare is the share of the burst above which a bucket counts as well filled.
	wellFilledShare = 0.5
	// refusalMemory is how long after a refusal less urgent requests may not overdraw the share.
	refusalMemory = 2 * time.Second
	// steadyShare is the share of a peer's last known demand that is assumed to have arrived evenly since its previous
	// update.
	steadyShare = 0.8
	// unlistedTimeout is how long after its last update a peer still counts that the store does not list. Its key may have
	// expired although the instance runs.
	unlistedTimeout = 10 * time.Second
	// demandDecayTime is the decay time of the averaged demand of an instance.
	demandDecayTime = 3 * time.Second
	// settleTime is the time after which peers may rely on an instance's own bucket of an organisation.
	settleTime = 8 * time.Second
	// minWait and maxWait bound the retry delay of a refused request. While the bucket is well filled, minWait is
	// returned: the retry goes to another instance, which is likely to have its share left.
	minWait = 100 * time.Millisecond
	maxWait = 3 * time.Second
)

// Tally holds the counters that an instance reports for one organisation.
type Tally struct {
	// Admitted and Requested are the tokens admitted and requested since the instance started.
	Admitted  float64
	Requested float64
	// Requests is the number of requests that Requested sums up.
	Requests float64
	// Remaining is the instance's estimate of the tokens that the whole fleet may still admit.
	Remaining float64
	// Settled reports whether peers may rely on Remaining: the instance has adopted the level of a settled peer or has
	// counted long enough itself.
	Settled bool
}

// Update is the state update of one instance.
type Update struct {
	// Instance is the name of the instance. Start identifies the run of its process; tallies begin at zero in each run.
	Instance string
	Start    string
	// Leaving is set while the instance accepts no new connections. A leaving instance is presumed to admit nothing while
	// it is silent.
	Leaving bool
	// Tallies is keyed by the name of the organisation.
	Tallies map[string]Tally
}

// Options configures an Allotter.
type Options struct {
	// Interval returns the time between two updates of an instance.
	Interval func() time.Duration
	// Slack is the number of tokens that the fleet may admit beyond the quota of an organisation, because instances learn
	// late what their peers admit.
	Slack float64
}

// Allotter limits the token rate of organisations. It is safe for concurrent use.
type Allotter struct {
	op      Options
	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
	// silentPeers holds the peers that were silent at silentComputedAt.
	silentPeers      []*peer
	silentComputedAt time.Time
	// peersComplete is set once peers holds all instances that the store lists.
	peersComplete bool
}

// New returns an Allotter without peers. It limits itself to a small share until SetPeersComplete is called.
func New(op Options) *Allotter {
	return &Allotter{op: op, buckets: make(map[string]*bucket), peers: make(map[string]*peer)}
}

// bucket returns the bucket of an organisation, created if needed and refilled up to now.
func (al *Allotter) bucket(og *router.Organisation, now time.Time) *bucket {
	bu, ok := al.buckets[og.Name()]
	if !ok {
		bu = &bucket{
			refilledAt: now, createdAt: now,
			tokens: counter.New(demandDecayTime, now), requests: counter.New(demandDecayTime, now),
			lastRefusals: make(map[int]time.Time),
		}
		al.buckets[og.Name()] = bu
	}
	bu.rate = og.Rate()
	bu.ledger.resize(og.Burst(), al.op.Slack)
	if !ok {
		bu.ledger.reset(og.Burst()*initialFill, now)
	}
	al.refill(og.Name(), bu, al.cachedSilentPeers(now), now)
	return bu
}

// refill adds the tokens that accrued since the last call to a bucket and deducts the presumed admissions of silent
// peers.
func (al *Allotter) refill(name string, bu *bucket, silent []*peer, now time.Time) {
	seconds := now.Sub(bu.refilledAt).Seconds()
	bu.refilledAt = now
	bu.ledger.add(bu.rate*seconds, now)
	evenRate := bu.rate / float64(len(al.peers)+1)
	presumed := false
	for _, pe := range silent {
		presumed = bu.presume(pe.usage(name, now), evenRate, pe.updatedAt, now) || presumed
	}
	if presumed {
		bu.ledger.recompute()
	}
}

// cachedSilentPeers returns the peers that have been silent for so long that their admissions are presumed. The result
// is cached for one presumeStep.
func (al *Allotter) cachedSilentPeers(now time.Time) []*peer {
	if now.Sub(al.silentComputedAt) >= presumeStep {
		al.silentComputedAt, al.silentPeers = now, al.findSilentPeers(now)
	}
	return al.silentPeers
}

// findSilentPeers computes the list of silent peers. It also removes peers that the store does not list once
// unlistedTimeout has passed since their last update.
func (al *Allotter) findSilentPeers(now time.Time) []*peer {
	silence := max(time.Duration(missedUpdates*float64(al.op.Interval())), minSilence)
	var silent []*peer
	for name, pe := range al.peers {
		if !pe.listed && now.Sub(pe.updatedAt) > unlistedTimeout {
			delete(al.peers, name)
			continue
		}
		if !pe.leaving && now.Sub(pe.updatedAt) > silence {
			silent = append(silent, pe)
		}
	}
	return silent
}

// Charge admits a request with the given cost in tokens, or returns when to retry it. A smaller rank is more urgent. A
// request may not overdraw the share of this instance while more urgent requests of the organisation are refused.
// Organisations without a rate are not limited.
func (al *Allotter) Charge(og *router.Organisation, cost float64, rank int) Decision {
	if og.Rate() <= 0 {
		return Decision{admitted: true}
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	now := time.Now()
	bu := al.bucket(og, now)
	bu.tokens.Add(cost, now)
	bu.requests.Add(1, now)
	bu.own.Requested += cost
	bu.own.Requests++
	de := al.demand(og.Name(), bu, now)
	share, slack := al.share(bu, de, now), al.slackAllowance(bu, de)
	limit := share*(bu.ledger.level+bu.unreported) + slack
	switch {
	case bu.affords(cost, limit):
		bu.spend(cost, now)
		return Decision{admitted: true}
	case !bu.refusedMoreUrgent(rank, now) && (al.mayExceedShare(bu, cost, de, now) || bu.mayOverdraw(cost, limit)):
		bu.overdrawn += cost
		bu.spend(cost, now)
		return Decision{admitted: true}
	}
	bu.lastRefusals[rank] = now
	wait := minWait
	if !bu.wellFilled(cost + al.excessDemand(bu, de)) {
		// The wait covers the tokens missing from the fleet's bucket or from this instance's share, whichever is more.
		missing := max(cost, (bu.unreported-bu.overdrawn+cost-slack)/share-bu.unreported) - bu.ledger.level
		wait = time.Duration(missing / bu.rate * float64(time.Second))
	}
	return Decision{
		wait: min(max(wait, minWait), maxWait), remaining: bu.ledger.level, share: limit, unreported: bu.unreported,
		peers: len(al.peers),
	}
}

// share returns the fraction of the bucket that this instance may spend: its fraction of the demand, with
// smoothingRequests added to every instance for random variation.
func (al *Allotter) share(bu *bucket, de demand, now time.Time) float64 {
	own := bu.tokens.ValueAt(now)
	updated := len(al.peers) == 0
	for _, pe := range al.peers {
		updated = updated || pe.start != ""
	}
	count := float64(len(al.peers) + 1)
	switch {
	case !al.peersComplete:
		return bootstrapShare
	case de.tokens <= 0 || !updated:
		return 1 / count
	}
	smoothing := smoothingRequests * own / bu.requests.ValueAt(now)
	return min((own+smoothing)/(de.tokens+count*smoothing), 1)
}

// Refund returns the cost, in tokens, of an admitted request that did not run.
func (al *Allotter) Refund(og *router.Organisation, cost float64) {
	al.mu.Lock()
	defer al.mu.Unlock()
	if bu, ok := al.buckets[og.Name()]; ok {
		bu.ledger.add(cost, time.Now())
		bu.unreported = max(bu.unreported-cost, 0)
		bu.unreportedRequests = max(bu.unreportedRequests-1, 0)
		bu.own.Admitted -= cost
	}
}

// Tallies returns the counters that this instance reports to its peers, by organisation.
func (al *Allotter) Tallies() map[string]Tally {
	al.mu.Lock()
	defer al.mu.Unlock()
	tallies := make(map[string]Tally, len(al.buckets))
	for name, bu := range al.buckets {
		tally := bu.own
		tally.Remaining = bu.ledger.level
		tally.Settled = bu.settled || time.Since(bu.createdAt) > settleTime
		tallies[name] = tally
	}
	return tallies
}

// Apply applies the state update of another instance.
func (al *Allotter) Apply(up Update) {
	al.mu.Lock()
	defer al.mu.Unlock()
	now := time.Now()
	silent := al.cachedSilentPeers(now)
	for name, bu := range al.buckets {
		al.refill(name, bu, silent, now)
	}
	pe := al.peerOf(up, now)
	lastUpdate := pe.updatedAt
	pe.updatedAt, pe.leaving = now, up.Leaving
	reported := min(peersPerUpdate/float64(len(al.peers)), 1)
	for _, bu := range al.buckets {
		bu.unreported *= 1 - reported
		bu.unreportedRequests *= 1 - reported
		bu.overdrawn *= 1 - reported
	}
	for name, tally := range up.Tallies {
		us := pe.usage(name, now)
		admitted := max(tally.Admitted-us.tally.Admitted, 0)
		us.tokens.Add(max(tally.Requested-us.tally.Requested, 0), now)
		us.requests.Add(max(tally.Requests-us.tally.Requests, 0), now)
		us.tally = tally
		if bu, ok := al.buckets[name]; ok {
			bu.applyUsage(us, admitted, lastUpdate, now)
		}
		us.presumed, us.tokensPerSecond = 0, us.tokens.ValueAt(now)/demandDecayTime.Seconds()
	}
}

// AddPeer adds an instance that the store lists. It counts as a peer before its first update.
func (al *Allotter) AddPeer(instance string) {
	al.mu.Lock()
	defer al.mu.Unlock()
	pe, ok := al.peers[instance]
	if !ok {
		pe = &peer{updatedAt: time.Now(), usages: make(map[string]*usage)}
		al.peers[instance] = pe
	}
	pe.listed = true
}

// SetPeersComplete records that all other instances have been added by AddPeer.
func (al *Allotter) SetPeersComplete() {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.peersComplete = true
}

// Remove removes an instance that has departed.
func (al *Allotter) Remove(instance string) {
	al.mu.Lock()
	defer al.mu.Unlock()
	delete(al.peers, instance)
	al.silentComputedAt = time.Time{}
}
