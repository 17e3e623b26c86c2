package dispatcher_test

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/dispatcher"
	"lovagebank/placer"
	"lovagebank/requester"
	"lovagebank/scheduler"
	"lovagebank/wire"
)

var simulate = flag.Bool("simulate", false, "run the policy measurements of docs/MEASUREMENTS.md")

const (
	simDomains      = 3
	simEntries      = 8
	simAdapters     = 3000
	simOrgs         = 5
	simSlots        = 8
	simBatch        = 16
	simMeanLength   = 60
	simMaxTokens    = 128
	simSkew         = 1.5
	simDeadline     = 15 * time.Second
	simWarmup       = 10 * time.Second
	simShift        = 25 * time.Second
	simEnd          = 40 * time.Second
	simTail         = simDeadline
	simBurstFactor  = 5
	simStepSlowdown = 1 + simBatchSlowdown*(simBatch-1) + simAdapterSlowdown*(simSlots-1)
)

// simConfig is one run: a policy, a number of workers, and the load by the fleet's capacity.
type simConfig struct {
	policy  string
	workers int
	load    float64
	burst   bool
}

const (
	policyRandom = "random, LRU"
	policyLeast  = "least loaded, LRU"
	policyOurs   = "lovagebank"
)

// simRecord is how one request fared.
type simRecord struct {
	organisation int
	arrived      time.Time
	queued       time.Duration
	loadWait     time.Duration
	tokens       int64
	inTime       bool
	ended        time.Time
}

type simulation struct {
	config  simConfig
	engines []*simEngine
	plain   []*plainTarget
	entries []*simEntry
	weights *simWeights
	random  *rand.Rand
	start   time.Time
	popular []float64

	mu      sync.Mutex
	records []simRecord
	wait    sync.WaitGroup
}

// simEntry is an entry instance with its own view.
type simEntry struct {
	di *dispatcher.Dispatcher
	pl *placer.Placer
}

func simTargetID(index int) string { return fmt.Sprint("engine-", index) }

func newSimulation(ctx context.Context, config simConfig) *simulation {
	sm := &simulation{config: config, weights: &simWeights{}, random: rand.New(rand.NewPCG(1, 2)), start: time.Now()}
	sum := 0.0
	for rank := 1; rank <= simAdapters; rank++ {
		sum += math.Pow(float64(rank), -simSkew)
		sm.popular = append(sm.popular, sum)
	}
	targets := make([]*wire.Target, 0, config.workers)
	for index := range config.workers {
		tg := &wire.Target{
			Id: simTargetID(index), Kind: "engine", FailureDomain: fmt.Sprint("domain-", index%simDomains), Base: "base",
			Slots: simSlots, Batch: simBatch,
		}
		targets = append(targets, tg)
		se := newSimEngine(tg, sm.weights)
		sm.engines = append(sm.engines, se)
		sm.plain = append(sm.plain, newPlainTarget(se))
		go se.run(ctx)
	}
	if config.policy == policyOurs {
		sm.startFleet(ctx, targets)
	}
	return sm
}

// startFleet starts the holders' schedulers and the entry instances.
func (sm *simulation) startFleet(ctx context.Context, targets []*wire.Target) {
	schedulers := map[string]*scheduler.Scheduler{}
	budgets := map[int]*scheduler.LoadBudget{}
	for index, tg := range targets {
		holder := index % simEntries
		if budgets[holder] == nil {
			held := (len(targets) + simEntries - 1 - holder) / simEntries
			share := simFullSpeedLoads * float64(held) / float64(len(targets))
			budgets[holder] = scheduler.NewLoadBudget(func() float64 { return share })
		}
		schedulers[tg.GetId()] = sm.startScheduler(ctx, sm.engines[index], budgets[holder])
	}
	for index := range simEntries {
		pl := placer.New(placer.Options{
			FailureDomain: fmt.Sprint("domain-", index%simDomains), Instances: func() int { return simEntries },
		})
		pl.Update(targets)
		di := dispatcher.New(dispatcher.Options{
			Choose: pl.Choose, ChoiceEnded: pl.Finished,
			Execute: func(
				ctx context.Context, tg *wire.Target, rq *requester.Request, sink requester.Sink,
			) (requester.Usage, error) {
				return schedulers[tg.GetId()].Submit(ctx, rq, sink)
			},
		})
		sm.entries = append(sm.entries, &simEntry{di, pl})
		go func() {
			for ctx.Err() == nil {
				time.Sleep(time.Second)
				reports := make([]*wire.TargetReport, 0, len(schedulers))
				for _, sc := range schedulers {
					reports = append(reports, sc.Report())
				}
				pl.Observe(reports)
			}
		}()
	}
}

func (sm *simulation) startScheduler(ctx context.Context, se *simEngine, budget *scheduler.LoadBudget) *scheduler.Scheduler {
	sc := scheduler.New(scheduler.Options{
		Target: se.target,
		Invoke: func(ctx context.Context, rq *requester.Request, _ uint64, sink requester.Sink) (requester.Usage, error) {
			us, err := se.invoke(ctx, rq)
			if err == nil {
				_ = sink.Head(200, nil)
				_ = sink.Data([]byte("{}"))
			}
			return us, err
		},
		Load:       func(ctx context.Context, model string, _ uint64) error { return se.load(ctx, model) },
		Unload:     func(_ context.Context, model string, _ uint64) error { se.unload(model); return nil },
		Poll:       simLaggedPoll(se),
		LoadBudget: budget,
	})
	go sc.Run(ctx)
	return sc
}

// drive sends the arrivals of the run and waits for their ends.
func (sm *simulation) drive(ctx context.Context) {
	fleet := float64(sm.config.workers) * simBatch / simTokenTime.Seconds() / simStepSlowdown / simMeanLength
	rate := fleet * sm.config.load
	for time.Since(sm.start) < simEnd+simTail {
		time.Sleep(time.Duration(sm.random.ExpFloat64() / rate * float64(time.Second)))
		sm.wait.Add(1)
		go sm.send(ctx, sm.nextRequest(), sm.random.IntN(simEntries))
	}
	sm.wait.Wait()
}

// nextRequest draws an organisation and one of its adapters. Half-way the popular adapters change.
func (sm *simulation) nextRequest() *requester.Request {
	organisation := sm.random.IntN(simOrgs)
	if sm.config.burst {
		if draw := sm.random.IntN(simOrgs - 1 + simBurstFactor); draw < simBurstFactor {
			organisation = 0
		} else {
			organisation = 1 + draw - simBurstFactor
		}
	}
	rank := sm.drawRank(organisation)
	if time.Since(sm.start) > simShift {
		rank = (rank + simAdapters/2) % simAdapters
	}
	length := min(1+int64(sm.random.ExpFloat64()*simMeanLength), 2*simMaxTokens)
	return requester.New(requester.Fields{
		ID: strconv.Itoa(len(sm.records)), Organisation: fmt.Sprint("org-", organisation), Kind: requester.KindChat,
		Adapter: fmt.Sprint("org-", organisation, "-", rank), Version: "1", Base: "base", PromptTokens: 100,
		MaxTokens: 2 * simMaxTokens, Urgency: requester.UrgencyInteractive, Deadline: time.Now().Add(simDeadline),
		Repeatable: true, IdempotencyKey: strconv.FormatInt(length, 10),
	})
}

// drawRank draws an adapter's rank by popularity among those of an organisation.
func (sm *simulation) drawRank(organisation int) int {
	for {
		rank, _ := slices.BinarySearch(sm.popular, sm.random.Float64()*sm.popular[simAdapters-1])
		if rank%simOrgs == organisation {
			return rank
		}
	}
}

func (sm *simulation) send(ctx context.Context, rq *requester.Request, entry int) {
	defer sm.wait.Done()
	arrived := time.Now()
	ctx, cancel := context.WithDeadline(ctx, rq.Deadline())
	defer cancel()
	var us requester.Usage
	var err error
	sink := requester.Sink{Head: simHead, Data: func([]byte) error { return nil }}
	if sm.config.policy == policyOurs {
		us, err = sm.entries[entry].di.Dispatch(ctx, rq, sink)
	} else {
		us, err = sm.choose().execute(ctx, rq)
	}
	record := simRecord{
		organisation: int(rq.Organisation()[4] - '0'), arrived: arrived, queued: us.Queued(), loadWait: us.LoadWait(),
		tokens: us.GeneratedTokens(), inTime: err == nil, ended: time.Now(),
	}
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.records = append(sm.records, record)
}

func (sm *simulation) choose() *plainTarget {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return choosePlain(sm.plain, sm.random, sm.config.policy == policyLeast)
}

// simResult is a row of the table.
type simResult struct {
	stalled     float64
	waits       [3]time.Duration
	batch       float64
	worstShare  float64
	worstWait   time.Duration
	goodput     float64
	violations  int
	loads, peak int
}

func (sm *simulation) result() simResult {
	re := simResult{loads: sm.weights.total, peak: sm.weights.peak}
	var waits []time.Duration
	var served, asked [simOrgs]float64
	queued := make([][]time.Duration, simOrgs)
	done := 0
	for _, rc := range sm.records {
		if at := rc.ended.Sub(sm.start); rc.inTime && at >= simWarmup && at < simEnd {
			done++
		}
		if at := rc.arrived.Sub(sm.start); at < simWarmup || at >= simEnd {
			continue
		}
		asked[rc.organisation]++
		if !rc.inTime {
			continue
		}
		served[rc.organisation]++
		queued[rc.organisation] = append(queued[rc.organisation], rc.queued)
		if rc.loadWait > 0 {
			waits = append(waits, rc.loadWait)
		}
	}
	arrived := 0
	for _, waits := range queued {
		arrived += len(waits)
	}
	re.stalled = float64(len(waits)) / float64(max(arrived, 1))
	for index, quantile := range []float64{0.5, 0.95, 0.99} {
		re.waits[index] = simQuantile(waits, quantile)
	}
	re.goodput = float64(done) / (simEnd - simWarmup).Seconds()
	re.worstShare = math.Inf(1)
	entitled := simEntitlements(asked, float64(arrived))
	for organisation := range simOrgs {
		re.worstShare = min(re.worstShare, served[organisation]/entitled[organisation])
		if organisation > 0 || !sm.config.burst {
			re.worstWait = max(re.worstWait, simQuantile(queued[organisation], 0.95))
		}
	}
	var tokens, steps float64
	for _, se := range sm.engines {
		tokens, steps, re.violations = tokens+se.tokens, steps+se.steps, re.violations+se.violations
	}
	re.batch = tokens / max(steps, 1) / simBatch
	return re
}

// simEntitlements shares what was served max-min fairly over what was asked for.
func simEntitlements(asked [simOrgs]float64, served float64) [simOrgs]float64 {
	var entitled [simOrgs]float64
	order := []int{0, 1, 2, 3, 4}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(asked[a], asked[b]) })
	for at, organisation := range order {
		entitled[organisation] = min(asked[organisation], served/float64(simOrgs-at))
		served -= entitled[organisation]
	}
	return entitled
}

func simQuantile(values []time.Duration, quantile float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(quantile*float64(len(values))), len(values)-1)]
}

func simRunOne(t *testing.T, config simConfig) simResult {
	var re simResult
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sm := newSimulation(ctx, config)
		time.AfterFunc(simWarmup, func() { sm.measure(true) })
		time.AfterFunc(simEnd, func() { sm.measure(false) })
		sm.drive(ctx)
		cancel()
		time.Sleep(2 * time.Second)
		re = sm.result()
	})
	return re
}

func (sm *simulation) measure(on bool) {
	for _, se := range sm.engines {
		se.mu.Lock()
		se.measured = on
		se.mu.Unlock()
	}
}

// TestPolicies prints the table of docs/MEASUREMENTS.md.
func TestPolicies(t *testing.T) {
	if !*simulate {
		t.Skip("measurement; run with -simulate")
	}
	for _, workers := range []int{12, 18} {
		for _, load := range []float64{0.5, 1, 2} {
			for _, burst := range []bool{false, true} {
				for _, policy := range []string{policyRandom, policyLeast, policyOurs} {
					config := simConfig{policy, workers, load, burst}
					t.Run(config.name(), func(t *testing.T) {
						t.Parallel()
						t.Log(simRunOne(t, config).row(config))
					})
				}
			}
		}
	}
}

func (sc simConfig) name() string {
	arrivals := "even"
	if sc.burst {
		arrivals = "burst"
	}
	return fmt.Sprintf("%d workers/load %.1f/%s/%s", sc.workers, sc.load, arrivals, sc.policy)
}

// row returns a result as a row of the page's table; waits are in milliseconds.
func (re simResult) row(config simConfig) string {
	arrivals := "even"
	if config.burst {
		arrivals = "burst"
	}
	return fmt.Sprintf("| %d | %.1f | %s | %s | %.1f %% | %d / %d / %d | %.2f | %.2f | %d | %.1f | %d | %d | %d |",
		config.workers, config.load, arrivals, config.policy, 100*re.stalled, re.waits[0].Milliseconds(),
		re.waits[1].Milliseconds(), re.waits[2].Milliseconds(), re.batch, re.worstShare, re.worstWait.Milliseconds(),
		re.goodput, re.loads, re.peak, re.violations)
}
