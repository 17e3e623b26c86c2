package claimer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/requester"
	"lovagebank/storer"
	"lovagebank/wire"
)

var errChanged = errors.New("the claim is not as this instance left it")

// Finish stores the outcome of a won claim, with its answer when the state is done. While the store is away it goes on
// trying after the context has ended. Until the outcome is stored a resend is told that the request is running.
func (cl *Claimer) Finish(ctx context.Context, rq *requester.Request, state wire.ClaimState, answer *wire.Answer) error {
	he := cl.take(rq.ID())
	if he == nil {
		return errNoRecord
	}
	stored := make(chan error, 1)
	cl.pending.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishPatience)
		defer cancel()
		stored <- cl.finish(ctx, he, state, answer)
	})
	select {
	case err := <-stored:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Release gives a won claim up of which nothing was sent, so that a resend may run it.
func (cl *Claimer) Release(_ context.Context, rq *requester.Request) error {
	he := cl.take(rq.ID())
	if he == nil {
		return errNoRecord
	}
	cl.pending.Go(func() { cl.release(he.record.GetClaim()) })
	return nil
}

func (cl *Claimer) finish(ctx context.Context, he *held, state wire.ClaimState, answer *wire.Answer) error {
	record := &wire.ClaimRecord{Claim: he.record.GetClaim(), State: state}
	kept, err := cl.archive.Store(ctx, he.places.own, record.GetClaim().GetNonce(), answer)
	if err != nil {
		return err
	}
	record.Answer = kept
	for {
		stored, err := cl.replace(ctx, he, record)
		if err == nil && stored {
			return nil
		}
		if err == nil {
			return errChanged
		}
		if !pause(ctx) {
			return errors.Join(err, ctx.Err())
		}
	}
}

// replace writes the outcome over the claim, through the instance that batches its shard if that answers.
func (cl *Claimer) replace(ctx context.Context, he *held, record *wire.ClaimRecord) (bool, error) {
	rq := &wire.FinishRequest{Record: record, Index: he.index}
	if owner := cl.owner(record.GetClaim()); owner != cl.options.Instance {
		fctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		if response, err := cl.options.ForwardFinish(fctx, owner, rq); err == nil && response.GetStored() {
			return true, nil
		}
	}
	response, err := cl.ServeFinish(ctx, rq)
	return response.GetStored(), err
}

// ServeFinish stores an outcome for another instance. An error means that it isn't known whether it is stored.
func (cl *Claimer) ServeFinish(ctx context.Context, rq *wire.FinishRequest) (*wire.FinishResponse, error) {
	record := rq.GetRecord()
	value, err := proto.Marshal(record)
	if err != nil {
		return nil, err
	}
	pl := placesOf(record.GetClaim(), cl.options.Window)
	_, err = cl.options.Commit(ctx, storer.Swap(pl.own, value, rq.GetIndex()))
	if err == nil {
		return &wire.FinishResponse{Stored: true}, nil
	}
	if errors.Is(err, storer.ErrUnavailable) {
		return nil, err
	}
	found, ferr := cl.find(ctx, record.GetClaim(), pl)
	if ferr != nil && !errors.Is(ferr, errNoRecord) {
		return nil, ferr
	}
	if found.GetWon() && found.GetRecord().GetState() == record.GetState() {
		return &wire.FinishResponse{Stored: true}, nil
	}
	if errors.Is(err, storer.ErrConflict) {
		return &wire.FinishResponse{}, nil
	}
	return nil, err
}

// Unfinished tells how many claims of this instance have no stored outcome yet, and for how long it has taken at most.
func (cl *Claimer) Unfinished() (count int, oldest time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, he := range cl.won {
		oldest = max(oldest, time.Since(time.UnixMilli(he.record.GetClaim().GetClaimedAtMs())))
	}
	return len(cl.won), oldest
}
