package scheduler

import (
	"math"
	"slices"
	"time"
)

type adapterStatus int

const (
	statusAbsent adapterStatus = iota
	statusLoading
	statusLoaded
	statusUnloading
)

var statusNames = map[adapterStatus]string{
	statusAbsent: "absent", statusLoading: "loading", statusLoaded: "loaded", statusUnloading: "unloading",
}

// adapter is the state of one adapter version that is on the target or has queued requests.
type adapter struct {
	model   string
	status  adapterStatus
	waiting []*item
	running int
	// foreignRunning is the number of running requests that other instances started, from the last load report.
	foreignRunning int
	// demand is the exponentially decaying count of requests, as of demandAt.
	demand   float64
	demandAt time.Time
	// changedAt is when this holder last changed the status.
	changedAt time.Time
	idleSince time.Time
	// uncertainSince is set while the target may run requests of the adapter that this holder does not count. It is the
	// time when a request ended without confirmation that the target stopped it, or the latest time when a request of
	// the previous holder can have started.
	uncertainSince time.Time
	// orderPending is set while a load or unload order is in flight. Load reports do not change the status until it
	// ends.
	orderPending bool
	loadFailures int
	retryAt      time.Time
	// closing is set while new requests are refused so that the slot becomes free.
	closing bool
}

func (ad *adapter) addDemand(now time.Time, halfLife time.Duration) {
	ad.demand = ad.decayedDemand(now, halfLife) + 1
	ad.demandAt = now
}

func (ad *adapter) decayedDemand(now time.Time, halfLife time.Duration) float64 {
	if ad.demand == 0 {
		return 0
	}
	return ad.demand * math.Exp2(-now.Sub(ad.demandAt).Seconds()/halfLife.Seconds())
}

func (ad *adapter) removeWaiting(it *item) {
	if at := slices.Index(ad.waiting, it); at >= 0 {
		ad.waiting = slices.Delete(ad.waiting, at, at+1)
	}
}

// idle reports whether the adapter may be evicted: it is loaded, no request is queued for it, runs on it or may
// still run on it, and its last request ended at least idleBeforeEviction ago.
func (ad *adapter) idle(now time.Time) bool {
	return ad.status == statusLoaded && ad.running == 0 && ad.foreignRunning == 0 && len(ad.waiting) == 0 &&
		ad.uncertainSince.IsZero() && now.Sub(ad.idleSince) >= idleBeforeEviction
}

// ensureAdapter returns the entry of a model and creates it if there is none.
func (st *state) ensureAdapter(model string) *adapter {
	ad := st.adapters[model]
	if ad == nil {
		ad = &adapter{model: model}
		st.adapters[model] = ad
	}
	return ad
}

// pruneAdapter deletes an entry that holds no information. The entry of an unloaded adapter stays until a newer load
// report has arrived, so that an older report does not add the adapter again.
func (st *state) pruneAdapter(ad *adapter) {
	if ad.status == statusAbsent && ad.changedAt.Before(st.reports.asOf) && len(ad.waiting) == 0 &&
		ad.running == 0 && !ad.orderPending && ad.loadFailures == 0 {
		delete(st.adapters, ad.model)
	}
}

func (st *state) setAbsent(ad *adapter, now time.Time) {
	ad.status, ad.changedAt, ad.closing, ad.foreignRunning, ad.uncertainSince = statusAbsent, now, false, 0, time.Time{}
	for _, it := range ad.waiting {
		if it.loadWaitSince.IsZero() {
			it.loadWaitSince = now
		}
	}
	st.pruneAdapter(ad)
}

func (st *state) setLoaded(ad *adapter, now time.Time) {
	ad.status, ad.changedAt, ad.idleSince = statusLoaded, now, now
	ad.loadFailures, ad.retryAt = 0, time.Time{}
	if len(ad.waiting) > 0 {
		st.estimates.recordSlotWait(now.Sub(ad.waiting[0].arrivedAt))
	}
	for _, it := range ad.waiting {
		if !it.loadWaitSince.IsZero() {
			it.loadWait += now.Sub(it.loadWaitSince)
			it.loadWaitSince = time.Time{}
		}
	}
}
