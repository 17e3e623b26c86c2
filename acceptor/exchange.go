package acceptor

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"lovagebank/admitter"
	"lovagebank/balancer"
	"lovagebank/collector"
	"lovagebank/estimator"
	"lovagebank/platform"
	"lovagebank/quarantiner"
	"lovagebank/resumer"
	"lovagebank/router"
)

const (
	// maxSends limits the sends of one request, including those that no target ran.
	maxSends = 4
	// minSendTime is the time to the deadline below which a send is useless.
	minSendTime = 20 * time.Millisecond
)

// exchange is the state of one request while it is handled.
type exchange struct {
	ac     *Acceptor
	w      http.ResponseWriter
	r      *http.Request
	caller platform.CallerRequest
	// configuration is the configuration that was in force on arrival.
	configuration *router.Configuration
	route         *router.Route
	// place is the request's host and path, by which the origin of its stream is found.
	place        resumer.Place
	organisation *router.Organisation
	service      *router.Service
	// regions are the regions that the request may reach; nil for no restriction.
	regions  []string
	deadline time.Time
	body     []byte
	hasBody  bool
	// read holds the memory of the body; nil for none.
	read *collector.Body
	// working is the memory reserved for the request in progress, beside its body, in bytes.
	working int64

	ctx         context.Context
	fingerprint uint64
	cost        float64
	excluded    map[string]bool
	// sends counts the sends, arrived those that may have reached a target, ran those that one may have run, and loads the
	// targets asked to load the adapter.
	sends       int
	arrived     int
	ran         int
	loads       int
	targetsFull bool
	// headSent reports whether the header of a response has been relayed; lastEventID is the ID of the last event.
	headSent    bool
	lastEventID string
	// streamHead is that of the stream's first answer. anonymous is true once an event without an ID was relayed, after which the
	// stream cannot go on elsewhere.
	streamHead streamHead
	anonymous  bool
	// unframed is true once the head of an answer whose end only the connection marks has been relayed.
	unframed bool
	// sentAt is the time of the last send. queueEmpty reports whether the target had no waiting requests when it began
	// its response.
	sentAt     time.Time
	queueEmpty bool
	// gaps collects times between the events of the current stream, if its target has stated its pace; nil otherwise.
	gaps   *estimator.Gaps
	gapsOf balancer.Start
	// sendBefore is when the grant for the last send to a target that is cold ends; zero for another target.
	sendBefore time.Time
	// relayed is true if the last send went through another instance.
	relayed bool
	// begunAt is when the target of the last send began to send its answer; zero if it did not. proven is true once the answer
	// shows that the request does not crash targets.
	begunAt time.Time
	proven  bool
	// parts are the parts of the prompt that other requests may share, and partKeys their identities.
	parts    []quarantiner.NamedPart
	partKeys []quarantiner.Part
	// pinned is true once the stream may go on only at targets whose software has the version software.
	pinned   bool
	software string
	// probe is the verdict that the request is to test; empty for none. endProbe ends that, probeClaimed is true once no other
	// request may do so instead, and probeDenied once another one does.
	probe        string
	endProbe     func()
	probeClaimed bool
	probeDenied  bool
	// untrack ends the request's registration as one that a verdict may withdraw; withdrawn is true once one has.
	untrack   func()
	withdrawn atomic.Bool
	// skippedForLimit counts the targets that were skipped because their rate limits are used up.
	skippedForLimit int
	// coldRefused is true once a target was skipped because it is cold.
	coldRefused bool
	// deniedPermit is true once a target was skipped because it is brittle and may have no room.
	deniedPermit bool
	// skippedForTurn counts the targets that were skipped because the prompt would have had to wait there for its turn.
	skippedForTurn int
	// decided is true once the request has been admitted. answer is the last send, for the admitter, until its answer begins.
	decided bool
	answer  *admitter.Pending
	// ahead reads the stream of the last send; nil if read-ahead is off.
	ahead   *readAhead
	outcome *Outcome
}

// serve charges the request to its organisation and sends it to a target.
func (ex *exchange) serve() {
	ctx, cancel := context.WithDeadline(ex.r.Context(), ex.deadline)
	defer cancel()
	defer context.AfterFunc(ex.ac.op.Ending, cancel)()
	ex.ctx = ctx
	ex.fingerprint = quarantiner.Fingerprint(ex.outcome.organisation, ex.r.Method, ex.uri(), ex.body)
	if refused, _ := ex.ac.op.Quarantiner.Refused(ex.fingerprint); refused {
		ex.refuse(refusedQuarantined)
		return
	}
	if rf := ex.findOrigin(ex.configuration); rf != nil {
		ex.refuse(rf)
		return
	}
	ex.identifyParts()
	defer ex.leaveProbe()
	if rf := ex.refusedForParts(); rf != nil {
		ex.refuse(rf)
		return
	}
	if !ex.charge() {
		return
	}
	ex.ac.op.Budgeter.Request(ex.service.Name())
	if ex.service.Engine() != nil {
		ex.outcome.adapter = ex.caller.Adapter
	}
	rf := ex.dispatch()
	if ex.ran == 0 {
		ex.refund()
	}
	if rf != nil {
		ex.fail(rf)
	}
}

// fail ends a request that no target has answered to its end: with a failure, or within the answer if that has begun.
func (ex *exchange) fail(rf *refusal) {
	if ex.r.Context().Err() != nil {
		ex.outcome.reason = "the caller left"
		// The caller may have closed its side only and still read: a return would complete the answer, or write an empty one.
		ex.abort()
	}
	if ex.headSent {
		ex.abortStream(rf)
	}
	ex.refuse(rf)
}

// abortStream closes the caller's connection in a stream whose header has been relayed, so that the stream does not
// look complete.
func (ex *exchange) abortStream(rf *refusal) {
	ex.outcome.reason = "broken off: " + rf.reason
	ex.abort()
}

func (ex *exchange) charge() bool {
	if ex.organisation == nil {
		return true
	}
	var tokens *int
	if ex.caller.HasTokens {
		sum := ex.caller.PromptTokens + ex.caller.MaxAnswerTokens
		tokens = &sum
	}
	ex.cost = ex.organisation.Cost(tokens)
	ex.outcome.cost = ex.cost
	de := ex.ac.op.Allotter.Charge(ex.organisation, ex.cost, ex.route.Priority())
	if !de.Admitted() {
		ex.outcome.quotaDecision = de
		ex.refuse(refusedOverQuota(de.Wait()))
	}
	return de.Admitted()
}

func (ex *exchange) refund() {
	if ex.organisation != nil {
		ex.ac.op.Allotter.Refund(ex.organisation, ex.cost)
	}
}

// dispatch tries targets until the caller has its final response. It returns a refusal that is still to be sent, or nil.
func (ex *exchange) dispatch() *refusal {
	for {
		if rf := ex.checkDeadline(); rf != nil {
			return rf
		}
		if rf := ex.refusedForParts(); rf != nil {
			return ex.refusalUnlessRun(rf)
		}
		if ex.skippedForLimit >= maxSkippedForLimit {
			return ex.noTarget()
		}
		ch, ok := ex.choose()
		if !ok {
			return ex.noTarget()
		}
		if rf, ready := ex.checkAdmission(ch); rf != nil {
			return rf
		} else if !ready {
			continue
		}
		if !ch.Holds() {
			ex.load(ch)
			continue
		}
		ex.loadReplica(ch)
		ch = ex.compare(ch)
		if rf := ex.checkSendLimits(); rf != nil {
			return rf
		}
		switch ex.send(ch) {
		case finished:
			return nil
		case notRun:
			continue
		case noPath:
			return ex.refusalUnlessRun(refusedCutOff)
		case interrupted:
			if !ex.mayGoOn() {
				return ex.failureAfterRun()
			}
		}
	}
}

// checkDeadline returns a refusal if too little time is left to the deadline for another send.
func (ex *exchange) checkDeadline() *refusal {
	if ex.ctx.Err() == nil && time.Until(ex.deadline) > minSendTime {
		return nil
	}
	return ex.refusalUnlessRun(refusedOutOfTime)
}

// failureAfterRun returns the failure to report once a target may have run the request.
func (ex *exchange) failureAfterRun() *refusal {
	if ex.ctx.Err() != nil {
		return failedTimeout
	}
	return failedNoAnswer
}

// refusalUnlessRun returns rf, which promises that the request has not run, or a failure if a target may have run it.
func (ex *exchange) refusalUnlessRun(rf *refusal) *refusal {
	if ex.ran > 0 {
		return ex.failureAfterRun()
	}
	return rf
}

func (ex *exchange) noTarget() *refusal {
	if ex.outcome.isolated.Likely() {
		return ex.refusalUnlessRun(refusedIsolated)
	}
	if ex.regions != nil && !ex.ac.op.Balancer.AnyIn(ex.service.Name(), ex.regions) {
		return ex.refusalUnlessRun(refusedNoRegion)
	}
	if ex.loads >= maxLoads {
		return ex.refusalUnlessRun(refusedNoLoad)
	}
	if ex.deniedPermit {
		return ex.refusalUnlessRun(refusedFull)
	}
	if wait := ex.ac.op.Balancer.BackOffRemaining(ex.service.Name()); wait > 0 || ex.skippedForLimit > 0 {
		return ex.refusalUnlessRun(ex.refusedForNow(wait))
	}
	if ex.targetsFull {
		return ex.refusalUnlessRun(refusedFull)
	}
	return ex.refusalUnlessRun(refusedNoTarget)
}

// checkSendLimits returns a refusal if a further send would exceed maxSends or, after one that may have arrived, the retry
// budget.
func (ex *exchange) checkSendLimits() *refusal {
	if ex.sends == 0 {
		return nil
	}
	if ex.sends >= maxSends {
		return ex.noTarget()
	}
	if ex.arrived > 0 && !ex.ac.op.Budgeter.Retry(ex.service.Name()) {
		return ex.refusalUnlessRun(refusedNoBudget)
	}
	return nil
}

func (ex *exchange) requirements() balancer.Request {
	ne := balancer.Request{
		Service:      ex.service.Name(),
		Excluded:     ex.excluded,
		PromptTokens: ex.caller.PromptTokens,
		Retry:        ex.sends+ex.loads+ex.skippedForTurn+ex.skippedForLimit > 0 || ex.decided,
		HeldOnly:     ex.loads >= maxLoads,
		SameSoftware: ex.pinned,
		Software:     ex.software,
		Regions:      ex.regions,
		PreferWarm:   ex.coldRefused,
		Admission:    ex.ac.op.Admitter != nil,
	}
	if ex.service.Engine() == nil {
		return ne
	}
	ne.Tokens, ne.Memory = ex.memoryTokens(), ex.service.Engine().CacheTokens
	ne.Adapter = ex.caller.Adapter
	ne.Version = ex.ac.op.RequiredVersion(ne.Adapter)
	ne.Parts = ex.caller.Parts
	if is := ex.outcome.isolated; is.Crashes > 0 {
		ne.Isolated, ne.IsolationKey, ne.OneTarget = true, uint64(is.Part), is.Likely()
	}
	return ne
}
