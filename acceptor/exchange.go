package acceptor

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lovagebank/balancer"
	"lovagebank/forwarder"
	"lovagebank/orderer"
	"lovagebank/platform"
	"lovagebank/quarantiner"
	"lovagebank/router"
	"lovagebank/stocker"
)

const (
	// maxTries bounds the sends of one request, those that no target ran included.
	maxTries = 4
	// maxLoads bounds the targets that are asked to load an adapter for one request.
	maxLoads = 5
	// loadPatience bounds the wait for one target to load an adapter.
	loadPatience = 1500 * time.Millisecond
	// slotWait is the share of the objective that a request may wait for a free adapter slot.
	slotWait = 0.8
	// leastTime is the time below which a send is of no use.
	leastTime = 20 * time.Millisecond
	// connectionShare is the part of a target's connections that the instances share evenly; the rest is for
	// reports, orders and instances that come.
	connectionShare = 0.9
)

// exchange is one request on its way.
type exchange struct {
	ac           *Acceptor
	w            http.ResponseWriter
	r            *http.Request
	caller       platform.CallerRequest
	route        *router.Route
	organisation *router.Organisation
	service      *router.Service
	deadline     time.Time
	body         []byte
	hasBody      bool

	ctx         context.Context
	fingerprint uint64
	cost        float64
	excluded    map[string]bool
	// sends counts sends, ran those that a target may have run, and loads the targets asked to load.
	sends int
	ran   int
	loads int
	full  bool
	// begun tells that the head of a stream's answer has been passed on, lastEvent the last event's ID.
	begun     bool
	lastEvent string
	// sentAt is when the request was last sent, and unqueued tells that its target had none waiting as it began its answer.
	sentAt   time.Time
	unqueued bool
	// lookedAround counts the targets that were left as the prompt would have waited there for its turn.
	lookedAround int
	outcome      *Outcome
}

// verdict is what became of one try.
type verdict int

const (
	// finished tries gave the caller its final answer, or found it gone.
	finished verdict = iota
	// notRun tries may go to another target.
	notRun
	// broken tries may have run.
	broken
)

// serve charges the request to its organisation and brings it to a target.
func (ex *exchange) serve() {
	ctx, cancel := context.WithDeadline(ex.r.Context(), ex.deadline)
	defer cancel()
	ex.ctx = ctx
	ex.fingerprint = quarantiner.Fingerprint(ex.outcome.organisation, ex.r.Method, ex.uri(), ex.body)
	if refused, _ := ex.ac.op.Quarantiner.Refused(ex.fingerprint); refused {
		ex.refuse(refusedQuarantined)
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
	if rf == nil {
		return
	}
	if ex.r.Context().Err() != nil {
		ex.outcome.reason = "the caller left"
		return
	}
	if ex.begun {
		ex.breakOff(rf)
	}
	ex.refuse(rf)
}

// breakOff ends a stream whose head has been passed on, so that it does not look complete.
func (ex *exchange) breakOff(rf *refusal) {
	ex.outcome.reason = "broken off: " + rf.reason
	panic(http.ErrAbortHandler)
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
		ex.outcome.allowance = de
		ex.refuse(refusedOverAllowance(de.Wait()))
	}
	return de.Admitted()
}

func (ex *exchange) refund() {
	if ex.organisation != nil {
		ex.ac.op.Allotter.Refund(ex.organisation, ex.cost)
	}
}

// dispatch tries targets until the request has its final answer; the refusal that it returns is still to be given.
func (ex *exchange) dispatch() *refusal {
	for {
		if rf := ex.overdue(); rf != nil {
			return rf
		}
		ch, ok := ex.ac.op.Balancer.Choose(ex.need())
		if !ok {
			return ex.noTarget()
		}
		if !ch.Holds() {
			ex.load(ch)
			continue
		}
		ex.spread(ch)
		if rf := ex.mayTry(); rf != nil {
			return rf
		}
		switch ex.try(ch) {
		case finished:
			return nil
		case notRun:
			continue
		case broken:
			if !ex.route.Repeatable() || ex.ran >= ex.route.Attempts() {
				return ex.afterBreak()
			}
		}
	}
}

// overdue ends a request whose time has run out.
func (ex *exchange) overdue() *refusal {
	if ex.ctx.Err() == nil && time.Until(ex.deadline) > leastTime {
		return nil
	}
	return ex.afterBreakOr(refusedOutOfTime)
}

// afterBreak is the answer once a target may have run the request.
func (ex *exchange) afterBreak() *refusal {
	if ex.ctx.Err() != nil {
		return failedTimeout
	}
	return failedNoAnswer
}

// afterBreakOr is a refusal that promises that the request has not run, if that is so.
func (ex *exchange) afterBreakOr(rf *refusal) *refusal {
	if ex.ran > 0 {
		return ex.afterBreak()
	}
	return rf
}

func (ex *exchange) noTarget() *refusal {
	if ex.loads >= maxLoads {
		return ex.afterBreakOr(refusedNoLoad)
	}
	if wait := ex.ac.op.Balancer.BackOffRemaining(ex.service.Name()); wait > 0 {
		return ex.afterBreakOr(refusedBackOff(wait))
	}
	if ex.full {
		return ex.afterBreakOr(refusedFull)
	}
	return ex.afterBreakOr(refusedNoTarget)
}

// mayTry holds further sends to their bounds.
func (ex *exchange) mayTry() *refusal {
	if ex.sends == 0 {
		return nil
	}
	if ex.sends >= maxTries {
		return ex.noTarget()
	}
	if !ex.ac.op.Budgeter.Retry(ex.service.Name()) {
		return ex.afterBreakOr(refusedNoBudget)
	}
	return nil
}

func (ex *exchange) need() balancer.Request {
	ne := balancer.Request{
		Service:      ex.service.Name(),
		Excluded:     ex.excluded,
		PromptTokens: ex.caller.PromptTokens,
		Retry:        ex.sends+ex.loads+ex.lookedAround > 0,
		HeldOnly:     ex.loads >= maxLoads,
	}
	if ex.service.Engine() == nil {
		return ne
	}
	ne.Adapter = ex.caller.Adapter
	ne.Version = ex.ac.op.RequiredVersion(ne.Adapter)
	ne.Parts = ex.caller.Parts
	return ne
}

// load has the target's holder load the adapter; a target where that fails is not tried again.
func (ex *exchange) load(ch *balancer.Choice) {
	ex.loads++
	ex.outcome.asked = append(ex.outcome.asked, ch.Target().ID())
	started := time.Now()
	ctx, cancel := context.WithTimeout(ex.ctx, loadPatience)
	defer cancel()
	want := ex.want()
	err := ex.ac.op.LoadAdapter(ctx, ch.Holder(), ch.Target(), orderer.Request{Requirement: want, MaxWait: ex.slotPatience()})
	ex.outcome.loadWait += time.Since(started)
	if err != nil {
		ex.outcome.note(err)
		ex.excluded[ch.Target().ID()] = true
		return
	}
	ex.loaded(ch.Target(), want)
}

// loaded notes that a target has loaded an adapter.
func (ex *exchange) loaded(ta *balancer.Target, want stocker.Requirement) {
	ex.ac.op.Balancer.MarkLoaded(ta.ID(), want.Adapter, max(want.Version, 1))
}

// want is the request's adapter in its newest version.
func (ex *exchange) want() stocker.Requirement {
	return stocker.Requirement{Adapter: ex.caller.Adapter, Version: ex.ac.op.NewestVersion(ex.caller.Adapter)}
}

// slotPatience is how long the request may wait for a free adapter slot. The first targets refuse at once, so that
// another one is asked; at the last one it waits as long as the answer can still come in time.
func (ex *exchange) slotPatience() time.Duration {
	if ex.loads < maxLoads {
		return 0
	}
	return max(ex.untilShare(slotWait), 0)
}

// spread has a further target load the adapter, without waiting for it.
func (ex *exchange) spread(ch *balancer.Choice) {
	if ch.Replica() == nil {
		return
	}
	want, load := ex.want(), ex.ac.op.LoadAdapter
	want.ExtraReplica = !ch.Urgent()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), loadPatience)
		defer cancel()
		if err := load(ctx, ch.ReplicaHolder(), ch.Replica(), orderer.Request{Requirement: want}); err == nil {
			ex.loaded(ch.Replica(), want)
		}
	}()
}

// try sends the request to one target and passes its answer on.
func (ex *exchange) try(ch *balancer.Choice) verdict {
	ta := ch.Target()
	sent := ex.ac.op.Balancer.Send(ta.ID(), ex.need().Adapter, ex.caller.PromptTokens)
	defer sent.Done()
	if !ex.awaitTurn(ch) {
		return notRun
	}
	ex.sends++
	ex.outcome.tries, ex.outcome.target = ex.sends, ta.ID()
	ex.outcome.load, ex.outcome.loadAge = ch.Load(), ch.LoadAge()
	ex.sentAt = time.Now()
	if objective := ex.route.Objective(); objective > 0 {
		defer time.AfterFunc(objective, sent.MarkOverdue).Stop()
	}
	ctx, cancel := context.WithCancel(ex.ctx)
	defer cancel()
	an, err := ex.ac.op.Forwarder.Send(ctx, ex.target(ta), ex.request(ch))
	if err != nil {
		return ex.sendFailed(ta, err)
	}
	defer an.Close()
	if tl, ok := platform.ParseTargetLoad(an.Header()); ok {
		ex.ac.op.Balancer.SetLoad(ta.ID(), tl.Running+tl.Waiting)
		ex.unqueued = tl.Waiting == 0
	}
	ex.heed(ta, an)
	if platform.NotRun(an.Status(), an.Header()) {
		return ex.rejected(ta, an)
	}
	ex.ran++
	return ex.pass(ta, an, sent)
}

// heed takes in what an answer says of further requests to its target.
func (ex *exchange) heed(ta *balancer.Target, an *forwarder.Response) {
	if platform.Leaving(an.Header()) {
		ex.ac.op.TargetLeaving(balancer.Leaver{Target: ta.ID(), Started: ta.Started()})
	}
	if wait := platform.BackOff(an.Status(), an.Header()); wait > 0 {
		ex.ac.op.Balancer.BackOff(ta.ID(), wait)
		ex.outcome.backOff = wait
	}
}

func (ex *exchange) target(ta *balancer.Target) forwarder.Target {
	most := 0
	if limit := ex.service.MaxConnections(); limit > 0 {
		most = max(int(float64(limit)*connectionShare)/max(ex.ac.op.InstanceCount(), 1), 1)
	}
	return forwarder.Target{ID: ta.ID(), Address: ta.Address(), MaxConnections: most}
}

func (ex *exchange) request(ch *balancer.Choice) *forwarder.Request {
	di := platform.Dispatch{
		Target:       ch.Target().ID(),
		Organisation: ex.outcome.organisation,
		Left:         time.Until(ex.deadline),
		LastEvent:    ex.lastEvent,
		Engine:       ex.service.Engine() != nil,
	}
	di.OrganisationRank, di.RouteRank = ex.organisation.Rank(ex.route)
	if need := ex.need(); need.Adapter.Name != "" && need.Version == ex.ac.op.NewestVersion(need.Adapter) {
		// While a new version comes into force, targets hold either.
		di.Version = need.Version
	}
	return &forwarder.Request{
		Method:     ex.r.Method,
		URI:        ex.uri(),
		Host:       ex.r.Host,
		Header:     platform.TargetHeader(ex.r.Header, di),
		Body:       ex.body,
		HasBody:    ex.hasBody,
		ID:         ex.caller.ID,
		ResponseID: platform.AnswerID,
	}
}

// sendFailed judges a send without an answer.
func (ex *exchange) sendFailed(ta *balancer.Target, err error) verdict {
	ex.outcome.note(err)
	var se *forwarder.SendError
	mayHaveRun := errors.As(err, &se) && se.MayHaveRun()
	if ex.ctx.Err() == nil && !errors.Is(err, forwarder.ErrNoConnection) {
		ex.ac.op.Balancer.ConnectionFailed(ta.ID(), !mayHaveRun)
		ex.ac.op.Forwarder.CloseIdle(ta.ID())
	}
	ex.excluded[ta.ID()] = true
	if !mayHaveRun {
		return notRun
	}
	ex.ran++
	if ex.ctx.Err() == nil {
		ex.ac.op.Quarantiner.Crashed(ex.fingerprint)
	}
	return broken
}

// rejected judges an answer which says that the target did not run the request.
func (ex *exchange) rejected(ta *balancer.Target, an *forwarder.Response) verdict {
	ex.drain(an)
	if an.Status() == http.StatusMisdirectedRequest {
		ex.ac.op.Balancer.MarkMissing(ta.ID(), ex.need().Adapter)
		if ex.loads < maxLoads && ex.service.Engine() != nil && ex.need().Adapter.Name != "" {
			return notRun
		}
	}
	ex.full = true
	ex.excluded[ta.ID()] = true
	return notRun
}
