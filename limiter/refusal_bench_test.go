package limiter

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// experiment sends the same arrivals to a fleet and to one exact bucket.
type experiment struct {
	domains, instances int
	// load is the mean demand as a fraction of the rate, after refunds.
	load float64
	// skew is the fraction of the arrivals that goes to the first instance, beyond an even share.
	skew  float64
	start func(fl *fleet)
	// onlyDomain limits the arrivals to one failure domain, by index; -1 is none.
	onlyDomain int
	options    Options
	seed       uint64
}

// tally counts the outcomes of the arrivals.
type tally struct {
	arrivals, refused, exactRefused, wrongful int
	// tokens and exactTokens are the tokens charged by the fleet and by the exact bucket.
	tokens, exactTokens int64
	overshoot           float64
	calls               int
	wait                time.Duration
}

const (
	experimentRate  = 2000.0
	experimentBurst = 20000.0
	experimentTime  = 12 * time.Minute
	// A request is charged 600 tokens on average and uses half of them.
	meanCost      = 600
	usedShare     = 0.5
	maxWait       = 5 * time.Second
	serviceTime   = 2 * time.Second
	burstPeriod   = 20 * time.Second
	burstDuration = 5 * time.Second
	burstFactor   = 2.0
	warmUp        = time.Second
	arrivalsSeed  = 7
)

func (ex *experiment) run() tally {
	fl := newFleet(ex.seed, ex.domains, ex.instances, experimentRate, experimentBurst, ex.options)
	exact := &exactBucket{rate: experimentRate, burst: experimentBurst, level: experimentBurst, updated: fl.now}
	arrivals := rand.New(rand.NewPCG(ex.seed, arrivalsSeed))
	var ta tally
	fl.run(fl.now.Add(warmUp))
	begin := fl.now
	if ex.start != nil {
		ex.start(fl)
	}
	var arrive func()
	arrive = func() {
		if fl.now.Sub(begin) > experimentTime {
			return
		}
		ex.arrival(fl, exact, arrivals, &ta)
		perSecond := ex.load * experimentRate / (meanCost * usedShare)
		// The mean over bursts and pauses equals the load.
		pause := (1 - burstFactor*burstDuration.Seconds()/burstPeriod.Seconds()) /
			(1 - burstDuration.Seconds()/burstPeriod.Seconds())
		if fl.now.Sub(begin)%burstPeriod < burstDuration {
			perSecond *= burstFactor
		} else {
			perSecond *= pause
		}
		fl.after(time.Duration(arrivals.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	arrive()
	fl.run(begin.Add(experimentTime + 2*maxWait))
	ta.overshoot, ta.calls = -fl.exact.lowest, fl.calls
	return ta
}

func (ex *experiment) arrival(fl *fleet, exact *exactBucket, arrivals *rand.Rand, ta *tally) {
	no := ex.pick(fl, arrivals)
	cost := 100 + arrivals.Int64N(2*(meanCost-100))
	unused := int64(float64(cost) * (1 - usedShare))
	ta.arrivals++
	admitted := exact.admit(cost, maxWait, fl.now)
	if admitted {
		ta.exactTokens += cost
		fl.after(serviceTime, func() { exact.refund(unused, fl.now) })
	} else {
		ta.exactRefused++
	}
	arrived := fl.now
	fl.charge(no, cost, maxWait, func(rs result) {
		if rs.refusal != nil {
			ta.refused++
			if admitted {
				ta.wrongful++
			}
			return
		}
		ta.tokens += cost
		ta.wait += fl.now.Sub(arrived)
		fl.after(serviceTime, func() { fl.settle(no, rs, unused) })
	})
}

func (ex *experiment) pick(fl *fleet, arrivals *rand.Rand) *node {
	for {
		no := fl.nodes[arrivals.IntN(len(fl.nodes))]
		if arrivals.Float64() < ex.skew {
			no = fl.nodes[0]
		}
		if !no.dead && (ex.onlyDomain < 0 || no.domain == fl.domains[ex.onlyDomain]) {
			return no
		}
	}
}

// BenchmarkWrongfulRefusals reports the requests that the fleet refused although one exact bucket with the same
// arrivals admits them, in percent of arrivals, and the tokens granted over rate and burst.
func BenchmarkWrongfulRefusals(b *testing.B) {
	cutOff := func(fl *fleet) {
		fl.moveHome(fl.domains[0])
		fl.isolated[fl.domains[2]] = true
	}
	outage := func(fl *fleet) {
		// The store is down for ten minutes: holders keep their leases by promises, and no instance replaces those that die.
		for range 3 {
			if no := fl.nodes[len(fl.nodes)-1]; !fl.holdsAny(no) {
				no.dead = true
			}
		}
	}
	homeLost := func(fl *fleet) {
		ls := fl.leases[HomeBucket(testOrganisation)]
		ls.node.dead = true
		ls.until = fl.now.Add(10 * time.Minute)
	}
	cases := map[string]experiment{
		"even":              {domains: 3, instances: 8, load: 0.9, onlyDomain: -1},
		"even-full":         {domains: 3, instances: 8, load: 0.98, onlyDomain: -1},
		"even-64":           {domains: 11, instances: 64, load: 0.9, onlyDomain: -1},
		"skewed-instance":   {domains: 3, instances: 8, load: 0.9, skew: 0.8, onlyDomain: -1},
		"skewed-domain":     {domains: 3, instances: 8, load: 0.9, onlyDomain: 1},
		"skewed-domain-64":  {domains: 11, instances: 64, load: 0.9, onlyDomain: 1},
		"overload-3x":       {domains: 3, instances: 8, load: 3, onlyDomain: -1},
		"outage":            {domains: 3, instances: 8, load: 0.9, onlyDomain: -1, start: outage},
		"outage-home-lost":  {domains: 3, instances: 8, load: 0.9, onlyDomain: -1, start: homeLost},
		"cut-off-all":       {domains: 3, instances: 8, load: 0.9, onlyDomain: -1, start: cutOff},
		"cut-off-main-side": {domains: 3, instances: 8, load: 0.6, onlyDomain: 1, start: cutOff},
		"cut-off-far-side":  {domains: 3, instances: 8, load: 0.03, onlyDomain: 2, start: cutOff},
	}
	for name, ex := range cases {
		b.Run(name, func(b *testing.B) {
			var sum tally
			var overshoot float64
			for seed := range uint64(b.N) {
				ex.seed = seed + 1
				ta := ex.run()
				sum.arrivals += ta.arrivals
				sum.refused += ta.refused
				sum.exactRefused += ta.exactRefused
				sum.wrongful += ta.wrongful
				sum.calls += ta.calls
				sum.tokens += ta.tokens
				sum.exactTokens += ta.exactTokens
				sum.wait += ta.wait
				overshoot = math.Max(overshoot, ta.overshoot)
			}
			percent := 100 / float64(sum.arrivals)
			b.ReportMetric(float64(sum.wrongful)*percent, "wrongful-%")
			b.ReportMetric(float64(sum.refused)*percent, "refused-%")
			b.ReportMetric(float64(sum.exactRefused)*percent, "exact-refused-%")
			b.ReportMetric(100*float64(sum.tokens)/float64(sum.exactTokens), "tokens-%-of-exact")
			b.ReportMetric(overshoot, "overshoot-tokens")
			b.ReportMetric(float64(sum.calls)/float64(sum.arrivals), "calls/request")
			b.ReportMetric(float64(sum.wait.Microseconds())/float64(sum.arrivals-sum.refused), "wait-us")
		})
	}
}

// holdsAny reports whether an instance holds any bucket.
func (fl *fleet) holdsAny(no *node) bool {
	for _, ls := range fl.leases {
		if ls.node == no {
			return true
		}
	}
	return false
}

// moveHome hands the home over until an instance of the failure domain holds it.
func (fl *fleet) moveHome(domain string) {
	for fl.leases[HomeBucket(testOrganisation)].node.domain != domain {
		fl.handOver(HomeBucket(testOrganisation))
	}
}
