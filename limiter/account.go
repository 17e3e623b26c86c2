package limiter

import (
	"math"
	"slices"
	"sort"
	"time"

	"lovagebank/counter"
	"lovagebank/wire"
)

// waiter is a request on this instance that waits for tokens.
type waiter struct {
	cost     int64
	deadline time.Time
	// done receives the result of the charge; it has a buffer of one, so sending never blocks.
	done chan result
	// resolved is set once the result has been sent.
	resolved bool
}

// selfBorrower represents the requests of this instance in the queue of its own buckets.
const selfBorrower = ""

// queueEntry is a borrower in the queue for the tokens of this holder.
type queueEntry struct {
	borrower string
	scope    scope
	// minTokens is the smallest amount that the borrower can use.
	minTokens int64
	// waiting is the total of tokens that the borrower's requests wait for.
	waiting int64
	// steps are rising amounts, each of which pays for one more of the waiting requests.
	steps []int64
	// request and reply are nil while the borrower has no request open; its entry is kept for queueEntryTimeout.
	request *wire.BorrowRequest
	reply   func(*wire.BorrowResponse)
	// seen is when the borrower last sent a request, or the holder last replied that there are no tokens.
	seen time.Time
	// deadline is the deadline of the borrower's first waiting request.
	deadline time.Time
}

// account is the state that an instance keeps for one organisation: its plan, its tokens, and the requests and
// borrowers that wait for them.
type account struct {
	organisation string
	rate         float64
	burst        float64
	pool         pool
	waiters      []*waiter
	queue        []*queueEntry
	upstreams    map[string]*upstream
	// demand counts the tokens requested recently; demandWindow is its time constant.
	demand          counter.Count
	cachedResponses map[string]*cachedResponse
	// lapsed holds buckets whose lease this instance does not hold at present. It hands them over, or resumes them when
	// it holds them again under the same fencing number, because then no other instance held them in between.
	lapsed map[string]*bucket
	// handedOver maps each bucket that this instance has handed over to the fencing number it held.
	handedOver map[string]uint64
	// unreachableSince is when tokens were first requested and no holder answered; zero while a holder answers.
	unreachableSince time.Time
	// lastUnreachable is the last time at which no holder was reachable; an earlier outage does not count against a later
	// request.
	lastUnreachable time.Time
	// shareIncreaseSince is when a larger floor share of this domain was first seen; zero while none is pending.
	shareIncreaseSince time.Time
	// share is the share of all floors that this domain has, from 0 to 1.
	share float64
}

func newAccount(organisation string, reserve float64, now time.Time) *account {
	return &account{
		organisation: organisation, pool: pool{reserve: reserve}, demand: counter.New(demandWindow, now),
		upstreams: make(map[string]*upstream), cachedResponses: make(map[string]*cachedResponse),
		lapsed: make(map[string]*bucket), handedOver: make(map[string]uint64),
	}
}

// enqueue inserts a waiter behind the waiters with the same or an earlier deadline.
func (ac *account) enqueue(wa *waiter) {
	at := sort.Search(len(ac.waiters), func(i int) bool { return ac.waiters[i].deadline.After(wa.deadline) })
	ac.waiters = append(ac.waiters, nil)
	copy(ac.waiters[at+1:], ac.waiters[at:])
	ac.waiters[at] = wa
}

// waitingTokens returns the total cost of the requests that wait on this instance.
func (ac *account) waitingTokens() int64 {
	var sum int64
	for _, wa := range ac.waiters {
		sum += wa.cost
	}
	return sum
}

// tokensAhead returns the total of the minimum amounts of the borrowers before the given one. For a borrower that is
// not in the queue it is the total over the whole queue.
func (ac *account) tokensAhead(borrower string) int64 {
	var sum int64
	for _, qe := range ac.queue {
		if qe.borrower == borrower {
			break
		}
		sum += qe.minTokens
	}
	return sum
}

// borrowerDemand returns the total of tokens that the borrowers of this holder wait for, without one borrower and
// without this instance itself.
func (ac *account) borrowerDemand(except string) int64 {
	var sum int64
	for _, qe := range ac.queue {
		if qe.borrower != selfBorrower && qe.borrower != except {
			sum += qe.waiting
		}
	}
	return sum
}

// upsertEntry updates or adds the borrower's entry in the queue, which is ordered by deadline, and returns it. It
// returns nil when the queue is full.
func (ac *account) upsertEntry(borrower string, deadline, now time.Time) *queueEntry {
	at := slices.IndexFunc(ac.queue, func(qe *queueEntry) bool { return qe.borrower == borrower })
	if at < 0 {
		if len(ac.queue) >= maxQueueEntries {
			return nil
		}
		at = len(ac.queue)
		ac.queue = append(ac.queue, &queueEntry{borrower: borrower})
	}
	qe := ac.queue[at]
	qe.deadline, qe.seen = deadline, now
	slices.SortStableFunc(ac.queue, func(one, other *queueEntry) int { return one.deadline.Compare(other.deadline) })
	return qe
}

// removeEntry removes a borrower from the queue.
func (ac *account) removeEntry(borrower string) {
	ac.removeEntries(func(qe *queueEntry) bool { return qe.borrower == borrower })
}

func (ac *account) removeEntries(remove func(*queueEntry) bool) {
	kept := ac.queue[:0]
	for _, qe := range ac.queue {
		if !remove(qe) {
			kept = append(kept, qe)
		}
	}
	ac.queue = kept
}

// steps returns rising amounts beyond the available one, each of which pays for one more of the requests and borrowers
// that wait; at most maxSteps.
func (ac *account) steps(available int64) []int64 {
	var list []int64
	sum := -available
	for _, qe := range ac.queue {
		for _, step := range qe.steps {
			if sum+step > 0 && len(list) < maxSteps {
				list = append(list, sum+step)
			}
		}
		sum += qe.waiting
	}
	return list
}

// cumulativeCosts returns the running totals of the costs of the first maxSteps waiters.
func (ac *account) cumulativeCosts() []int64 {
	list := make([]int64, 0, min(len(ac.waiters), maxSteps))
	var sum int64
	for _, wa := range ac.waiters[:min(len(ac.waiters), maxSteps)] {
		sum += wa.cost
		list = append(list, sum)
	}
	return list
}

// forecast is an estimate of when tokens will be available.
type forecast struct {
	wait time.Duration
	// rate is in tokens a second.
	rate float64
	// known is false when no holder is reachable and this instance holds no bucket.
	known bool
}

const infiniteWait = time.Duration(math.MaxInt64)

// refillTime returns the time in which the rate, in tokens a second, yields the tokens, or infiniteWait.
func refillTime(tokens int64, rate float64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	seconds := float64(tokens) / rate
	if rate <= 0 || seconds > float64(infiniteWait/time.Second) {
		return infiniteWait
	}
	return time.Duration(math.Ceil(seconds*1e6)) * time.Microsecond
}

// forecast estimates when the missing tokens, beyond those available here, will be available. A bucket whose holder is
// unreachable contributes nothing: the estimate then covers the reachable buckets only. As long as no response
// reported a shortage, the tokens may be available at once.
func (ac *account) forecast(missing int64, now time.Time) forecast {
	if ac.pool.home != nil {
		rate := ac.heldRate()
		for _, up := range ac.upstreams {
			if up.kind != upstreamSurplus || !up.reachable() {
				continue
			}
			if up.pending != nil && !up.insufficient {
				return forecast{0, ac.rate, true}
			}
			rate += up.rate
		}
		return forecast{refillTime(missing, rate), rate, true}
	}
	up := ac.currentUpstream()
	if up == nil || !up.reachable() {
		rate := ac.heldRate()
		return forecast{refillTime(missing, rate), rate, ac.pool.floor != nil}
	}
	if !up.insufficient {
		return forecast{0, ac.rate, true}
	}
	rate := up.rate + ac.heldRate()
	return forecast{up.estimateWait(missing, rate, now), rate, true}
}

// backlog returns the time until all requests and borrowers that wait now will have their tokens.
func (ac *account) backlog(now time.Time) time.Duration {
	return ac.forecast(ac.borrowerDemand(selfBorrower)+ac.waitingTokens()-ac.pool.available(scopeLocal, now), now).wait
}

// heldRate returns the total rate, in tokens a second, of the buckets that this instance holds.
func (ac *account) heldRate() float64 {
	var rate float64
	if ac.pool.floor != nil {
		rate += ac.pool.floor.rate
	}
	if ac.pool.home != nil {
		rate += ac.pool.home.rate
	}
	return rate
}

// currentUpstream returns the upstream that this account's forecasts are based on: the floor holder of the domain, if
// it is another instance and reachable, and otherwise the home; nil if there is none.
func (ac *account) currentUpstream() *upstream {
	if floor := ac.upstreams[upstreamFloor]; floor != nil && ac.pool.floor == nil && floor.reachable() {
		return floor
	}
	return ac.upstreams[upstreamHome]
}

// expectedDemand returns the tokens that recent demand suggests will be requested within the horizon.
func (ac *account) expectedDemand(horizon time.Duration, now time.Time) int64 {
	return int64(ac.demand.ValueAt(now) / demandWindow.Seconds() * horizon.Seconds())
}
