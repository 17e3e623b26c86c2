package exchanger

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"lovagebank/balancer"
	"lovagebank/permitter"
	"lovagebank/wire"
)

// AskPermit asks the instance at an address, the holder of a brittle target, for a permit to send the target a request now. The permit has no
// number if there is none left. It returns ErrNotHolder if that instance does not hold the target, or the error of the call.
func (ex *Exchanger) AskPermit(ctx context.Context, address string, no permitter.Notice) (permitter.Permit, error) {
	answer, err := ex.clientOf(address).Send(ctx, connect.NewRequest(&wire.SendRequest{Brittle: &wire.BrittleTarget{
		Target: no.Target.Target, StartedMs: no.Target.Started.UnixMilli(), MostRejections: int32(no.Most),
		AgeMs: int32(min(time.Since(no.SeenAt), maxLimitAge).Milliseconds()), Slots: int32(no.Slots),
	}}))
	if err != nil {
		return permitter.Permit{}, err
	}
	if !answer.Msg.GetHolder() {
		return permitter.Permit{}, ErrNotHolder
	}
	return permitter.Permit{Target: no.Target, Number: answer.Msg.GetPermit()}, nil
}

// GiveBack gives a permit back to the instance at an address.
func (ex *Exchanger) GiveBack(ctx context.Context, address string, pe permitter.Permit, rejected bool) error {
	_, err := ex.clientOf(address).Send(ctx, connect.NewRequest(&wire.SendRequest{GivenBack: &wire.Permit{
		Target: pe.Target.Target, StartedMs: pe.Target.Started.UnixMilli(), Number: pe.Number, Rejected: rejected,
	}}))
	return err
}

// startMessage is a message that names a start of a target.
type startMessage interface {
	GetTarget() string
	GetStartedMs() int64
}

// start returns the start of a target that a message names.
func start(message startMessage) balancer.Start {
	return balancer.Start{Target: message.GetTarget(), Started: time.UnixMilli(message.GetStartedMs())}
}

func decodeBrittle(bt *wire.BrittleTarget) permitter.Notice {
	return permitter.Notice{
		Target: start(bt), Most: int(bt.GetMostRejections()), Slots: int(bt.GetSlots()),
		SeenAt: time.Now().Add(-time.Duration(bt.GetAgeMs()) * time.Millisecond),
	}
}
