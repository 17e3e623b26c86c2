package loader

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The limits on the attempts of one request.
const (
	// maxResends is the maximum number of times that a caller resends a request whose answer was cut off or never
	// arrived, or whose refusal does not state that it did not run.
	maxResends = 4
	// resendDelay is the time between two attempts of a request.
	resendDelay = 250 * time.Millisecond
	// deadlineGrace is the time after its deadline at which the caller gives up a request, over all its attempts.
	deadlineGrace = 25 * time.Second
	// maxIdleConnsPerInstance is the maximum number of idle connections kept open to each instance.
	maxIdleConnsPerInstance = 256
)

// Result is the result of one arrival over all its attempts.
type Result struct {
	Arrival *Arrival
	Outcome Outcome
	// Code is the error code of the last refusal. Detail is its message, or describes the error.
	Code   string
	Detail string
	// FirstToken and Total are the times from the arrival to the first token and to the end of the answer.
	FirstToken time.Duration
	Total      time.Duration
	// Attempts counts the calls, and CutOff the calls whose answer was cut off or never arrived.
	Attempts int
	CutOff   int
	// CutOffReasons holds the reason for each attempt counted by CutOff.
	CutOffReasons []string
	// OnlyNotRun reports whether every attempt was refused as not run.
	OnlyNotRun bool
}

// DriverOptions configures a Driver.
type DriverOptions struct {
	// URLs are the base URLs of the instances for callers.
	URLs []string
	// SwitchFault applies a fault of a stand-in. If it is nil, the driver skips the faults of the scenario.
	SwitchFault func(ctx context.Context, event FaultEvent) error
	// Progress, if set, is called about every 5 seconds with the time since the start of the run and the numbers of
	// issued and finished requests.
	Progress func(at time.Duration, issued, finished int)
}

// Driver sends each arrival at its scheduled time, regardless of pending answers (an open loop).
type Driver struct {
	options  DriverOptions
	balancer *balancer
	client   *http.Client

	mu       sync.Mutex
	results  []Result
	finished int
}

// NewDriver returns a Driver for one run.
func NewDriver(options DriverOptions) *Driver {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerInstance}
	return &Driver{options: options, balancer: newBalancer(options.URLs), client: &http.Client{Transport: transport}}
}

// Run sends all arrivals and returns their results in the same order. If the context ends early, the results of
// arrivals that were not sent are zero.
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
	var faults sync.WaitGroup
	faults.Go(func() { dr.switchFaults(ctx, began, sc.Faults) })
	var requests sync.WaitGroup
	lastProgress := began
	for _, ar := range arrivals {
		if err := sleepUntil(ctx, began.Add(ar.At)); err != nil {
			break
		}
		requests.Go(func() { dr.record(dr.request(ctx, ar)) })
		if time.Since(lastProgress) > progressPeriod {
			lastProgress = time.Now()
			dr.reportProgress(time.Since(began), ar.Number+1)
		}
	}
	requests.Wait()
	faults.Wait()
	return dr.results
}

// progressPeriod is the minimum time between two progress reports of a run.
const progressPeriod = 5 * time.Second

func (dr *Driver) reportProgress(at time.Duration, issued int) {
	dr.mu.Lock()
	finished := dr.finished
	dr.mu.Unlock()
	if dr.options.Progress != nil {
		dr.options.Progress(at, issued, finished)
	}
}

func (dr *Driver) record(result Result) {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.results[result.Arrival.Number] = result
	dr.finished++
}

// request sends one arrival until it is final. An arrival that is sent twice is wrong if either result is wrong, and
// otherwise done if either result is done.
func (dr *Driver) request(ctx context.Context, ar *Arrival) Result {
	if !ar.SentTwice {
		return dr.sendUntilFinal(ctx, ar)
	}
	second := make(chan Result, 1)
	go func() { second <- dr.sendUntilFinal(ctx, ar) }()
	one, two := dr.sendUntilFinal(ctx, ar), <-second
	if two.Outcome == OutcomeWrong || (one.Outcome != OutcomeDone && one.Outcome != OutcomeWrong) {
		one, two = two, one
	}
	one.Attempts += two.Attempts
	one.CutOff += two.CutOff
	one.CutOffReasons = append(one.CutOffReasons, two.CutOffReasons...)
	one.OnlyNotRun = one.OnlyNotRun && two.OnlyNotRun
	return one
}

// sendUntilFinal sends an arrival until it has a final answer, the resends are used up or the caller gives up. A
// refusal as not run is final, because the caller knows that the request did not run.
func (dr *Driver) sendUntilFinal(ctx context.Context, ar *Arrival) Result {
	ctx, cancel := context.WithTimeout(ctx, ar.Deadline()+deadlineGrace)
	defer cancel()
	began := time.Now()
	result := Result{Arrival: ar, OnlyNotRun: true}
	for {
		at := dr.send(ctx, ar)
		result.Attempts++
		result.Outcome, result.Code, result.Detail = at.outcome, at.code, at.detail
		result.OnlyNotRun = result.OnlyNotRun && at.outcome == OutcomeNotRun
		result.FirstToken, result.Total = at.firstTokenAt.Sub(began), time.Since(began)
		if at.cutOff {
			result.CutOff++
			result.CutOffReasons = append(result.CutOffReasons, strings.TrimSpace(at.code+" "+at.detail))
		}
		final := at.outcome == OutcomeDone || at.outcome == OutcomeNotRun || at.outcome == OutcomeWrong
		if final || result.Attempts > maxResends || sleepUntil(ctx, time.Now().Add(resendDelay)) != nil {
			return result
		}
	}
}

// switchFaults switches the faults of the scenario on and off at their times.
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
			// The fault is switched off at the end of the run at the latest, so that the next run starts without
			// faults.
			_ = dr.options.SwitchFault(context.WithoutCancel(ctx), FaultEvent{Standin: event.Standin, Kind: event.Kind, Text: event.undoText()})
		})
	}
	all.Wait()
}

// undoText returns the text of the event that switches the fault off. A fault that was switched on keeps its text,
// because the text of a cut-off names the caller that is cut off.
func (fe FaultEvent) undoText() string {
	if fe.On {
		return fe.Text
	}
	return ""
}

// sleepUntil waits until a point in time, or returns the error of the context if that ends first.
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
