package limiter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lovagebank/wire"
)

const (
	testOrganisation = "indus"
	testLease        = 3 * time.Second
	testLatency      = 1500 * time.Microsecond
)

// fleet simulates many limiters on fake time, with a network and holder leases that can fail.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	queue   events
	nodes   []*node
	leases  map[string]*lease
	domains []string
	// isolated holds the failure domains that are cut off from the others.
	isolated map[string]bool
	loss     float64
	// exact is one bucket that is charged what the fleet grants; its level must never be negative.
	exact   *exactBucket
	options Options
	calls   int
	// plans counts the changes of the plan.
	plans       int
	rate, burst float64
}

type node struct {
	id, domain string
	st         *state
	dead       bool
	paused     bool
	inbox      []func()
	charges    []pendingCharge
}

// pendingCharge is a request that waits for its result.
type pendingCharge struct {
	wa   *waiter
	done func(result)
}

type lease struct {
	node    *node
	fencing uint64
	until   time.Time
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events struct {
	list []event
	seq  int
}

func (ev *events) Len() int { return len(ev.list) }
func (ev *events) Less(i, j int) bool {
	if ev.list[i].at.Equal(ev.list[j].at) {
		return ev.list[i].seq < ev.list[j].seq
	}
	return ev.list[i].at.Before(ev.list[j].at)
}
func (ev *events) Swap(i, j int) { ev.list[i], ev.list[j] = ev.list[j], ev.list[i] }
func (ev *events) Push(x any)    { ev.list = append(ev.list, x.(event)) }
func (ev *events) Pop() any {
	last := ev.list[len(ev.list)-1]
	ev.list = ev.list[:len(ev.list)-1]
	return last
}

func newFleet(seed uint64, domains, instances int, rate, burst float64, options Options) *fleet {
	fl := &fleet{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), leases: make(map[string]*lease),
		isolated: make(map[string]bool), options: options, exact: &exactBucket{rate: rate, burst: burst, level: burst},
	}
	fl.exact.updated = fl.now
	for index := range domains {
		fl.domains = append(fl.domains, fmt.Sprintf("d%d", index))
	}
	for index := range instances {
		fl.addNode(fl.domains[index%domains], rate, burst)
	}
	for _, name := range fl.buckets() {
		fl.leases[name] = &lease{node: fl.candidate(name), fencing: firstFencing, until: fl.now.Add(testLease)}
	}
	fl.after(testLease/3, fl.renewLeases)
	return fl
}

func (fl *fleet) buckets() []string {
	names := []string{HomeBucket(testOrganisation)}
	for _, domain := range fl.domains {
		names = append(names, FloorBucket(domain, testOrganisation))
	}
	return names
}

func (fl *fleet) addNode(domain string, rate, burst float64) {
	no := &node{id: fmt.Sprintf("i%d", len(fl.nodes)), domain: domain}
	options := fl.options
	options.Instance, options.Domain = no.id, domain
	options.Holds = func(bucket string) (uint64, time.Time, bool) {
		ls := fl.leases[bucket]
		if ls == nil || ls.node != no {
			return 0, time.Time{}, false
		}
		return ls.fencing, ls.until, true
	}
	options.Holder = func(bucket string) (string, bool) {
		ls := fl.leases[bucket]
		if ls == nil {
			return "", false
		}
		return ls.node.id, true
	}
	no.st = newState(options.withDefaults())
	no.st.setDomains(fl.domains, fl.now)
	no.st.setPlan(testOrganisation, rate, burst, fl.now)
	fl.rate, fl.burst = rate, burst
	fl.nodes = append(fl.nodes, no)
	fl.after(tickInterval, func() { fl.tick(no) })
}

func (fl *fleet) tick(no *node) {
	if no.dead {
		return
	}
	fl.runOn(no, func() { no.st.tick(fl.now) })
	fl.after(tickInterval, func() { fl.tick(no) })
}

func (fl *fleet) after(delay time.Duration, do func()) {
	fl.queue.seq++
	heap.Push(&fl.queue, event{fl.now.Add(delay), fl.queue.seq, do})
}

func (fl *fleet) run(until time.Time) {
	for fl.queue.Len() > 0 && !fl.queue.list[0].at.After(until) {
		ev := heap.Pop(&fl.queue).(event)
		fl.now = ev.at
		ev.do()
	}
	fl.now = until
}

// runOn runs a function on an instance and sends the resulting calls; on a paused instance it runs after the pause.
func (fl *fleet) runOn(no *node, do func()) {
	if no.dead {
		return
	}
	if no.paused {
		no.inbox = append(no.inbox, do)
		return
	}
	do()
	fl.collect(no)
}

// collect sends an instance's outgoing calls and handles the results of its requests.
func (fl *fleet) collect(no *node) {
	for _, cl := range no.st.takeOutgoing() {
		fl.send(no, cl)
	}
	open := no.charges
	no.charges = nil
	for _, ch := range open {
		select {
		case rs := <-ch.wa.done:
			if rs.refusal == nil {
				fl.exact.take(ch.wa.cost, fl.now)
			}
			ch.done(rs)
		default:
			no.charges = append(no.charges, ch)
		}
	}
}

// credit refunds to the exact bucket the tokens of charges that a bucket of the fleet accepted back.
func (fl *fleet) credit(accepted int64) {
	fl.exact.refund(accepted, fl.now)
}

// messageArrives reports whether a message between two instances is delivered.
func (fl *fleet) messageArrives(from, to *node) bool {
	if to.dead || (from.domain != to.domain && (fl.isolated[from.domain] || fl.isolated[to.domain])) {
		return false
	}
	return fl.random.Float64() >= fl.loss
}

func (fl *fleet) latency(from, to *node) time.Duration {
	latency := testLatency
	if from.domain == to.domain {
		latency /= 5
	}
	return latency + time.Duration(fl.random.Int64N(int64(latency)))
}

func (fl *fleet) send(from *node, cl call) {
	fl.calls++
	var to *node
	for _, no := range fl.nodes {
		if no.id == cl.instance {
			to = no
		}
	}
	open := true
	answer := func(rs *wire.BorrowResponse) {
		if open && cl.borrowRequest != nil {
			open = false
			fl.runOn(from, func() { from.st.handleBorrowResponse(cl, rs, fl.now) })
		}
	}
	fl.after(callTimeout, func() { answer(nil) })
	if !fl.messageArrives(from, to) {
		return
	}
	back := func(rs *wire.BorrowResponse) {
		if fl.messageArrives(to, from) {
			fl.after(fl.latency(to, from), func() { answer(rs) })
		}
	}
	fl.after(fl.latency(from, to), func() {
		fl.runOn(to, func() {
			if cl.borrowRequest != nil {
				to.st.lend(cl.borrowRequest, fl.now, back)
				return
			}
			fl.acceptReturn(to, cl.returnRequest)
		})
	})
}

// renewLeases renews the leases of live holders and moves the expired ones to other instances.
func (fl *fleet) renewLeases() {
	for _, name := range fl.buckets() {
		ls := fl.leases[name]
		switch {
		case !ls.node.dead && !ls.node.paused && fl.now.Before(ls.until):
			ls.until = fl.now.Add(testLease)
		case !fl.now.Before(ls.until):
			if no := fl.candidate(name); no != nil {
				fl.leases[name] = &lease{no, ls.fencing + 1, fl.now.Add(testLease)}
			}
		}
	}
	fl.after(testLease/3, fl.renewLeases)
}

func (fl *fleet) candidate(bucket string) *node {
	_, domain := bucketOwner(bucket)
	for _, index := range fl.random.Perm(len(fl.nodes)) {
		if no := fl.nodes[index]; !no.dead && !no.paused && (domain == "" || no.domain == domain) {
			return no
		}
	}
	return nil
}

// handOver moves a bucket with its state to another instance.
func (fl *fleet) handOver(name string) {
	ls := fl.leases[name]
	to := fl.candidate(name)
	if ls.node.dead || ls.node.paused || to == nil || to == ls.node || !fl.now.Before(ls.until) {
		return
	}
	handed := ls.node.st.handOver(name, fl.now)
	fl.leases[name] = &lease{to, ls.fencing + 1, fl.now.Add(testLease)}
	if handed != nil {
		fl.runOn(to, func() { to.st.applyHandOver(name, ls.fencing+1, handed, fl.now) })
	}
}

func (fl *fleet) pause(no *node, duration time.Duration) {
	if no.dead || no.paused {
		return
	}
	no.paused = true
	fl.after(duration, func() {
		no.paused = false
		inbox := no.inbox
		no.inbox = nil
		for _, do := range inbox {
			fl.runOn(no, do)
		}
	})
}

// charge requests tokens on an instance and calls done with the result.
func (fl *fleet) charge(no *node, cost int64, maxWait time.Duration, done func(result)) {
	wa := &waiter{cost: cost, deadline: fl.now.Add(maxWait), done: make(chan result, 1)}
	fl.runOn(no, func() {
		no.charges = append(no.charges, pendingCharge{wa, done})
		no.st.charge(testOrganisation, wa, fl.now)
	})
}

// acceptReturn makes a holder accept returned tokens; requests that waited for them are charged after the credit.
func (fl *fleet) acceptReturn(no *node, rq *wire.ReturnRequest) {
	if accepted := no.st.acceptReturn(rq, fl.now).GetAccepted(); rq.GetLoan() == 0 || rq.GetSpent() > 0 {
		fl.credit(accepted)
	}
}

func (fl *fleet) settle(no *node, rs result, unused int64) {
	fl.runOn(no, func() {
		fl.credit(no.st.settle(testOrganisation, rs.chunks, unused, fl.now))
	})
}

// exactBucket is the reference: one token bucket, as a single instance would have it.
type exactBucket struct {
	rate, burst, level, lowest float64
	updated                    time.Time
}

func (eb *exactBucket) advance(now time.Time) {
	eb.level = min(eb.burst, eb.level+eb.rate*now.Sub(eb.updated).Seconds())
	eb.updated = now
}

func (eb *exactBucket) take(tokens int64, now time.Time) {
	eb.advance(now)
	eb.level -= float64(tokens)
	eb.lowest = min(eb.lowest, eb.level)
}

func (eb *exactBucket) refund(tokens int64, now time.Time) {
	eb.advance(now)
	eb.level = min(eb.burst, eb.level+float64(tokens))
}

// admit takes the tokens if they are available within maxWait, behind all requests that already wait.
func (eb *exactBucket) admit(tokens int64, maxWait time.Duration, now time.Time) bool {
	eb.advance(now)
	if refillTime(int64(float64(tokens)-eb.level), eb.rate) > maxWait {
		return false
	}
	eb.level -= float64(tokens)
	return true
}

// setPlan changes the plan on all instances at once. Tokens lent before may be spent while their loan is valid, so a
// lower plan applies to the exact bucket only after that.
func (fl *fleet) setPlan(rate, burst float64) {
	fl.exact.setPlan(max(rate, fl.exact.rate), max(burst, fl.exact.burst), fl.now)
	fl.plans++
	plan := fl.plans
	fl.rate, fl.burst = rate, burst
	fl.after(loanHoldTime, func() {
		if plan == fl.plans {
			fl.exact.setPlan(rate, burst, fl.now)
		}
	})
	for _, no := range fl.nodes {
		if !no.dead {
			no.st.setPlan(testOrganisation, rate, burst, fl.now)
			fl.collect(no)
		}
	}
}

func (eb *exactBucket) setPlan(rate, burst float64, now time.Time) {
	eb.advance(now)
	eb.rate, eb.burst = rate, burst
	eb.level = min(eb.level, burst)
}
