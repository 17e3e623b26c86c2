package balancer_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/balancer"
)

// cluster simulates many instances that send requests for one adapter to a few engines.
type cluster struct {
	random    *rand.Rand
	instances []*balancer.Balancer
	engines   []*engine
	// sent counts all requests, and late those that waited for a slot longer than maxSlotWait.
	sent, late int
}

// engine runs as many requests at once as it has slots. The others wait in order of arrival.
type engine struct {
	running []run
	waiting []run
	// reported is the engine's load at its last report.
	reported   int
	reportedAt time.Time
}

type run struct {
	sent  *balancer.PendingRequest
	from  *balancer.Balancer
	since time.Time
	ends  time.Time
}

const (
	// updateInterval is the time between two updates from an engine's holder to an instance.
	updateInterval = 1400 * time.Millisecond
	// reportInterval is the time between two reports of an engine to its holder.
	reportInterval = 1500 * time.Millisecond
	// meanRunTime is the mean time that a request runs.
	meanRunTime = 400 * time.Millisecond
	// maxSlotWait is how long a request may wait for a slot without being late.
	maxSlotWait = 300 * time.Millisecond
)

func newCluster(instances, engines int) *cluster {
	cl := &cluster{random: rand.New(rand.NewPCG(3, 4)), engines: make([]*engine, engines)}
	for at := range cl.engines {
		cl.engines[at] = &engine{}
	}
	for range instances {
		ba := newInstance(engines, cl.random.Float64)
		for number := range engines {
			update(ba, number, 0, 7)
		}
		cl.instances = append(cl.instances, ba)
	}
	return cl
}

// step ends the requests whose time is over and starts waiting ones in free slots.
func (cl *cluster) step() {
	now := time.Now()
	for number, en := range cl.engines {
		if now.Sub(en.reportedAt) >= reportInterval {
			en.reported, en.reportedAt = len(en.running)+len(en.waiting), now
		}
		kept := en.running[:0]
		for _, ru := range en.running {
			if now.Before(ru.ends) {
				kept = append(kept, ru)
				continue
			}
			ru.sent.Done()
		}
		en.running = kept
		for len(en.running) < slots && len(en.waiting) > 0 {
			ru := en.waiting[0]
			en.waiting = en.waiting[1:]
			if now.Sub(ru.since) > maxSlotWait {
				cl.late++
			}
			ru.ends = now.Add(time.Duration(cl.random.ExpFloat64() * float64(meanRunTime)))
			en.running = append(en.running, ru)
			ru.sent.AnswerBegan()
			ru.from.SetLoad(id(number), len(en.running)+len(en.waiting))
		}
	}
}

// sendUpdates delivers the holders' updates to the instances, spread evenly over the interval.
func (cl *cluster) sendUpdates(step int, every time.Duration) {
	const stepTime = 5 * time.Millisecond
	steps := int(every / stepTime)
	for at, ba := range cl.instances {
		for number, en := range cl.engines {
			if (step+at*37+number*11)%steps == 0 {
				ba.Update(balancer.TargetUpdate{
					Target: id(number), Holder: "holder", Load: en.reported, LoadAge: time.Since(en.reportedAt),
					Adapters: map[balancer.Adapter]int64{{Model: model}: 1, adapter(7): 1},
				})
			}
		}
	}
}

// simulate sends requests at a rate that uses the given share of the engines' slots.
func (cl *cluster) simulate(t *testing.T, span time.Duration, utilisation float64) {
	const stepTime = 5 * time.Millisecond
	due := 0.0
	mean := meanRunTime.Seconds() / (utilisation * float64(len(cl.engines)*slots))
	for step := range int(span / stepTime) {
		for due += stepTime.Seconds() / mean; due > 0; due -= cl.random.ExpFloat64() {
			ba := cl.instances[cl.random.IntN(len(cl.instances))]
			ch, ok := ba.Choose(requestFor(7))
			if !ok {
				t.Fatal("no engine was chosen")
			}
			cl.sent++
			for number, en := range cl.engines {
				if id(number) == ch.Target().ID() {
					sent := ba.Send(ch.Target().ID(), adapter(7), 500)
					en.waiting = append(en.waiting, run{sent: sent, from: ba, since: time.Now()})
				}
			}
		}
		cl.step()
		cl.sendUpdates(step, updateInterval)
		time.Sleep(stepTime)
	}
}

// Guards against the overload of ipva-hq-grown quiet-1, 24 to 34 s: many instances send to the few engines that hold an adapter
// that has become popular. Their load reports are a second old or older. If all instances follow them strictly, they overload
// one engine after the other while the others are idle.
func TestManyInstancesDoNotOverloadOneEngine(t *testing.T) {
	tests := map[string]struct {
		instances, engines int
		utilisation, late  float64
	}{
		"many instances, idle engines": {instances: 73, engines: 9, utilisation: 0.3, late: 0.01},
		"many instances, half busy":    {instances: 73, engines: 9, utilisation: 0.5, late: 0.03},
		"few instances, half busy":     {instances: 8, engines: 4, utilisation: 0.5, late: 0.03},
		"few instances, busy engines":  {instances: 8, engines: 4, utilisation: 0.7, late: 0.1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(tt.instances, tt.engines)
				cl.simulate(t, 20*time.Second, tt.utilisation)
				late := float64(cl.late) / float64(cl.sent)
				t.Logf("%s: %.3f of %d requests late", name, late, cl.sent)
				if late > tt.late {
					t.Errorf("%.3f of %d requests waited longer than %v", late, cl.sent, maxSlotWait)
				}
			})
		})
	}
}
