package leaser

import (
	"slices"
	"time"

	"lovagebank/wire"
)

const (
	// successorCount is the number of successors that a record names.
	successorCount = 2
	// maxAsked is the most resources in one request for promises.
	maxAsked = 512
	// maxPromises bounds the promises that are kept; no more are given when it is reached.
	maxPromises = 1 << 16
	// asksPerPromise is how often a promise is renewed within its duration.
	asksPerPromise = 3
)

// promisedUntil returns the end of the earliest promise, if all successors have promised, within the hold time.
func (mc *machine) promisedUntil(rc *record) time.Time {
	hl := rc.hold
	if hl == nil || len(hl.need) == 0 {
		return time.Time{}
	}
	last := hl.lastLease
	if hl.session == mc.lease.session && hl.session != "" {
		last = mc.lease.deadline
	}
	until := last.Add(mc.timing.Hold - mc.timing.Hold/driftShare)
	for _, successor := range hl.need {
		if end := hl.promises[successor]; end.Before(until) {
			until = end
		}
	}
	return until
}

// stepPromises asks the successors while the store may be away.
func (mc *machine) stepPromises(now time.Time) {
	if mc.leaving {
		return
	}
	requests := make(map[string]*wire.PromiseRequest)
	for _, rc := range mc.records {
		if rc.hold == nil || rc.hold.surrendering || (rc.hold.session == mc.lease.session && !mc.doubtful(now)) {
			continue
		}
		for _, successor := range rc.hold.need {
			mc.addAsk(now, requests, successor, rc)
		}
	}
	for successor, request := range requests {
		state := mc.asks[successor]
		state.calling = true
		state.next = now.Add(mc.timing.Promise / asksPerPromise)
		mc.emit(askPromise{request})
	}
	for successor, state := range mc.asks {
		if !state.calling && state.next.Before(now) {
			delete(mc.asks, successor)
		}
	}
}

func (mc *machine) addAsk(now time.Time, requests map[string]*wire.PromiseRequest, successor string, rc *record) {
	state := mc.asks[successor]
	if state == nil {
		state = &ask{}
		mc.asks[successor] = state
	}
	if state.calling || now.Before(state.next) {
		return
	}
	request := requests[successor]
	if request == nil {
		request = &wire.PromiseRequest{
			Holder: mc.self, Successor: successor, DurationMs: mc.timing.Promise.Milliseconds(),
		}
		requests[successor] = request
	}
	if len(request.Resources) < maxAsked {
		request.Resources = append(request.Resources, rc.name)
		request.Fencing = append(request.Fencing, rc.hold.fencing)
	}
}

// answerPromise takes a successor's answer; no resources when the call failed.
func (mc *machine) answerPromise(now time.Time, an promiseAnswer) {
	if state := mc.asks[an.successor]; state != nil {
		state.calling = false
		if len(an.resources) == 0 {
			state.next = now.Add(mc.jitter(retryPause))
		}
	}
	end := an.sentAt.Add(mc.timing.Promise - mc.timing.Margin)
	for _, name := range an.resources {
		rc := mc.records[name]
		if rc == nil || rc.hold == nil || !slices.Contains(rc.hold.need, an.successor) {
			continue
		}
		if rc.hold.promises == nil {
			rc.hold.promises = make(map[string]time.Time, successorCount)
		}
		if end.After(rc.hold.promises[an.successor]) {
			rc.hold.promises[an.successor] = end
		}
		mc.changed[name] = true
	}
	mc.step(now)
}

// promise answers a holder that asks this instance, as a successor, not to take over for a while.
func (mc *machine) promise(now time.Time, request *wire.PromiseRequest) *wire.PromiseResponse {
	response := &wire.PromiseResponse{}
	duration := time.Duration(request.GetDurationMs()) * time.Millisecond
	if request.GetSuccessor() != mc.self || duration <= 0 || duration > mc.timing.Promise {
		return response
	}
	mc.prunePromises(now)
	for i, name := range request.GetResources() {
		if i >= len(request.GetFencing()) || !mc.mayPromise(name, request.GetHolder(), request.GetFencing()[i]) {
			continue
		}
		if end := now.Add(duration); end.After(mc.promises[name]) {
			mc.promises[name] = end
		}
		response.Resources = append(response.Resources, name)
	}
	return response
}

// mayPromise is false while this instance holds the resource or its own takeover is under way, also one whose answer
// was lost, and for a holder that is known to have been replaced.
func (mc *machine) mayPromise(name, holder string, fencing uint64) bool {
	if len(mc.promises) >= maxPromises {
		return false
	}
	rc := mc.records[name]
	if rc == nil {
		return true
	}
	if rc.hold != nil || (rc.write != nil && rc.write.kind == takeOver) {
		return false
	}
	stale := rc.known && rc.stored.index > 0 &&
		(fencing < rc.stored.record.GetFencing() || (fencing == rc.stored.record.GetFencing() && holder != rc.stored.record.GetHolder()))
	return !stale
}

func (mc *machine) prunePromises(now time.Time) {
	for name, end := range mc.promises {
		if !now.Before(end) {
			delete(mc.promises, name)
		}
	}
}
