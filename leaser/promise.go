package leaser

import (
	"slices"
	"time"

	"lovagebank/wire"
)

const (
	// successorCount is the number of successors that a record names.
	successorCount = 2
	// maxResourcesPerRequest is the maximum number of resources in one promise request.
	maxResourcesPerRequest = 512
	// maxPromises is the maximum number of promises that an instance keeps; at this limit it gives no more.
	maxPromises = 1 << 16
	// requestsPerPromise is how many times a promise is requested again within its duration.
	requestsPerPromise = 3
)

// promisedUntil returns the end of the earliest promise if all required successors have promised, bounded by the hold
// time.
func (mc *machine) promisedUntil(rc *record) time.Time {
	hl := rc.hold
	if hl == nil || len(hl.requiredSuccessors) == 0 {
		return time.Time{}
	}
	last := hl.lastLeaseDeadline
	if hl.session == mc.lease.session && hl.session != "" {
		last = mc.lease.deadline
	}
	until := last.Add(mc.timing.Hold - mc.timing.Hold/driftDivisor)
	for _, successor := range hl.requiredSuccessors {
		if end := hl.promises[successor]; end.Before(until) {
			until = end
		}
	}
	return until
}

// stepPromises requests promises from the successors while the store may be unavailable.
func (mc *machine) stepPromises(now time.Time) {
	if mc.leaving {
		return
	}
	requests := make(map[string]*wire.PromiseRequest)
	for _, rc := range mc.records {
		if rc.hold == nil || rc.hold.releasing || (rc.hold.session == mc.lease.session && !mc.renewalOverdue(now)) {
			continue
		}
		for _, successor := range rc.hold.requiredSuccessors {
			mc.addToRequest(now, requests, successor, rc)
		}
	}
	for successor, request := range requests {
		state := mc.requestStates[successor]
		state.pending = true
		state.nextAttempt = now.Add(mc.timing.Promise / requestsPerPromise)
		mc.emit(requestPromise{request})
	}
	for successor, state := range mc.requestStates {
		if !state.pending && state.nextAttempt.Before(now) {
			delete(mc.requestStates, successor)
		}
	}
}

func (mc *machine) addToRequest(now time.Time, requests map[string]*wire.PromiseRequest, successor string, rc *record) {
	state := mc.requestStates[successor]
	if state == nil {
		state = &promiseRequestState{}
		mc.requestStates[successor] = state
	}
	if state.pending || now.Before(state.nextAttempt) {
		return
	}
	request := requests[successor]
	if request == nil {
		request = &wire.PromiseRequest{
			Holder: mc.self, Successor: successor, DurationMs: mc.timing.Promise.Milliseconds(),
		}
		requests[successor] = request
	}
	if len(request.Resources) < maxResourcesPerRequest {
		request.Resources = append(request.Resources, rc.name)
		request.Fencing = append(request.Fencing, rc.hold.fencing)
	}
}

// handlePromiseResult records the promises of a successor. The result has no resources if the call failed.
func (mc *machine) handlePromiseResult(now time.Time, res promiseResult) {
	if state := mc.requestStates[res.successor]; state != nil {
		state.pending = false
		if len(res.resources) == 0 {
			state.nextAttempt = now.Add(mc.jitter(retryPause))
		}
	}
	end := res.sentAt.Add(mc.timing.Promise - mc.timing.Margin)
	for _, name := range res.resources {
		rc := mc.records[name]
		if rc == nil || rc.hold == nil || !slices.Contains(rc.hold.requiredSuccessors, res.successor) {
			continue
		}
		if rc.hold.promises == nil {
			rc.hold.promises = make(map[string]time.Time, successorCount)
		}
		if end.After(rc.hold.promises[res.successor]) {
			rc.hold.promises[res.successor] = end
		}
		mc.changed[name] = true
	}
	mc.step(now)
}

// givePromises answers a holder that requests this instance, as a successor, not to take over for a given time.
func (mc *machine) givePromises(now time.Time, request *wire.PromiseRequest) *wire.PromiseResponse {
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
		if end := now.Add(duration); end.After(mc.givenPromises[name]) {
			mc.givenPromises[name] = end
		}
		response.Resources = append(response.Resources, name)
	}
	return response
}

// mayPromise returns false while this instance holds the resource, while its own takeover is pending (including one
// whose answer was lost), and for a holder that has been replaced according to the last read.
func (mc *machine) mayPromise(name, holder string, fencing uint64) bool {
	if len(mc.givenPromises) >= maxPromises {
		return false
	}
	rc := mc.records[name]
	if rc == nil {
		return true
	}
	if rc.hold != nil || (rc.write != nil && rc.write.kind == takeOver) {
		return false
	}
	stale := rc.loaded && rc.stored.index > 0 &&
		(fencing < rc.stored.record.GetFencing() || (fencing == rc.stored.record.GetFencing() && holder != rc.stored.record.GetHolder()))
	return !stale
}

func (mc *machine) prunePromises(now time.Time) {
	for name, end := range mc.givenPromises {
		if !now.Before(end) {
			delete(mc.givenPromises, name)
		}
	}
}
