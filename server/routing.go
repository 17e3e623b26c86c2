package server

import (
	"context"
	"errors"
	"net"
	"time"

	"lovagebank/dispatcher"
	"lovagebank/explainer"
	"lovagebank/leaser"
	"lovagebank/requester"
	"lovagebank/wire"
)

const targetKindService = "service"

// reachableTimeout bounds the check whether a target accepts connections.
const reachableTimeout = time.Second

func (sv *Server) newDispatcher() *dispatcher.Dispatcher {
	return dispatcher.New(dispatcher.Options{
		Choose:               sv.placer.Choose,
		ChoiceEnded:          sv.placer.Finished,
		Execute:              sv.execute,
		ServiceTargets:       sv.serviceTargets,
		Invoke:               sv.invokeService,
		Reachable:            reachable,
		Claim:                sv.claim,
		FinishClaim:          sv.claimer.Finish,
		ReleaseClaim:         sv.claimer.Release,
		MaxStoredAnswerBytes: int(sv.settings.Limits().AnswerBytes()),
	})
}

// execute runs a model request at the holder of its target: here, or at the peer that holds it.
func (sv *Server) execute(ctx context.Context, tg *wire.Target, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	trace := explainer.FromContext(ctx)
	holder := sv.holderOf(tg)
	if holder == sv.identity {
		trace.AddStep("placer", "Sent to "+tg.GetId()+", held here.")
		return sv.holdings.submit(ctx, tg.GetId(), rq, sink)
	}
	me := sv.findMember(holder)
	if me == nil {
		return requester.Usage{}, requester.Refuse(requester.CodeWrongHolder, "Nobody holds the target.", peerRetry)
	}
	trace.AddStep("placer", "Sent to "+tg.GetId()+", held by "+holder+".")
	us, err := executeOnPeer(ctx, sv.connector.Peer(me.GetPeerAddress()), tg, rq, sink, sv.placer.Observe)
	if err != nil && requester.AsRefusal(err).Code() == requester.CodeWrongHolder {
		sv.doubtHolder(ctx, tg, holder)
	}
	return us, err
}

// doubtHolder has the record of a target read again, and asks whether the instance that was taken for its holder lives.
func (sv *Server) doubtHolder(ctx context.Context, tg *wire.Target, holder string) {
	sv.leases.Refresh(ctx, []string{leaser.TargetName(tg.GetId())})
	sv.peerFailed(holder)
}

// holderOf names the instance to ask for a target: the known holder while it lives, or else the first candidate.
func (sv *Server) holderOf(tg *wire.Target) string {
	if holder, ok := sv.leases.Holder(leaser.TargetName(tg.GetId())); ok && sv.findMember(holder) != nil {
		return holder
	}
	candidates := sv.targetCandidates(tg)
	if len(candidates) == 0 {
		return ""
	}
	return candidates[0]
}

func (sv *Server) serviceTargets(service string) []*wire.Target {
	var found []*wire.Target
	for _, tg := range sv.gossiper.Targets() {
		if tg.GetKind() == targetKindService && tg.GetService() == service && !tg.GetLeaving() {
			found = append(found, tg)
		}
	}
	return sv.nearest(found)
}

// nearest returns the targets of this failure domain, or all when it has none.
func (sv *Server) nearest(targets []*wire.Target) []*wire.Target {
	var near []*wire.Target
	for _, tg := range targets {
		if tg.GetFailureDomain() == sv.settings.FailureDomain() {
			near = append(near, tg)
		}
	}
	if len(near) == 0 {
		return targets
	}
	return near
}

func (sv *Server) invokeService(ctx context.Context, tg *wire.Target, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	explainer.FromContext(ctx).AddStep("dispatcher", "Sent to "+tg.GetId()+".")
	return sv.invoker.Invoke(ctx, tg, rq, 0, sink)
}

// reachable tells whether a target accepts connections.
func reachable(ctx context.Context, tg *wire.Target) bool {
	ctx, cancel := context.WithTimeout(ctx, reachableTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", tg.GetAddress())
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// isDialError tells whether a connection could not be made, so that nothing can have been sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
