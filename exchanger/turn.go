package exchanger

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"lovagebank/profiler"
	"lovagebank/sequencer"
	"lovagebank/wire"
)

// ErrNotHolder means that the instance that was asked for a turn does not hold the target.
var ErrNotHolder = errors.New("the instance does not hold the target")

// Turn asks the instance at an address, the holder of a target, for a prompt's turn at the target. It returns ErrNotHolder if
// that instance does not hold the target, or the error of the call.
func (ex *Exchanger) Turn(ctx context.Context, address, target string, rq sequencer.Request) (sequencer.Turn, error) {
	answer, err := ex.clientOf(address).Turn(ctx, connect.NewRequest(&wire.TurnRequest{
		Target:     target,
		ReadingUs:  int32(rq.Pace.Prefill.Microseconds()),
		WindowMs:   int32(rq.Pace.Window.Milliseconds()),
		BusyMs:     int32(rq.Pace.Budget.Milliseconds()),
		PatienceMs: int32(rq.MaxWait.Milliseconds()),
	}))
	if err != nil {
		return sequencer.Turn{}, err
	}
	if !answer.Msg.GetHolder() {
		return sequencer.Turn{}, ErrNotHolder
	}
	return sequencer.Turn{Granted: answer.Msg.GetGranted(), Wait: time.Duration(answer.Msg.GetWaitUs()) * time.Microsecond}, nil
}

// Turn reserves a prompt's turn at a target.
func (se *service) Turn(_ context.Context, rq *connect.Request[wire.TurnRequest]) (*connect.Response[wire.TurnResponse], error) {
	tn, holder := se.op.Turn(rq.Msg.GetTarget(), sequencer.Request{
		Pace: profiler.Pace{
			Prefill: time.Duration(rq.Msg.GetReadingUs()) * time.Microsecond,
			Window:  time.Duration(rq.Msg.GetWindowMs()) * time.Millisecond,
			Budget:  time.Duration(rq.Msg.GetBusyMs()) * time.Millisecond,
		},
		MaxWait: time.Duration(rq.Msg.GetPatienceMs()) * time.Millisecond,
	})
	return connect.NewResponse(&wire.TurnResponse{
		Holder: holder, Granted: tn.Granted, WaitUs: int32(tn.Wait.Microseconds()),
	}), nil
}
