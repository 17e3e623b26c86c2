// Package estimator estimates how fast each target of an uneven service works, that is, of a service whose targets state their
// pace in responses. The lasting speed of a start of a target is estimated from the streams of all instances, by the target's
// holder. The pace, a disturbance that lasts for some hundred milliseconds, is used only by the instance that received the
// response. The package is idle for other services and performs no I/O.
package estimator

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lovagebank/balancer"
)

const (
	// paceLifetime is the age from which a pace is no longer used: disturbances last for some hundred milliseconds. A younger
	// one counts for less the older it is, as the share of disturbances that have not ended falls with time.
	paceLifetime = 600 * time.Millisecond
	// timeConstant is the time in which the weight of a sample decays to 1/e. It spans a hundred disturbances of a target, so
	// that those whose pace is not known average out.
	timeConstant = time.Minute
	// priorSamples is the number of samples with the mean speed of the service that count in addition to those observed.
	priorSamples = 3
	// minReportedSamples is the number of samples from which the holder reports a speed.
	minReportedSamples = 3
	// seedSamples is the weight, in samples, of the speed that an earlier holder reported.
	seedSamples = 10
	// reportStep is the change of the logarithm of a speed from which the holder reports it anew. The speeds of one service
	// differ by a factor of 2.2, so smaller changes hardly affect the choice of targets and are not worth a message to each
	// instance.
	reportStep = 0.06
	// maxLogSpeed limits speeds and samples to between a quarter and four times the usual duration.
	maxLogSpeed = 1.3863
	// meanInterval is the time between two calculations of the mean speed of a service.
	meanInterval = 250 * time.Millisecond
	// maxPeerSamples limits the samples of one report of a peer, and maxPercent the speed that a holder reports.
	maxPeerSamples = 10_000
	maxPercent     = 100_000
)

// Sums holds samples of the speed of one start of a target.
type Sums struct {
	// Samples is the weight of the samples, and Logs the sum of their logarithms, each multiplied by its weight. A sample is an
	// observed duration divided by the expected one and the pace.
	Samples float64
	Logs    float64
}

func (su *Sums) add(other Sums) {
	su.Samples += other.Samples
	su.Logs += other.Logs
}

// decayed is a sum of samples whose weights decay with time.
type decayed struct {
	sums Sums
	at   time.Time
}

func (de *decayed) add(su Sums, now time.Time) {
	weight := math.Exp(-now.Sub(de.at).Seconds() / timeConstant.Seconds())
	de.sums = Sums{Samples: de.sums.Samples*weight + su.Samples, Logs: de.sums.Logs*weight + su.Logs}
	de.at = now
}

// Estimator keeps the speed and the pace of targets. It is safe for concurrent use.
type Estimator struct {
	// active is set once any service is uneven, so that callers with other services need no lock.
	active   atomic.Bool
	mu       sync.Mutex
	services map[string]*service
	targets  map[string]*target
}

// service is an uneven service.
type service struct {
	// mean is the mean logarithm of the known speeds of the service's targets, at meanAt. Speeds are relative to it.
	mean   float64
	meanAt time.Time
}

// target is the state of one start of a target.
type target struct {
	started time.Time
	service string
	pace    float64
	paceAt  time.Time
	// own are the samples of this instance, and unreported those of them that have not been sent to the holder.
	own        decayed
	unreported Sums
	// reported is the logarithm of the speed that the target's holder has reported.
	reported    float64
	hasReported bool
	// held are the samples of all instances while this one holds the target; nil before the first.
	held *decayed
	// published is the logarithm of the speed that this instance last reported as holder.
	published    float64
	hasPublished bool
}

// New returns an estimator without uneven services.
func New() *Estimator {
	return &Estimator{services: make(map[string]*service), targets: make(map[string]*target)}
}

// state returns the state of a start of a target of a service, which becomes uneven if it was not. It is nil if a later start
// of the target is known.
func (es *Estimator) state(ts balancer.Start, name string) *target {
	if _, ok := es.services[name]; !ok {
		es.services[name] = &service{}
		es.active.Store(true)
	}
	ta, ok := es.targets[ts.Target]
	if ok && ta.started.Equal(ts.Started) {
		return ta
	}
	if ok && ta.started.After(ts.Started) {
		return nil
	}
	ta = &target{started: ts.Started, service: name}
	es.targets[ts.Target] = ta
	return ta
}

// find returns the state of a start of a target; nil if there is none.
func (es *Estimator) find(ts balancer.Start) *target {
	ta, ok := es.targets[ts.Target]
	if !ok || !ta.started.Equal(ts.Started) {
		return nil
	}
	return ta
}

// Uneven reports whether any target of a service has stated its pace.
func (es *Estimator) Uneven(name string) bool {
	if !es.active.Load() {
		return false
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	_, ok := es.services[name]
	return ok
}

// SetPace records the pace that a target of a service has stated now. It reports whether the service was not uneven before.
func (es *Estimator) SetPace(ts balancer.Start, name string, pace float64) bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	_, known := es.services[name]
	if ta := es.state(ts, name); ta != nil {
		ta.pace, ta.paceAt = pace, time.Now()
	}
	return !known
}

// Record adds a sample of this instance: the ratio of an observed duration to the expected one and the pace.
func (es *Estimator) Record(ts balancer.Start, ratio, weight float64) {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		return
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	if ta := es.find(ts); ta != nil {
		su := Sums{Samples: weight, Logs: weight * clamp(math.Log(ratio))}
		ta.own.add(su, time.Now())
		ta.unreported.add(su)
	}
}

// Take returns the samples of this instance that have not been sent to the target's holder, and counts them as sent. It is
// false without any.
func (es *Estimator) Take(id string) (balancer.Start, Sums, bool) {
	if !es.active.Load() {
		return balancer.Start{}, Sums{}, false
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	ta, ok := es.targets[id]
	if !ok || ta.unreported.Samples == 0 {
		return balancer.Start{}, Sums{}, false
	}
	su := ta.unreported
	ta.unreported = Sums{}
	return balancer.Start{Target: id, Started: ta.started}, su, true
}

// Merge adds the samples of an instance for a target of a service that this instance holds.
func (es *Estimator) Merge(ts balancer.Start, name string, su Sums) {
	// The last factor allows for rounding errors in the sum.
	valid := su.Samples > 0 && su.Samples <= maxPeerSamples && math.Abs(su.Logs) <= maxLogSpeed*su.Samples*(1+1e-3)
	if !valid {
		return
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	ta := es.state(ts, name)
	if ta == nil {
		return
	}
	now := time.Now()
	if ta.held == nil {
		ta.held = &decayed{at: now}
		if ta.hasReported {
			ta.held.sums = Sums{Samples: seedSamples, Logs: seedSamples * ta.reported}
		}
	}
	ta.held.add(su, now)
}

// Held returns the speed of a target that this instance holds, in percent, as it is to be reported to the other instances, and
// whether it differs from the one returned before. It is 0 while there are too few samples.
func (es *Estimator) Held(ts balancer.Start) (percent int, changed bool) {
	if !es.active.Load() {
		return 0, false
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	ta := es.find(ts)
	if ta == nil || ta.held == nil || ta.held.sums.Samples < minReportedSamples {
		return 0, false
	}
	su := ta.held.sums
	mean := es.meanOf(ta.service, time.Now())
	value := clamp((su.Logs + priorSamples*mean) / (su.Samples + priorSamples))
	if !ta.hasPublished || math.Abs(value-ta.published) >= reportStep {
		ta.published, ta.hasPublished, changed = value, true, true
	}
	return int(math.Round(100 * math.Exp(ta.published))), changed
}

// SetReported records the speed, in percent, that the holder of a target of a service has reported.
func (es *Estimator) SetReported(ts balancer.Start, name string, percent int) {
	if percent <= 0 || percent > maxPercent {
		return
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	if ta := es.state(ts, name); ta != nil {
		ta.reported, ta.hasReported = clamp(math.Log(float64(percent)/100)), true
	}
}

// Speed returns the lasting speed of a start of a target, as the duration of its work relative to the usual one in its service:
// 2 means twice as slow.
func (es *Estimator) Speed(ts balancer.Start) float64 {
	if !es.active.Load() {
		return 1
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	ta := es.find(ts)
	if ta == nil {
		return 1
	}
	return es.speed(ta, time.Now())
}

func (es *Estimator) speed(ta *target, now time.Time) float64 {
	value, weight := ta.estimate()
	if weight == 0 {
		return 1
	}
	// Without a report of the holder, few samples move the speed little from that of the service.
	return math.Exp(clamp(weight * (value - es.meanOf(ta.service, now))))
}

// estimate returns the logarithm of a target's speed and its weight, from 0 to 1: that of the holder, or that of the own samples.
func (ta *target) estimate() (value, weight float64) {
	if ta.hasReported {
		return ta.reported, 1
	}
	su := ta.own.sums
	if su.Samples == 0 {
		return 0, 0
	}
	return su.Logs / su.Samples, su.Samples / (su.Samples + priorSamples)
}

// meanOf returns the mean logarithm of the known speeds of a service's targets. The expected durations are those of a target
// faster or slower than the mean, depending on which targets the instance used.
func (es *Estimator) meanOf(name string, now time.Time) float64 {
	sv := es.services[name]
	if now.Sub(sv.meanAt) < meanInterval {
		return sv.mean
	}
	sum, total := 0.0, 0.0
	for _, ta := range es.targets {
		if ta.service == name {
			value, weight := ta.estimate()
			sum, total = sum+weight*value, total+weight
		}
	}
	sv.mean, sv.meanAt = sum/max(total, 1), now
	return sv.mean
}

// Pace returns the estimated disturbance of a start of a target, which is 1 without any, and the age of the last stated pace.
// It is false if none was stated.
func (es *Estimator) Pace(ts balancer.Start, now time.Time) (float64, time.Duration, bool) {
	if !es.active.Load() {
		return 1, 0, false
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	ta := es.find(ts)
	if ta == nil || ta.paceAt.IsZero() {
		return 1, 0, false
	}
	return ta.disturbance(now), now.Sub(ta.paceAt), true
}

func (ta *target) disturbance(now time.Time) float64 {
	return PaceAfter(ta.pace, now.Sub(ta.paceAt))
}

// PaceAfter returns the expected disturbance at a given age of a stated pace. It approaches 1 linearly and reaches it at
// paceLifetime.
func PaceAfter(pace float64, age time.Duration) float64 {
	if age >= paceLifetime {
		return 1
	}
	return 1 + (pace-1)*(1-max(age, 0).Seconds()/paceLifetime.Seconds())
}

// Slowness returns how long work takes at a start of a target now, as a multiple of the usual in its service: speed times pace.
func (es *Estimator) Slowness(ts balancer.Start) float64 {
	if !es.active.Load() {
		return 1
	}
	now := time.Now()
	es.mu.Lock()
	defer es.mu.Unlock()
	ta := es.find(ts)
	if ta == nil {
		return 1
	}
	slowness := es.speed(ta, now)
	if !ta.paceAt.IsZero() {
		slowness *= ta.disturbance(now)
	}
	return slowness
}

// Remove deletes the state of a target that has been removed from the platform's list.
func (es *Estimator) Remove(id string) {
	es.mu.Lock()
	defer es.mu.Unlock()
	delete(es.targets, id)
}

// clamp limits the logarithm of a speed to the range of maxLogSpeed.
func clamp(log float64) float64 { return max(-maxLogSpeed, min(log, maxLogSpeed)) }
