package placer

import (
	"math"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

const (
	// reportMaxAge is the age from which a holder's report is ignored.
	reportMaxAge = 10 * time.Second
	// ejectAfter is the number of consecutive failures after which a target is ejected for a time.
	ejectAfter      = 3
	firstEjection   = 2 * time.Second
	maxEjection     = 30 * time.Second
	tokenTimeWeight = 0.1
	defaultBatch    = 8
)

// targetState is the load and health of one target as this instance knows it.
type targetState struct {
	target   *wire.Target
	inFlight int
	// reported is the number of running and queued requests in the holder's report. reportedOwn is the number of this
	// instance's requests in flight at that time.
	reported    int
	reportedOwn int
	reportedAt  time.Time
	resident    map[adapterKey]struct{}
	// pinnedSlots is the reported number of adapter slots in use.
	pinnedSlots int

	// waits maps organisations to the recent mean wait of their requests on the target.
	waits map[string]wait

	failures     int
	ejections    int
	ejectedUntil time.Time
	// tokenTime is the mean time for one token of one request, in seconds.
	tokenTime float64
}

func newTargetState(tg *wire.Target) *targetState {
	return &targetState{target: tg, resident: map[adapterKey]struct{}{}, waits: map[string]wait{}}
}

// load returns the number of requests on the target divided by its batch size.
func (ts *targetState) load(now time.Time) float64 {
	requests := ts.inFlight
	if now.Sub(ts.reportedAt) < reportMaxAge {
		requests = max(requests, ts.reported+ts.inFlight-ts.reportedOwn)
	}
	return float64(requests) / float64(ts.batch())
}

// slotPressure returns the share of the adapter slots that were in use, or needed by queued requests.
func (ts *targetState) slotPressure(now time.Time) float64 {
	slots := int(ts.target.GetSlots())
	if slots == 0 || now.Sub(ts.reportedAt) >= reportMaxAge {
		return 0
	}
	return float64(ts.pinnedSlots) / float64(slots)
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
	ts.pinnedSlots = 0
	clear(ts.resident)
	for _, slot := range report.GetAdapters() {
		if slot.GetRunning()+slot.GetQueued() > 0 {
			ts.pinnedSlots++
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

// failed counts a failure. ejectAfter consecutive failures eject the target, each time for longer.
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
	// waitDecayTime is the time constant with which a recorded wait decays.
	waitDecayTime = 5 * time.Second
	waitWeight    = 0.3
	// maxWaits bounds the number of organisations whose waits are stored for one target.
	maxWaits = 64
)

// wait is a running mean in seconds, valid at the given time.
type wait struct {
	mean float64
	at   time.Time
}

// expectedWait returns the wait that an organisation can expect on the target, in seconds. It decays while no new wait
// is recorded.
func (ts *targetState) expectedWait(organisation string, now time.Time) float64 {
	wt := ts.waits[organisation]
	if wt.mean == 0 {
		return 0
	}
	return wt.mean * math.Exp(-now.Sub(wt.at).Seconds()/waitDecayTime.Seconds())
}

func (ts *targetState) recordWait(organisation string, took time.Duration, now time.Time) {
	if len(ts.waits) >= maxWaits {
		clear(ts.waits)
	}
	mean := ts.expectedWait(organisation, now)
	ts.waits[organisation] = wait{mean + waitWeight*(took.Seconds()-mean), now}
}
