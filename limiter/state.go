package limiter

import (
	"fmt"
	"slices"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

// result is the end of a charge: the parts that paid for it, or a refusal.
type result struct {
	parts   []chunk
	refusal *requester.Refusal
}

// state is all that a limiter decides on. It makes no calls: messages for others gather in out.
type state struct {
	options  Options
	domains  []string
	accounts map[string]*account
	returns  returns
	sequence uint64
	out      []call
}

func newState(options Options) *state {
	return &state{
		options: options, domains: []string{options.Domain},
		accounts: make(map[string]*account), returns: make(returns),
	}
}

func (st *state) send(cl call) { st.out = append(st.out, cl) }

// drain returns the messages to send.
func (st *state) drain() []call {
	out := st.out
	st.out = nil
	return out
}

// setDomains takes the configuration's failure domains.
func (st *state) setDomains(domains []string, now time.Time) {
	if slices.Equal(domains, st.domains) {
		return
	}
	st.domains = slices.Clone(domains)
	for _, ac := range st.accounts {
		st.applyPlan(ac, now)
	}
}

// setPlan takes an organisation's rate and burst.
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

func (st *state) floorShare() float64 {
	if !slices.Contains(st.domains, st.options.Domain) {
		return 0
	}
	return 1 / float64(len(st.domains))
}

// applyPlan divides the plan over the buckets held here. A floor's larger share waits until the other domains have
// lowered theirs.
func (st *state) applyPlan(ac *account, now time.Time) {
	share := st.floorShare()
	switch {
	case share <= ac.share:
		ac.share, ac.shareSince = share, time.Time{}
	case ac.shareSince.IsZero():
		ac.shareSince = now
	case now.Sub(ac.shareSince) >= shareDelay:
		ac.share, ac.shareSince = share, time.Time{}
	}
	rate, burst := ac.rate*st.options.FloorRate, ac.burst*st.options.FloorBurst
	if bu := ac.pool.floor; bu != nil {
		bu.setPlan(rate*ac.share, burst*ac.share, now)
	}
	if bu := ac.pool.home; bu != nil {
		bu.setPlan(ac.rate-rate, ac.burst-burst, now)
	}
}

// hold brings the held buckets in line with the holder leases.
func (st *state) hold(ac *account, now time.Time) {
	floor := st.holdOne(ac, ac.pool.floor, FloorBucket(st.options.Domain, ac.organisation), now)
	home := st.holdOne(ac, ac.pool.home, HomeBucket(ac.organisation), now)
	changed := floor != ac.pool.floor || home != ac.pool.home
	ac.pool.floor, ac.pool.home = floor, home
	if changed || !ac.shareSince.IsZero() {
		st.applyPlan(ac, now)
	}
	st.fillFirst(floor)
	st.fillFirst(home)
}

// firstFencing is the fencing number of a bucket that nobody held before.
const firstFencing = 1

func (st *state) fillFirst(bu *bucket) {
	if bu != nil && bu.fencing == firstFencing && !bu.started {
		bu.level = bu.burst
	}
	if bu != nil {
		bu.started = true
	}
}

func (st *state) holdOne(ac *account, bu *bucket, name string, now time.Time) *bucket {
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
	case bu != nil && now.Before(bu.until):
		// The lease was renewed under a new number before the old one ended: nobody else held it between.
		bu.previous, bu.fencing = bu.fencing, fencing
	default:
		bu = newBucket(name, fencing, now)
	}
	bu.until = until
	return bu
}

// acquired takes the state that came with a bucket's lease.
func (st *state) acquired(name string, fencing uint64, handed *wire.BucketState, now time.Time) {
	organisation, _ := bucketOwner(name)
	ac := st.accounts[organisation]
	if ac == nil {
		return
	}
	st.hold(ac, now)
	bu := ac.held(name)
	if bu == nil || bu.fencing != fencing || bu.previous != 0 {
		return
	}
	bu.absorb(handed, now)
	st.serve(ac, now)
}

// handOver gives a bucket away. Nothing is taken from it afterwards, until it is acquired under another number. By then
// this instance may not use the bucket any more, but nobody else holds it yet.
func (st *state) handOver(name string, now time.Time) *wire.BucketState {
	organisation, domain := bucketOwner(name)
	ac := st.accounts[organisation]
	if ac == nil {
		return nil
	}
	bu := ac.held(name)
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

// charge takes a request that wants tokens. The waiter's result follows at once or later.
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
	st.hold(ac, now)
	ac.demand.Add(float64(wa.cost), now)
	if len(ac.waiters) >= maxWaiters {
		fc := ac.forecast(ac.waiting()+wa.cost, now)
		wa.refuse(requester.CodeQueueFull, "too many requests wait for tokens", fc.wait)
		return
	}
	ac.enqueue(wa)
	st.serve(ac, now)
}

// cancel takes a waiter out whose caller went away.
func (st *state) cancel(organisation string, wa *waiter, now time.Time) {
	ac := st.accounts[organisation]
	if ac == nil || wa.settled {
		return
	}
	wa.refuse(requester.CodeCancelled, "the caller went away", 0)
	ac.dropSettled()
	st.serve(ac, now)
}

// tick does what time brings. It tells whether there is more to come.
func (st *state) tick(now time.Time) (busy bool) {
	for _, ac := range st.accounts {
		if st.tickAccount(ac, now) {
			busy = true
		}
	}
	st.flush(now)
	return busy || len(st.returns) > 0
}

func (st *state) tickAccount(ac *account, now time.Time) (busy bool) {
	st.hold(ac, now)
	for _, ch := range ac.pool.unspent(now) {
		st.returns.at(ch, false, now).tokens += ch.tokens
	}
	for id, an := range ac.answered {
		if now.Sub(an.at) > loanHold {
			delete(ac.answered, id)
		}
	}
	for _, pe := range ac.pendings {
		if pe.reply != nil && now.Sub(pe.seen) >= holdReply {
			pe.seen = now
			pe.answerShort(ac, now)
		}
	}
	ac.dropPending(func(pe *pending) bool { return pe.reply == nil && now.Sub(pe.seen) > pendingPatience })
	st.serve(ac, now)
	return len(ac.waiters) > 0 || len(ac.pendings) > 0 || len(ac.pool.chunks) > 0 || len(ac.answered) > 0
}
