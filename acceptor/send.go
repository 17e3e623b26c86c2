package acceptor

import (
	"context"
	"errors"
	"net/http"
	"time"

	"lovagebank/balancer"
	"lovagebank/forwarder"
	"lovagebank/platform"
	"lovagebank/router"
)

// connectionShare is the share of a target's connections that the instances divide evenly. The rest is left for
// reports, orders and instances that join.
const connectionShare = 0.9

// sendResult is the result of one send.
type sendResult int

const (
	// finished means that the caller has its final response or has disconnected.
	finished sendResult = iota
	// notRun means that the target did not run the request, so it may go to another target.
	notRun
	// interrupted means that the send failed after the target may have run the request.
	interrupted
	// noPath means that the request could not be sent to any target: the instance is cut off, and no other relays.
	noPath
)

// send sends the request to one target and relays the response.
func (ex *exchange) send(ch *balancer.Choice) sendResult {
	ta := ch.Target()
	sent := ex.commitMemory(ex.ac.op.Balancer.Send(ta.ID(), ex.requirements().Adapter, ex.pendingTokens(ch)))
	defer sent.Done()
	if !ex.awaitTurn(ch) || ex.newlySuspected() || !ex.acquireSend(ta) {
		return notRun
	}
	room, ok := ex.acquireRoom(ta)
	if !ok {
		return notRun
	}
	rejected := false
	defer func() { ex.ac.op.Permitter.Done(ta.Start(), room, rejected) }()
	if ex.claimProbe(); ex.refusedForParts() != nil {
		return notRun
	}
	ex.sends++
	ex.outcome.tries, ex.outcome.target, ex.outcome.software = ex.sends, ta.ID(), ta.Software()
	ex.outcome.load, ex.outcome.loadAge = ch.Load(), ch.LoadAge()
	ex.sentAt, ex.begunAt, ex.gaps = time.Now(), time.Time{}, nil
	ex.outcome.unframed = false
	ex.recordSlowness(ta)
	ex.outcome.prefix = ex.newPrefixOutcome(ch)
	ex.outcome.sentAfter = ex.sentAt.Sub(ex.outcome.arrived)
	if objective := ex.route.LatencyObjective(); objective > 0 {
		defer time.AfterFunc(objective, sent.MarkOverdue).Stop()
	}
	ctx, cancel := ex.trackParts(ex.ctx)
	defer cancel()
	defer ex.ac.op.Awaiting()()
	defer ex.trackAnswer()()
	rs, err := ex.transmit(ctx, ch)
	if err != nil {
		return ex.handleSendError(ta, err)
	}
	defer rs.Close()
	ex.arrived++
	ex.outcome.via, ex.outcome.unframed = rs.Via(), rs.Unframed()
	ex.recordTargetState(ta, rs)
	ex.ac.op.Parts.Answered(ta.Start(), ex.sentAt)
	if platform.NotRun(rs.Status(), rs.Header()) {
		rejected = rs.Status() == http.StatusServiceUnavailable
		return ex.handleRejection(ta, rs)
	}
	ex.ran++
	return ex.relay(ta, rs, sent)
}

// transmit sends the request over a connection of this instance or, while it is cut off from the targets, through another one.
func (ex *exchange) transmit(ctx context.Context, ch *balancer.Choice) (*forwarder.Response, error) {
	ex.relayed = ex.ac.op.CutOff()
	ex.outcome.relayed = ex.relayed
	if ex.relayed {
		return ex.ac.op.Relay(ctx, ch.Target().Start(), ex.forwarderRequest(ch))
	}
	return ex.ac.op.Forwarder.Send(ctx, ex.forwarderTarget(ch.Target()), ex.forwarderRequest(ch))
}

// recordTargetState records what the target states about itself in a response: its load, its limits, and whether it is leaving
// or requests a back-off.
func (ex *exchange) recordTargetState(ta *balancer.Target, rs *forwarder.Response) {
	if tl, ok := platform.ParseTargetLoad(rs.Header()); ok {
		ex.ac.op.Balancer.SetLoad(ta.ID(), tl.Running+tl.Waiting)
		ex.queueEmpty = tl.Waiting == 0
		ex.recordPace(ta, rs, tl)
	}
	if platform.Leaving(rs.Header()) {
		ex.ac.op.TargetLeaving(ta.Start())
	}
	if wait := platform.BackOff(rs.Status(), rs.Header()); wait > 0 {
		ex.ac.op.Balancer.BackOff(ta.ID(), wait)
		ex.outcome.backOff = wait
	}
	ex.recordRateLimit(ta, rs)
	ex.recordColdness(ta, rs)
	ex.recordBrittleness(ta, rs)
}

func (ex *exchange) forwarderTarget(ta *balancer.Target) forwarder.Target {
	return ForwarderTarget(ta, ex.service, ex.ac.op.InstanceCount())
}

// ForwarderTarget returns the destination of sends to a target of a service, whose connections the given number of instances
// share.
func ForwarderTarget(ta *balancer.Target, service *router.Service, instances int) forwarder.Target {
	maxConnections := 0
	if limit := service.MaxConnections(); limit > 0 {
		maxConnections = max(int(float64(limit)*connectionShare)/max(instances, 1), 1)
	}
	return forwarder.Target{ID: ta.ID(), Address: ta.Address(), MaxConnections: maxConnections}
}

func (ex *exchange) forwarderRequest(ch *balancer.Choice) *forwarder.Request {
	di := platform.Dispatch{
		Target:       ch.Target().ID(),
		Organisation: ex.outcome.organisation,
		TimeLeft:     time.Until(ex.deadline),
		LastEvent:    ex.lastEventID,
		Engine:       ex.service.Engine() != nil,
	}
	di.OrganisationRank, di.RouteRank = ex.organisation.Priorities(ex.route)
	if need := ex.requirements(); need.Adapter.Name != "" && need.Version == ex.ac.op.NewestVersion(need.Adapter) {
		// During the rollout of a new version, targets hold either version.
		di.Version = need.Version
	}
	sendBefore := ex.sendBefore
	return &forwarder.Request{
		Method:     ex.r.Method,
		URI:        ex.uri(),
		Host:       ex.r.Host,
		Header:     platform.TargetHeader(ex.r.Header, di),
		Body:       ex.body,
		HasBody:    ex.hasBody,
		ID:         ex.caller.ID,
		ResponseID: platform.ResponseID,
		Repeatable: ex.route.Repeatable(),
		SendBefore: sendBefore,
		Regions:    ex.regions,
		Usable: func() bool {
			return ex.mayTake(ch.Target()) && (sendBefore.IsZero() || time.Now().Before(sendBefore))
		},
	}
}

// handleSendError classifies a send that got no response.
func (ex *exchange) handleSendError(ta *balancer.Target, err error) sendResult {
	ex.outcome.recordError(err)
	var se *forwarder.SendError
	mayHaveRun := errors.As(err, &se) && se.MayHaveRun()
	if se != nil && se.OnHop() && !mayHaveRun {
		return noPath
	}
	if ex.blames(err) && !errors.Is(err, forwarder.ErrNoConnection) && !errors.Is(err, forwarder.ErrUnusable) {
		ex.connectionFailed(ta, !mayHaveRun)
		ex.ac.op.Forwarder.CloseIdle(ta.ID())
	}
	ex.excluded[ta.ID()] = !ex.grantRanOut(ta, err)
	if !mayHaveRun {
		return notRun
	}
	ex.arrived++
	ex.ran++
	if ex.blames(err) {
		ex.recordBroken(ta, err)
	}
	return interrupted
}

// blames reports whether the failure of a send or of its answer indicates a fault of the target: the request has not ended on
// this side, and it was neither this instance's path to all targets that failed, nor the hop to another instance.
func (ex *exchange) blames(err error) bool {
	var se *forwarder.SendError
	onHop := errors.As(err, &se) && se.OnHop()
	cutMeanwhile := !ex.relayed && ex.ac.op.CutOff()
	return !ex.ended() && !onHop && !cutMeanwhile
}

// handleRejection handles a response which states that the target did not run the request.
func (ex *exchange) handleRejection(ta *balancer.Target, rs *forwarder.Response) sendResult {
	ex.drain(rs)
	if rs.Status() == http.StatusMisdirectedRequest {
		ex.ac.op.Balancer.MarkMissing(ta.ID(), ex.requirements().Adapter)
		if ex.loads < maxLoads && ex.service.Engine() != nil && ex.requirements().Adapter.Name != "" {
			return notRun
		}
	}
	ex.targetsFull = true
	ex.excluded[ta.ID()] = true
	return notRun
}
