package scheduler

import (
	"strings"
	"time"

	"lovagebank/invoker"
	"lovagebank/wire"
)

// reports is what the state knows of the target's load reports.
type reports struct {
	seen   bool
	boot   string
	got    time.Time
	at     time.Time
	failed int
	// doubts is the reports to come before requests are started again, after a connection to the target was lost.
	doubts int
}

// doubtedReports is two because the first one may have been on its way before the target died. A request that is started
// on a dead target would be taken for one that was there at the death.
const doubtedReports = 2

func (re *reports) lost() bool { return re.failed >= lostAfterPolls }

// fresh tells whether requests may be started on what the reports say. A holder needs one report; an instance that
// serves a target without a holder needs a recent one.
func (re *reports) fresh(now time.Time, interval time.Duration, held bool) bool {
	const missed = 2
	return re.seen && re.doubts == 0 && (held || now.Sub(re.got) <= missed*interval)
}

// reported corrects the slots by a load report; a target that restarted lists none of its adapters. What this holder
// changed after the report's time stands.
func (st *state) reported(load invoker.Load, err error, now time.Time) {
	if err != nil {
		st.reports.failed++
		return
	}
	doubts := max(st.reports.doubts-1, 0)
	if doubts > 0 {
		st.actions = append(st.actions, action{kind: actionPoll})
	}
	st.reports = reports{doubts: doubts, seen: true, boot: load.Boot(), got: now, at: load.At()}
	if load.Slots() > 0 {
		st.slots = load.Slots()
	}
	if load.Batch() > 0 {
		st.batch = load.Batch()
	}
	listed := map[string]bool{}
	for _, rep := range load.Adapters() {
		listed[rep.Name] = true
		st.correct(rep, load.At(), now)
	}
	for _, ad := range st.adapters {
		older := ad.changed.Before(load.At())
		if !listed[ad.model] && !ad.ordered && ad.status != statusAbsent && older {
			st.setAbsent(ad, now)
		}
		if ad.failures > 0 && now.Sub(ad.retryAt) > maxLoadBackoff {
			ad.failures = 0
		}
		st.forget(ad)
	}
}

// correct takes one adapter of a report.
func (st *state) correct(rep invoker.AdapterReport, at, now time.Time) {
	ad := st.adapter(rep.Name)
	defer st.forget(ad)
	if ad.ordered || !ad.changed.Before(at) {
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
		// Others may use what they had loaded.
		ad.changed, ad.unsureSince = at, st.hold.settled
	}
	if ad.unsureSince.Before(at) && rep.Running == 0 {
		ad.unsureSince = time.Time{}
	}
	ad.foreign = 0
	if ad.running == 0 && ad.idleSince.Before(at) {
		ad.foreign = rep.Running
	}
}

// report describes the target for placement and operators.
func (st *state) report() *wire.TargetReport {
	tr := &wire.TargetReport{
		Target:  st.options.Target.GetId(),
		Holder:  st.options.Instance,
		Fencing: st.hold.fencing,
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
