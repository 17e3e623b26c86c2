package scheduler

import (
	"strings"
	"time"

	"lovagebank/invoker"
	"lovagebank/wire"
)

// reports holds what the state needs from the target's load reports. receivedAt is when the last one arrived and asOf
// is its own time; failedPolls counts the failures since.
type reports struct {
	seen        bool
	boot        string
	receivedAt  time.Time
	asOf        time.Time
	failedPolls int
	// awaited is the number of reports to receive before requests start again after a lost connection to the target.
	awaited int
}

// reportsAfterConnectionLoss is two because the first report may have been sent before the target crashed. A request
// that starts on a crashed target would be counted among those that ran at the time of the crash.
const reportsAfterConnectionLoss = 2

func (re *reports) lost() bool { return re.failedPolls >= lostAfterPolls }

// fresh reports whether requests may start on the basis of the reports. A holder needs one report; an instance that
// serves a target without a holder needs one of the last two poll intervals.
func (re *reports) fresh(now time.Time, interval time.Duration, held bool) bool {
	const maxIntervals = 2
	return re.seen && re.awaited == 0 && (held || now.Sub(re.receivedAt) <= maxIntervals*interval)
}

// applyReport updates the slots from a load report; a target that restarted lists none of its adapters. Changes that
// this holder made after the report's time are kept.
func (st *state) applyReport(load invoker.LoadReport, err error, now time.Time) {
	if err != nil {
		st.reports.failedPolls++
		return
	}
	awaited := max(st.reports.awaited-1, 0)
	if awaited > 0 {
		st.actions = append(st.actions, action{kind: actionPoll})
	}
	st.reports = reports{awaited: awaited, seen: true, boot: load.BootID(), receivedAt: now, asOf: load.At()}
	if load.Slots() > 0 {
		st.slots = load.Slots()
	}
	if load.MaxBatch() > 0 {
		st.batch = load.MaxBatch()
	}
	listed := map[string]bool{}
	for _, rep := range load.Adapters() {
		listed[rep.Name] = true
		st.applyAdapterReport(rep, load.At(), now)
	}
	for _, ad := range st.adapters {
		changedBefore := ad.changedAt.Before(load.At())
		if !listed[ad.model] && !ad.orderPending && ad.status != statusAbsent && changedBefore {
			st.setAbsent(ad, now)
		}
		if ad.loadFailures > 0 && now.Sub(ad.retryAt) > maxLoadBackoff {
			ad.loadFailures = 0
		}
		st.pruneAdapter(ad)
	}
}

// applyAdapterReport updates one adapter from a load report with the time asOf.
func (st *state) applyAdapterReport(rep invoker.AdapterReport, asOf, now time.Time) {
	ad := st.ensureAdapter(rep.Name)
	defer st.pruneAdapter(ad)
	if ad.orderPending || !ad.changedAt.Before(asOf) {
		return
	}
	switch {
	case rep.State == invoker.StateLoading:
		if ad.status != statusLoading {
			ad.status, ad.closing = statusLoading, false
		}
		return
	case ad.status != statusLoaded:
		st.setLoaded(ad, now)
		// Other instances may use an adapter that they loaded.
		ad.changedAt, ad.uncertainSince = asOf, st.lease.evictFrom
	}
	if ad.uncertainSince.Before(asOf) && rep.Running == 0 {
		ad.uncertainSince = time.Time{}
	}
	ad.foreignRunning = 0
	if ad.running == 0 && ad.idleSince.Before(asOf) {
		ad.foreignRunning = rep.Running
	}
}

// report returns the target's queue and slots for placement and operators.
func (st *state) report() *wire.TargetReport {
	tr := &wire.TargetReport{
		Target:  st.options.Target.GetId(),
		Holder:  st.options.Instance,
		Fencing: st.lease.fencing,
		Slots:   int32(st.slots),
		Running: int32(st.running),
		Queued:  int32(st.queued),
	}
	for _, ad := range st.adapters {
		if ad.status == statusAbsent && len(ad.waiting) == 0 {
			continue
		}
		name, version, _ := strings.Cut(ad.model, "@")
		tr.Adapters = append(tr.Adapters, &wire.SlotReport{
			Adapter: name, Version: version, Running: int32(ad.running), Queued: int32(len(ad.waiting)),
			State: statusNames[ad.status],
		})
	}
	return tr
}
