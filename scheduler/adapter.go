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

// adapter is what the state knows of one adapter version that is on the target or has requests queued.
type adapter struct {
	model   string
	status  adapterStatus
	waiting []*item
	running int
	// foreign is the requests that run for others, by the last report.
	foreign int
	// demand counts requests, decaying.
	demand   float64
	demandAt time.Time
	// changed is the time of the last change of status that this holder made.
	changed   time.Time
	idleSince time.Time
	// unsureSince is when a request ended without the target's word that it no longer runs, or when the requests of a
	// holder before this one have begun at the latest.
	unsureSince time.Time
	// ordered tells that a load or unload order is in flight; reports don't correct the status meanwhile.
	ordered  bool
	failures int
	retryAt  time.Time
	// closing means that new requests are refused so that the slot becomes free.
	closing bool
}

func (ad *adapter) addDemand(now time.Time, halfLife time.Duration) {
	ad.demand = ad.demandNow(now, halfLife) + 1
	ad.demandAt = now
}

func (ad *adapter) demandNow(now time.Time, halfLife time.Duration) float64 {
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

// idle tells that no request is queued for the adapter or runs on it, as far as anyone knows.
func (ad *adapter) idle(now time.Time) bool {
	return ad.status == statusLoaded && ad.running == 0 && ad.foreign == 0 && len(ad.waiting) == 0 &&
		ad.unsureSince.IsZero() && now.Sub(ad.idleSince) >= evictLinger
}

// adapter returns the entry of a model, made where there was none.
func (st *state) adapter(model string) *adapter {
	ad := st.adapters[model]
	if ad == nil {
		ad = &adapter{model: model}
		st.adapters[model] = ad
	}
	return ad
}

// forget drops an entry that no longer says anything. An adapter that left stays known until a newer report has come,
// so that an older one can't bring it back.
func (st *state) forget(ad *adapter) {
	if ad.status == statusAbsent && ad.changed.Before(st.reports.at) && len(ad.waiting) == 0 && ad.running == 0 && !ad.ordered && ad.failures == 0 {
		delete(st.adapters, ad.model)
	}
}

func (st *state) setAbsent(ad *adapter, now time.Time) {
	ad.status, ad.changed, ad.closing, ad.foreign, ad.unsureSince = statusAbsent, now, false, 0, time.Time{}
	for _, it := range ad.waiting {
		if it.loadWaitFrom.IsZero() {
			it.loadWaitFrom = now
		}
	}
	st.forget(ad)
}

func (st *state) setLoaded(ad *adapter, now time.Time) {
	ad.status, ad.changed, ad.idleSince = statusLoaded, now, now
	ad.failures, ad.retryAt = 0, time.Time{}
	if len(ad.waiting) > 0 {
		st.estimates.waited(now.Sub(ad.waiting[0].arrived))
	}
	for _, it := range ad.waiting {
		if !it.loadWaitFrom.IsZero() {
			it.loadWait += now.Sub(it.loadWaitFrom)
			it.loadWaitFrom = time.Time{}
		}
	}
}
