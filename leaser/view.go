package leaser

import (
	"sync"
	"time"
)

// view is the part of the machine's state that other goroutines can read.
type view struct {
	mu            sync.RWMutex
	session       string
	leaseDeadline time.Time
	records       map[string]viewEntry
}

// viewEntry is the state of one resource in the view.
type viewEntry struct {
	holder  string
	held    bool
	fencing uint64
	session string
	// promisedUntil is the end of the successors' promises.
	promisedUntil time.Time
}

// publish updates the view from the machine's state. It must be called before the effects of the same step are
// performed, so that no resource is handed over while other goroutines still see it as held.
func (vw *view) publish(mc *machine) {
	vw.mu.Lock()
	defer vw.mu.Unlock()
	vw.session, vw.leaseDeadline = mc.lease.session, mc.lease.deadline
	for name := range mc.changed {
		if rc := mc.records[name]; rc != nil {
			vw.records[name] = mc.viewEntryOf(rc)
		} else {
			delete(vw.records, name)
		}
	}
	clear(mc.changed)
}

func (mc *machine) viewEntryOf(rc *record) viewEntry {
	ve := viewEntry{holder: mc.holderOf(rc)}
	if hl := rc.hold; hl != nil && !hl.releasing {
		ve.held, ve.fencing, ve.session, ve.promisedUntil = true, hl.fencing, hl.session, mc.promisedUntil(rc)
	}
	return ve
}

// holderOf returns the likely holder.
func (mc *machine) holderOf(rc *record) string {
	switch {
	case rc.hold != nil && !rc.hold.releasing:
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
	ve := vw.records[name]
	if !ve.held {
		return 0, time.Time{}, false
	}
	until = ve.promisedUntil
	if ve.session != "" && ve.session == vw.session {
		until = latest(until, vw.leaseDeadline)
	}
	return ve.fencing, until, now.Before(until)
}

func (vw *view) holder(name string) (string, bool) {
	vw.mu.RLock()
	defer vw.mu.RUnlock()
	holder := vw.records[name].holder
	return holder, holder != ""
}

// held returns the resources that this instance holds, with their fencing numbers.
func (vw *view) held() map[string]uint64 {
	vw.mu.RLock()
	defer vw.mu.RUnlock()
	held := make(map[string]uint64)
	for name, ve := range vw.records {
		if ve.held {
			held[name] = ve.fencing
		}
	}
	return held
}
