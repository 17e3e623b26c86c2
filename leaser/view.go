package leaser

import (
	"sync"
	"time"
)

// view is what other goroutines see of the machine's state.
type view struct {
	mu      sync.RWMutex
	session string
	lease   time.Time
	records map[string]viewed
}

// viewed is one resource in the view.
type viewed struct {
	holder  string
	held    bool
	fencing uint64
	session string
	// promised is the end of the successors' promises.
	promised time.Time
}

// publish brings the view up to the machine's state. It comes before the effects of the same step, so that nothing is
// handed over while others still see it as held.
func (vw *view) publish(mc *machine) {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	vw.session, vw.lease = mc.lease.session, mc.lease.deadline
	for name := range mc.changed {
		if rc := mc.records[name]; rc != nil {
			vw.records[name] = mc.viewOf(rc)
		} else {
			delete(vw.records, name)
		}
	}
	clear(mc.changed)
}

func (mc *machine) viewOf(rc *record) viewed {
	vd := viewed{holder: mc.holderOf(rc)}
	if hl := rc.hold; hl != nil && !hl.surrendering {
		vd.held, vd.fencing, vd.session, vd.promised = true, hl.fencing, hl.session, mc.promisedUntil(rc)
	}
	return vd
}

// holderOf returns the likely holder.
func (mc *machine) holderOf(rc *record) string {
	switch {
	case rc.hold != nil && !rc.hold.surrendering:
		return mc.self
	case rc.hint != "":
		return rc.hint
	case rc.hold == nil && rc.stored.record.GetHolder() != "":
		return rc.stored.record.GetHolder()
	}
	for _, candidate := range rc.candidates {
		if rc.hold == nil || candidate != mc.self {
			return candidate
		}
	}
	return ""
}

func (vw *view) holds(name string, now time.Time) (fencing uint64, until time.Time, ok bool) {
	vw.mu.RLock()
	defer vw.mu.RUnlock()
	vd := vw.records[name]
	if !vd.held {
		return 0, time.Time{}, false
	}
	until = vd.promised
	if vd.session != "" && vd.session == vw.session {
		until = latest(until, vw.lease)
	}
	return vd.fencing, until, now.Before(until)
}

func (vw *view) holder(name string) (string, bool) {
	vw.mu.RLock()
	defer vw.mu.RUnlock()
	holder := vw.records[name].holder
	return holder, holder != ""
}

// held lists the resources that this instance holds, with their fencing numbers.
func (vw *view) held() map[string]uint64 {
	vw.mu.RLock()
	defer vw.mu.RUnlock()
	held := make(map[string]uint64)
	for name, vd := range vw.records {
		if vd.held {
			held[name] = vd.fencing
		}
	}
	return held
}
