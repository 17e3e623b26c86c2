package exchanger

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"lovagebank/balancer"
	"lovagebank/permitter"
	"lovagebank/throttler"
	"lovagebank/wire"
)

// AskSend asks the instance at an address, the holder of a target that has named a rate limit, whether this instance may send the
// target a request now. It returns ErrNotHolder if that instance does not hold the target, or the error of the call.
func (ex *Exchanger) AskSend(ctx context.Context, address string, no throttler.Notice) (throttler.Grant, error) {
	answer, err := ex.clientOf(address).Send(ctx, connect.NewRequest(&wire.SendRequest{Limit: EncodeNotice(no)}))
	if err != nil {
		return throttler.Grant{}, err
	}
	if !answer.Msg.GetHolder() {
		return throttler.Grant{}, ErrNotHolder
	}
	gr := throttler.Grant{
		Granted: answer.Msg.GetGranted(), Wait: time.Duration(answer.Msg.GetWaitMs()) * time.Millisecond,
		Notice: throttler.Notice{Target: no.Target},
	}
	if limit := answer.Msg.GetLimit(); limit != nil {
		gr.Notice = DecodeNotice(limit)
	}
	return gr, nil
}

// Send decides whether a peer may send a request to a target that this instance holds.
func (se *service) Send(_ context.Context, rq *connect.Request[wire.SendRequest]) (*connect.Response[wire.SendResponse], error) {
	switch {
	case rq.Msg.GetBrittle() != nil:
		pe, holder := se.op.GrantPermit(decodeBrittle(rq.Msg.GetBrittle()))
		return connect.NewResponse(&wire.SendResponse{Holder: holder, Permit: pe.Number}), nil
	case rq.Msg.GetGivenBack() != nil:
		gb := rq.Msg.GetGivenBack()
		se.op.GivenBack(permitter.Permit{Target: start(gb), Number: gb.GetNumber()}, gb.GetRejected())
		return connect.NewResponse(&wire.SendResponse{}), nil
	}
	gr, holder := se.op.GrantSend(DecodeNotice(rq.Msg.GetLimit()))
	answer := &wire.SendResponse{Holder: holder, Granted: gr.Granted, WaitMs: int32(gr.Wait.Milliseconds())}
	if !gr.Notice.Limit.SeenAt.IsZero() || gr.Notice.ColdLeft > 0 {
		answer.Limit = EncodeNotice(gr.Notice)
	}
	return connect.NewResponse(answer), nil
}

// EncodeNotice returns the message of a notice of a target's rate limit.
func EncodeNotice(no throttler.Notice) *wire.TargetLimit {
	return &wire.TargetLimit{
		Target: no.Target.Target, StartedMs: no.Target.Started.UnixMilli(), Rate: no.Limit.Rate, Lapsed: no.Limit.Lapsed,
		AgeMs:      int32(min(time.Since(no.Limit.SeenAt), maxLimitAge).Milliseconds()),
		ColdLeftMs: int32(min(no.ColdLeft, maxLimitAge).Milliseconds()),
	}
}

// maxLimitAge limits the age of a limit in messages.
const maxLimitAge = time.Hour

// DecodeNotice returns the notice of a target's rate limit in a message.
func DecodeNotice(tl *wire.TargetLimit) throttler.Notice {
	no := throttler.Notice{
		Target: balancer.Start{Target: tl.GetTarget(), Started: time.UnixMilli(tl.GetStartedMs())},
		Limit: throttler.Limit{
			Rate: tl.GetRate(), Lapsed: tl.GetLapsed(), SeenAt: time.Now().Add(-time.Duration(tl.GetAgeMs()) * time.Millisecond),
		},
		ColdLeft: time.Duration(max(tl.GetColdLeftMs(), 0)) * time.Millisecond,
	}
	if tl.GetLapsed() && time.Since(no.Limit.SeenAt) >= maxLimitAge {
		// The target is cold and has named no limit.
		no.Limit = throttler.Limit{}
	}
	return no
}
