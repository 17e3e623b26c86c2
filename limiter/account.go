package limiter

import (
	"math"
	"slices"
	"sort"
	"time"

	"lovagebank/decayer"
	"lovagebank/wire"
)

// waiter is a request of this instance that waits for tokens.
type waiter struct {
	cost     int64
	deadline time.Time
	// done takes the charge's result; it has room for it.
	done chan result
	// settled is set when the result was sent.
	settled bool
}

// self is the borrower that stands for the requests of this instance in the queue of its own buckets.
const self = ""

// pending is a borrower of this holder in the queue for its tokens.
type pending struct {
	borrower string
	scope    scope
	least    int64
	waiting  int64
	// steps are the amounts that pay for one more of the requests that wait.
	steps []int64
	// request and reply are nil while the borrower isn't asking; its place is kept for a while.
	request *wire.BorrowRequest
	reply   func(*wire.BorrowResponse)
	seen    time.Time
	// due is the deadline of the first request that waits.
	due time.Time
}

// account is what an instance knows of one organisation: its plan, its tokens, and who waits for them.
type account struct {
	organisation string
	rate         float64
	burst        float64
	pool         pool
	waiters      []*waiter
	pendings     []*pending
	upstreams    map[string]*upstream
	// demand counts the tokens wanted of late.
	demand   decayer.Count
	answered map[string]*answer
	// lapsed holds buckets that this instance may not use at present: it hands them over, or resumes them if it holds
	// them again under the same fencing number, since then nobody else held them between.
	lapsed map[string]*bucket
	// handedOver holds buckets that this instance gave away, by the fencing number it had.
	handedOver map[string]uint64
	// unreachableSince is when tokens were first wanted and no holder answered; zero while one does.
	unreachableSince time.Time
	// unreachableAt is when that was last so; an earlier spell does not count against a later request.
	unreachableAt time.Time
	// shareSince is when the present floor share of this domain was first seen.
	shareSince time.Time
	// share is this domain's part of all floors.
	share float64
}

func newAccount(organisation string, reserve float64, now time.Time) *account {
	return &account{
		organisation: organisation, pool: pool{reserve: reserve}, demand: decayer.New(demandWindow, now),
		upstreams: make(map[string]*upstream), answered: make(map[string]*answer),
		lapsed: make(map[string]*bucket), handedOver: make(map[string]uint64),
	}
}

// enqueue puts a waiter behind those with the same or an earlier deadline.
func (ac *account) enqueue(wa *waiter) {
	at := sort.Search(len(ac.waiters), func(i int) bool { return ac.waiters[i].deadline.After(wa.deadline) })
	ac.waiters = append(ac.waiters, nil)
	copy(ac.waiters[at+1:], ac.waiters[at:])
	ac.waiters[at] = wa
}

// waiting sums the costs of the requests that wait here.
func (ac *account) waiting() int64 {
	var sum int64
	for _, wa := range ac.waiters {
		sum += wa.cost
	}
	return sum
}

// ahead sums what the borrowers before the given one need at least; all are before one without a place.
func (ac *account) ahead(borrower string) int64 {
	var sum int64
	for _, pe := range ac.pendings {
		if pe.borrower == borrower {
			break
		}
		sum += pe.least
	}
	return sum
}

// owed sums all that the borrowers of this holder wait for, but for one borrower and this instance itself.
func (ac *account) owed(except string) int64 {
	var sum int64
	for _, pe := range ac.pendings {
		if pe.borrower != self && pe.borrower != except {
			sum += pe.waiting
		}
	}
	return sum
}

// place returns a borrower's place in the queue, which is ordered by deadline, or nil when the queue is full.
func (ac *account) place(borrower string, due, now time.Time) *pending {
	at := slices.IndexFunc(ac.pendings, func(pe *pending) bool { return pe.borrower == borrower })
	if at < 0 {
		if len(ac.pendings) >= maxPending {
			return nil
		}
		at = len(ac.pendings)
		ac.pendings = append(ac.pendings, &pending{borrower: borrower})
	}
	pe := ac.pendings[at]
	pe.due, pe.seen = due, now
	slices.SortStableFunc(ac.pendings, func(one, other *pending) int { return one.due.Compare(other.due) })
	return pe
}

// leavePlace drops a borrower's place.
func (ac *account) leavePlace(borrower string) {
	ac.dropPending(func(pe *pending) bool { return pe.borrower == borrower })
}

func (ac *account) dropPending(drop func(*pending) bool) {
	kept := ac.pendings[:0]
	for _, pe := range ac.pendings {
		if !drop(pe) {
			kept = append(kept, pe)
		}
	}
	ac.pendings = kept
}

// steps returns the amounts beyond the given one that pay for one more of the requests and borrowers that wait.
func (ac *account) steps(available int64) []int64 {
	var list []int64
	sum := -available
	for _, pe := range ac.pendings {
		for _, step := range pe.steps {
			if sum+step > 0 && len(list) < maxSteps {
				list = append(list, sum+step)
			}
		}
		sum += pe.waiting
	}
	return list
}

// costs returns the summed costs of the first waiters.
func (ac *account) costs() []int64 {
	list := make([]int64, 0, min(len(ac.waiters), maxSteps))
	var sum int64
	for _, wa := range ac.waiters[:min(len(ac.waiters), maxSteps)] {
		sum += wa.cost
		list = append(list, sum)
	}
	return list
}

// forecast is when tokens will be there, as far as this instance can tell.
type forecast struct {
	wait  time.Duration
	rate  float64
	known bool
}

const never = time.Duration(math.MaxInt64)

func timeFor(tokens int64, rate float64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	seconds := float64(tokens) / rate
	if rate <= 0 || seconds > float64(never/time.Second) {
		return never
	}
	return time.Duration(math.Ceil(seconds*1e6)) * time.Microsecond
}

// forecast tells when the given tokens beyond those available will be there. A part that can't be reached counts for
// nothing: the estimate is then what the reachable parts give. As long as no answer told of a shortage, the tokens may
// be there at once.
func (ac *account) forecast(missing int64, now time.Time) forecast {
	if ac.pool.home != nil {
		rate := ac.ownRate()
		for _, up := range ac.upstreams {
			if up.kind != upstreamSurplus || !up.reachable() {
				continue
			}
			if up.flight != nil && !up.short {
				return forecast{0, ac.rate, true}
			}
			rate += up.rate
		}
		return forecast{timeFor(missing, rate), rate, true}
	}
	up := ac.source()
	if up == nil || !up.reachable() {
		rate := ac.ownRate()
		return forecast{timeFor(missing, rate), rate, ac.pool.floor != nil}
	}
	if !up.short {
		return forecast{0, ac.rate, true}
	}
	rate := up.rate + ac.ownRate()
	return forecast{up.waitFor(missing, rate, now), rate, true}
}

// backlog tells when all that waits now will have its tokens.
func (ac *account) backlog(now time.Time) time.Duration {
	return ac.forecast(ac.owed(self)+ac.waiting()-ac.pool.available(scopeLocal, now), now).wait
}

// ownRate is the rate of the buckets that this instance holds.
func (ac *account) ownRate() float64 {
	var rate float64
	if ac.pool.floor != nil {
		rate += ac.pool.floor.rate
	}
	if ac.pool.home != nil {
		rate += ac.pool.home.rate
	}
	return rate
}

// source returns the upstream that this account's answers come from at present.
func (ac *account) source() *upstream {
	if floor := ac.upstreams[upstreamFloor]; floor != nil && ac.pool.floor == nil && floor.reachable() {
		return floor
	}
	return ac.upstreams[upstreamHome]
}

// wanted returns the tokens wanted within a time ahead.
func (ac *account) wanted(horizon time.Duration, now time.Time) int64 {
	return int64(ac.demand.ValueAt(now) / demandWindow.Seconds() * horizon.Seconds())
}
