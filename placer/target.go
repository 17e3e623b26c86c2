package placer

import (
	"math"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

const (
	// reportMaxAge is the age from which a holder's report is no longer counted.
	reportMaxAge = 10 * time.Second
	// ejectAfter is the number of failures in a row after which a target is left out for a while.
	ejectAfter      = 3
	firstEjection   = 2 * time.Second
	maxEjection     = 30 * time.Second
	tokenTimeWeight = 0.1
	defaultBatch    = 8
)

// targetState is what an instance knows of one target's load.
type targetState struct {
	target   *wire.Target
	inFlight int
	// reported is the running and queued requests by the holder, of which reportedOwn were this instance's.
	reported    int
	reportedOwn int
	reportedAt  time.Time
	resident    map[adapterKey]struct{}
	// pinned is the reported number of adapter slots in use.
	pinned int

	// waits is the time that requests of an organisation lately waited here.
	waits map[string]wait

	failures     int
	ejections    int
	ejectedUntil time.Time
	// tokenTime is the mean seconds for one token of one request.
	tokenTime float64
}

func newTargetState(tg *wire.Target) *targetState {
	return &targetState{target: tg, resident: map[adapterKey]struct{}{}, waits: map[string]wait{}}
}

// load returns the requests on the target by the capacity of its batch.
func (ts *targetState) load(now time.Time) float64 {
	requests := ts.inFlight
	if now.Sub(ts.reportedAt) < reportMaxAge {
		requests = max(requests, ts.reported+ts.inFlight-ts.reportedOwn)
	}
	return float64(requests) / float64(ts.batch())
}

// slotPressure returns the part of the adapter slots that were in use, or wanted by waiting requests.
func (ts *targetState) slotPressure(now time.Time) float64 {
	slots := int(ts.target.GetSlots())
	if slots == 0 || now.Sub(ts.reportedAt) >= reportMaxAge {
		return 0
	}
	return float64(ts.pinned) / float64(slots)
}

func (ts *targetState) batch() int {
	if batch := int(ts.target.GetBatch()); batch > 0 {
		return batch
	}
	return defaultBatch
}

func (ts *targetState) observe(report *wire.TargetReport, now time.Time) {
	ts.reported = int(report.GetRunning() + report.GetQueued())
	ts.reportedOwn = ts.inFlight
	ts.reportedAt = now
	ts.pinned = 0
	clear(ts.resident)
	for _, slot := range report.GetAdapters() {
		if slot.GetRunning()+slot.GetQueued() > 0 {
			ts.pinned++
		}
		if slot.GetState() == "loaded" || slot.GetState() == "loading" {
			ts.resident[adapterKey{slot.GetAdapter(), slot.GetVersion()}] = struct{}{}
		}
	}
}

func (ts *targetState) succeeded(key adapterKey, us requester.Usage, ran time.Duration) {
	ts.failures, ts.ejections = 0, 0
	ts.resident[key] = struct{}{}
	if us.GeneratedTokens() == 0 {
		return
	}
	perToken := ran.Seconds() / float64(us.GeneratedTokens())
	if ts.tokenTime == 0 {
		ts.tokenTime = perToken
	}
	ts.tokenTime += tokenTimeWeight * (perToken - ts.tokenTime)
}

// failed counts a failure; several in a row eject the target, longer each time.
func (ts *targetState) failed(now time.Time) {
	ts.failures++
	if ts.failures < ejectAfter || now.Before(ts.ejectedUntil) {
		return
	}
	ts.ejectedUntil = now.Add(min(firstEjection<<min(ts.ejections, 8), maxEjection))
	ts.ejections++
	ts.failures = 0
	clear(ts.resident)
}

const (
	// waitFade is the time constant at which what is known of a wait loses its weight.
	waitFade   = 5 * time.Second
	waitWeight = 0.3
	// maxWaits bounds the organisations whose waits are kept for one target.
	maxWaits = 64
)

// wait is a running mean in seconds, as of a time.
type wait struct {
	mean float64
	at   time.Time
}

// waitOf returns the wait that an organisation can expect here, in seconds; it fades when nothing is heard.
func (ts *targetState) waitOf(organisation string, now time.Time) float64 {
	wt := ts.waits[organisation]
	if wt.mean == 0 {
		return 0
	}
	return wt.mean * math.Exp(-now.Sub(wt.at).Seconds()/waitFade.Seconds())
}

func (ts *targetState) waited(organisation string, took time.Duration, now time.Time) {
	if len(ts.waits) >= maxWaits {
		clear(ts.waits)
	}
	mean := ts.waitOf(organisation, now)
	ts.waits[organisation] = wait{mean + waitWeight*(took.Seconds()-mean), now}
}
