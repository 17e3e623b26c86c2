package limiter

import (
	"fmt"
	"slices"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

// result is the outcome of a charge: the chunks that paid for it, or a refusal.
type result struct {
	chunks  []chunk
	refusal *requester.Refusal
}

// state is the whole state of a limiter, with its decisions. It performs no I/O: calls to other instances are
// collected in outgoing.
type state struct {
	options  Options
	domains  []string
	accounts map[string]*account
	returns  returns
	sequence uint64
	outgoing []call
}

func newState(options Options) *state {
	return &state{
		options: options, domains: []string{options.Domain},
		accounts: make(map[string]*account), returns: make(returns),
	}
}

func (st *state) queueCall(cl call) { st.outgoing = append(st.outgoing, cl) }

// takeOutgoing removes and returns the calls to send.
func (st *state) takeOutgoing() []call {
	out := st.outgoing
	st.outgoing = nil
	return out
}

// setDomains applies the failure domains of the configuration.
func (st *state) setDomains(domains []string, now time.Time) {
	if slices.Equal(domains, st.domains) {
		return
	}
	st.domains = slices.Clone(domains)
	for _, ac := range st.accounts {
		st.applyPlan(ac, now)
	}
}

// setPlan applies an organisation's rate and burst.
func (st *state) setPlan(organisation string, rate, burst float64, now time.Time) {
	ac := st.accounts[organisation]
	if ac == nil {
		ac = newAccount(organisation, st.options.Reserve, now)
		ac.share = st.floorShare()
		st.accounts[organisation] = ac
	}
	if ac.rate == rate && ac.burst == burst {
		return
	}
	ac.rate, ac.burst = rate, burst
	st.applyPlan(ac, now)
	st.serve(ac, now)
}

// floorShare returns this domain's share of all floors, or zero if it is not among the configured failure domains.
func (st *state) floorShare() float64 {
	if !slices.Contains(st.domains, st.options.Domain) {
		return 0
	}
	return 1 / float64(len(st.domains))
}

// applyPlan divides the plan over the buckets held here. A larger share of a floor applies only after
// shareIncreaseDelay, when the other domains have lowered theirs.
func (st *state) applyPlan(ac *account, now time.Time) {
	share := st.floorShare()
	switch {
	case share <= ac.share:
		ac.share, ac.shareIncreaseSince = share, time.Time{}
	case ac.shareIncreaseSince.IsZero():
		ac.shareIncreaseSince = now
	case now.Sub(ac.shareIncreaseSince) >= shareIncreaseDelay:
		ac.share, ac.shareIncreaseSince = share, time.Time{}
	}
	rate, burst := ac.rate*st.options.FloorRate, ac.burst*st.options.FloorBurst
	if bu := ac.pool.floor; bu != nil {
		bu.setPlan(rate*ac.share, burst*ac.share, now)
	}
	if bu := ac.pool.home; bu != nil {
		bu.setPlan(ac.rate-rate, ac.burst-burst, now)
	}
}

// syncBuckets updates the held buckets from the holder leases.
func (st *state) syncBuckets(ac *account, now time.Time) {
	floor := st.syncBucket(ac, ac.pool.floor, FloorBucket(st.options.Domain, ac.organisation), now)
	home := st.syncBucket(ac, ac.pool.home, HomeBucket(ac.organisation), now)
	changed := floor != ac.pool.floor || home != ac.pool.home
	ac.pool.floor, ac.pool.home = floor, home
	if changed || !ac.shareIncreaseSince.IsZero() {
		st.applyPlan(ac, now)
	}
	st.fillIfNeverHeld(floor)
	st.fillIfNeverHeld(home)
}

// firstFencing is the fencing number of a bucket that was never held before.
const firstFencing = 1

// fillIfNeverHeld fills a bucket that was never held before, when it is first used.
func (st *state) fillIfNeverHeld(bu *bucket) {
	if bu != nil && bu.fencing == firstFencing && !bu.started {
		bu.level = bu.burst
	}
	if bu != nil {
		bu.started = true
	}
}

// syncBucket returns the bucket of a name if this instance holds its lease, and otherwise moves it to the lapsed
// buckets and returns nil.
func (st *state) syncBucket(ac *account, bu *bucket, name string, now time.Time) *bucket {
	fencing, until, ok := st.options.Holds(name)
	if !ok || !now.Before(until) || ac.handedOver[name] == fencing {
		if bu != nil {
			ac.lapsed[name] = bu
		}
		return nil
	}
	if bu == nil {
		bu = ac.lapsed[name]
	}
	delete(ac.lapsed, name)
	switch {
	case bu != nil && bu.fencing == fencing:
	case bu != nil && now.Before(bu.leaseUntil):
		// The lease was renewed under a new number before the old one ended: no other instance held it in between.
		bu.previousFencing, bu.fencing = bu.fencing, fencing
	default:
		bu = newBucket(name, fencing, now)
	}
	bu.leaseUntil = until
	return bu
}

// applyHandOver applies the state that was handed over with a bucket's lease.
func (st *state) applyHandOver(name string, fencing uint64, handed *wire.BucketState, now time.Time) {
	organisation, _ := bucketOwner(name)
	ac := st.accounts[organisation]
	if ac == nil {
		return
	}
	st.syncBuckets(ac, now)
	bu := ac.heldBucket(name)
	if bu == nil || bu.fencing != fencing || bu.previousFencing != 0 {
		return
	}
	bu.mergeState(handed, now)
	st.serve(ac, now)
}

// handOver stops using a bucket and returns its state. No tokens are taken from it afterwards, until it is acquired
// under another fencing number. At the time of the call this instance may no longer use the bucket, but no other
// instance holds it yet.
func (st *state) handOver(name string, now time.Time) *wire.BucketState {
	organisation, domain := bucketOwner(name)
	ac := st.accounts[organisation]
	if ac == nil {
		return nil
	}
	bu := ac.heldBucket(name)
	switch {
	case bu == nil:
		bu = ac.lapsed[name]
	case domain != "":
		ac.pool.floor = nil
	default:
		ac.pool.home = nil
	}
	delete(ac.lapsed, name)
	if bu == nil {
		return nil
	}
	ac.handedOver[name] = bu.fencing
	return bu.state(now)
}

// charge queues a request for tokens, or refuses it. The waiter gets its result at once or later.
func (st *state) charge(organisation string, wa *waiter, now time.Time) {
	ac := st.accounts[organisation]
	if ac == nil || ac.rate <= 0 {
		wa.refuse(requester.CodeNotInPlan, "the organisation has no rate", 0)
		return
	}
	if float64(wa.cost) > ac.burst {
		message := fmt.Sprintf("a request of %d tokens is over the burst of %.0f", wa.cost, ac.burst)
		wa.refuse(requester.CodeRateExceeded, message, 0)
		return
	}
	st.syncBuckets(ac, now)
	ac.demand.Add(float64(wa.cost), now)
	if len(ac.waiters) >= maxWaiters {
		fc := ac.forecast(ac.waitingTokens()+wa.cost, now)
		wa.refuse(requester.CodeQueueFull, "too many requests wait for tokens", fc.wait)
		return
	}
	ac.enqueue(wa)
	st.serve(ac, now)
}

// cancel removes a waiter whose caller has cancelled the request.
func (st *state) cancel(organisation string, wa *waiter, now time.Time) {
	ac := st.accounts[organisation]
	if ac == nil || wa.resolved {
		return
	}
	wa.refuse(requester.CodeCancelled, "the caller went away", 0)
	ac.removeResolved()
	st.serve(ac, now)
}

// tick handles expired leases, loans and timeouts. It reports whether work remains for the next tick.
func (st *state) tick(now time.Time) (busy bool) {
	for _, ac := range st.accounts {
		if st.tickAccount(ac, now) {
			busy = true
		}
	}
	st.sendReturns(now)
	return busy || len(st.returns) > 0
}

func (st *state) tickAccount(ac *account, now time.Time) (busy bool) {
	st.syncBuckets(ac, now)
	for _, ch := range ac.pool.takeExpiring(now) {
		st.returns.getOrAdd(ch, false, now).tokens += ch.tokens
	}
	for id, cr := range ac.cachedResponses {
		if now.Sub(cr.at) > loanHoldTime {
			delete(ac.cachedResponses, id)
		}
	}
	for _, qe := range ac.queue {
		if qe.reply != nil && now.Sub(qe.seen) >= noTokensReplyDelay {
			qe.seen = now
			qe.replyNoTokens(ac, now)
		}
	}
	ac.removeEntries(func(qe *queueEntry) bool { return qe.reply == nil && now.Sub(qe.seen) > queueEntryTimeout })
	st.serve(ac, now)
	return len(ac.waiters) > 0 || len(ac.queue) > 0 || len(ac.pool.chunks) > 0 || len(ac.cachedResponses) > 0
}
