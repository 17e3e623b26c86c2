package loader

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds on one request's attempts.
const (
	// resends is how often a caller sends a request again that broke or may have run.
	resends = 4
	// resendPause is the time between a request's attempts.
	resendPause = 250 * time.Millisecond
	// deadlineGrace is what a request gets beyond its deadline, for all its attempts, before its caller gives up.
	deadlineGrace = 25 * time.Second
	// maxConnections is the connections to each instance that are kept for later requests.
	maxConnections = 256
)

// Result is what became of an arrival.
type Result struct {
	Arrival *Arrival
	Outcome Outcome
	// Code is the last refusal's reason, Detail its words or what was wrong.
	Code   string
	Detail string
	// FirstToken and Total are the times from arrival to the first token and to the end of the answer.
	FirstToken time.Duration
	Total      time.Duration
	// Attempts counts the calls, and Broken those without a whole answer.
	Attempts int
	CutOff   int
	// CutOffReasons tells of each broken attempt why it ended.
	CutOffReasons []string
	// OnlyNotRun is true while every attempt was refused as not run.
	OnlyNotRun bool
}

// DriverOptions describes a driver.
type DriverOptions struct {
	// URLs are the callers' addresses of the instances.
	URLs []string
	// SwitchFault switches a stand-in's fault; without it faults are left out.
	SwitchFault func(ctx context.Context, event FaultEvent) error
	// Progress is told of the finished and issued requests now and then.
	Progress func(at time.Duration, issued, finished int)
}

// Driver sends arrivals at their times, however slowly answers come.
type Driver struct {
	options  DriverOptions
	balancer *balancer
	client   *http.Client

	mu       sync.Mutex
	results  []Result
	finished int
}

// NewDriver makes a driver for one run.
func NewDriver(options DriverOptions) *Driver {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections}
	return &Driver{options: options, balancer: newBalancer(options.URLs), client: &http.Client{Transport: transport}}
}

// Run drives all arrivals and returns their results, ordered as the arrivals are.
func (dr *Driver) Run(ctx context.Context, sc *Scenario, arrivals []*Arrival) []Result {
	ctx, cancel := context.WithCancel(ctx)
	go dr.balancer.run(ctx)
	defer func() {
		cancel()
		<-dr.balancer.done
		dr.client.CloseIdleConnections()
	}()
	dr.results = make([]Result, len(arrivals))
	began := time.Now()
	var running sync.WaitGroup
	running.Go(func() { dr.switchFaults(ctx, began, sc.Faults) })
	var requests sync.WaitGroup
	told := began
	for _, ar := range arrivals {
		if err := sleepUntil(ctx, began.Add(ar.At)); err != nil {
			break
		}
		requests.Go(func() { dr.finish(dr.request(ctx, ar)) })
		if time.Since(told) > progressPeriod {
			told = time.Now()
			dr.tell(time.Since(began), ar.Number+1)
		}
	}
	requests.Wait()
	running.Wait()
	return dr.results
}

// progressPeriod is how often a long run tells how far it is.
const progressPeriod = 5 * time.Second

func (dr *Driver) tell(at time.Duration, issued int) {
	dr.mu.Lock()
	finished := dr.finished
	dr.mu.Unlock()
	if dr.options.Progress != nil {
		dr.options.Progress(at, issued, finished)
	}
}

func (dr *Driver) finish(result Result) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.results[result.Arrival.Number] = result
	dr.finished++
}

// request carries one arrival to its end. One that is sent twice counts as done when either call is, and as wrong when
// either is.
func (dr *Driver) request(ctx context.Context, ar *Arrival) Result {
	if !ar.SentTwice {
		return dr.insist(ctx, ar)
	}
	second := make(chan Result, 1)
	go func() { second <- dr.insist(ctx, ar) }()
	one, two := dr.insist(ctx, ar), <-second
	if two.Outcome == OutcomeWrong || (one.Outcome != OutcomeDone && one.Outcome != OutcomeWrong) {
		one, two = two, one
	}
	one.Attempts += two.Attempts
	one.CutOff += two.CutOff
	one.CutOffReasons = append(one.CutOffReasons, two.CutOffReasons...)
	one.OnlyNotRun = one.OnlyNotRun && two.OnlyNotRun
	return one
}

// insist sends an arrival until it has a final answer: a refusal that says "not run" is one, as the caller was told.
func (dr *Driver) insist(ctx context.Context, ar *Arrival) Result {
	ctx, cancel := context.WithTimeout(ctx, ar.Deadline()+deadlineGrace)
	defer cancel()
	began := time.Now()
	result := Result{Arrival: ar, OnlyNotRun: true}
	for {
		at := dr.send(ctx, ar)
		result.Attempts++
		result.Outcome, result.Code, result.Detail = at.verdict, at.code, at.detail
		result.OnlyNotRun = result.OnlyNotRun && at.verdict == OutcomeNotRun
		result.FirstToken, result.Total = at.first.Sub(began), time.Since(began)
		if at.cut {
			result.CutOff++
			result.CutOffReasons = append(result.CutOffReasons, strings.TrimSpace(at.code+" "+at.detail))
		}
		final := at.verdict == OutcomeDone || at.verdict == OutcomeNotRun || at.verdict == OutcomeWrong
		if final || result.Attempts > resends || sleepUntil(ctx, time.Now().Add(resendPause)) != nil {
			return result
		}
	}
}

// switchFaults switches the scenario's faults at their times.
func (dr *Driver) switchFaults(ctx context.Context, began time.Time, events []FaultEvent) {
	if dr.options.SwitchFault == nil {
		return
	}
	var all sync.WaitGroup
	for _, event := range events {
		all.Go(func() {
			if err := sleepUntil(ctx, began.Add(event.At)); err != nil {
				return
			}
			if err := dr.options.SwitchFault(ctx, event); err != nil || event.For == 0 {
				return
			}
			_ = sleepUntil(ctx, began.Add(event.At+event.For))
			// The fault ends with the run at the latest, so that the next run finds the fleet whole.
			_ = dr.options.SwitchFault(context.WithoutCancel(ctx), FaultEvent{Standin: event.Standin, Kind: event.Kind, Text: event.undoText()})
		})
	}
	all.Wait()
}

// undoText returns the text that switches the fault off: that of a cut-off names whom it concerns.
func (fe FaultEvent) undoText() string {
	if fe.On {
		return fe.Text
	}
	return ""
}

// sleepUntil waits for a moment or the end of a context.
func sleepUntil(ctx context.Context, moment time.Time) error {
	timer := time.NewTimer(time.Until(moment))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
