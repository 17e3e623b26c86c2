package balancer_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/balancer"
)

// crowd is many instances that send requests of one adapter to a few engines.
type crowd struct {
	random    *rand.Rand
	instances []*balancer.Balancer
	engines   []*engine
	// late counts the requests that waited for a slot longer than the aim.
	sent, late int
}

// engine runs as many requests at once as it has slots; the others wait in order.
type engine struct {
	running []run
	waiting []run
	// reported is its load at its last report.
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
	// hearEvery is the time between two words of an engine's holder to an instance.
	hearEvery = 1400 * time.Millisecond
	// reportEvery is the time between two reports of an engine to its holder.
	reportEvery = 1500 * time.Millisecond
	// meanRun is how long a request runs.
	meanRun = 400 * time.Millisecond
	// waitAim is how long a request may wait for a slot.
	waitAim = 300 * time.Millisecond
)

func newCrowd(instances, engines int) *crowd {
	cr := &crowd{random: rand.New(rand.NewPCG(3, 4)), engines: make([]*engine, engines)}
	for at := range cr.engines {
		cr.engines[at] = &engine{}
	}
	for range instances {
		ba := newInstance(engines, cr.random.Float64)
		for number := range engines {
			hear(ba, number, 0, 7)
		}
		cr.instances = append(cr.instances, ba)
	}
	return cr
}

// step has engines end requests whose time has come and begin those that wait.
func (cr *crowd) step() {
	now := time.Now()
	for number, en := range cr.engines {
		if now.Sub(en.reportedAt) >= reportEvery {
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
			if now.Sub(ru.since) > waitAim {
				cr.late++
			}
			ru.ends = now.Add(time.Duration(cr.random.ExpFloat64() * float64(meanRun)))
			en.running = append(en.running, ru)
			ru.sent.AnswerBegan()
			ru.from.SetLoad(id(number), len(en.running)+len(en.waiting))
		}
	}
}

// tell has the holders' words reach the instances, each in its turn.
func (cr *crowd) tell(step int, every time.Duration) {
	const stepTime = 5 * time.Millisecond
	steps := int(every / stepTime)
	for at, ba := range cr.instances {
		for number, en := range cr.engines {
			if (step+at*37+number*11)%steps == 0 {
				ba.Update(balancer.TargetUpdate{
					Target: id(number), Holder: "holder", Load: en.reported, LoadAge: time.Since(en.reportedAt),
					Adapters: map[balancer.Adapter]int64{{Model: model}: 1, adapter(7): 1},
				})
			}
		}
	}
}

// play sends requests at a rate that uses a part of the engines' slots.
func (cr *crowd) play(t *testing.T, span time.Duration, part float64) {
	const stepTime = 5 * time.Millisecond
	due := 0.0
	mean := meanRun.Seconds() / (part * float64(len(cr.engines)*slots))
	for step := range int(span / stepTime) {
		for due += stepTime.Seconds() / mean; due > 0; due -= cr.random.ExpFloat64() {
			ba := cr.instances[cr.random.IntN(len(cr.instances))]
			ch, ok := ba.Choose(need(7))
			if !ok {
				t.Fatal("no engine was chosen")
			}
			cr.sent++
			for number, en := range cr.engines {
				if id(number) == ch.Target().ID() {
					sent := ba.Send(ch.Target().ID(), adapter(7), 500)
					en.waiting = append(en.waiting, run{sent: sent, from: ba, since: time.Now()})
				}
			}
		}
		cr.step()
		cr.tell(step, hearEvery)
		time.Sleep(stepTime)
	}
}

// The pattern of ipva-hq-grown quiet-1, 24 to 34 s: many instances send to the few engines that hold an adapter that has
// become popular. What each knows of the engines' load is a second old and more; when all go by it, they crowd one engine
// after the other while the others idle.
func TestManyInstancesDoNotCrowdOneEngine(t *testing.T) {
	tests := map[string]struct {
		instances, engines int
		part, late         float64
	}{
		"many instances, idle engines": {instances: 73, engines: 9, part: 0.3, late: 0.01},
		"many instances, half busy":    {instances: 73, engines: 9, part: 0.5, late: 0.03},
		"few instances, half busy":     {instances: 8, engines: 4, part: 0.5, late: 0.03},
		"few instances, busy engines":  {instances: 8, engines: 4, part: 0.7, late: 0.1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cr := newCrowd(tt.instances, tt.engines)
				cr.play(t, 20*time.Second, tt.part)
				late := float64(cr.late) / float64(cr.sent)
				t.Logf("%s: %.3f of %d requests late", name, late, cr.sent)
				if late > tt.late {
					t.Errorf("%.3f of %d requests waited longer than %v", late, cr.sent, waitAim)
				}
			})
		})
	}
}
