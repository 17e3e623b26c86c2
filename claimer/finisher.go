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

var errClaimChanged = errors.New("stored claim was changed or deleted")

// Finish stores the outcome of a won claim, with its answer if the state is done. While the store is unavailable, it
// keeps retrying in the background for up to 10 minutes, even after the context has ended. Until the outcome is stored,
// a resent request gets ResultRunning.
func (cl *Claimer) Finish(ctx context.Context, rq *requester.Request, state wire.ClaimState, answer *wire.Answer) error {
	wc := cl.removeWon(rq.ID())
	if wc == nil {
		return errClaimNotFound
	}
	stored := make(chan error, 1)
	cl.pending.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
		defer cancel()
		stored <- cl.finish(ctx, wc, state, answer)
	})
	select {
	case err := <-stored:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Release deletes a won claim whose request was not sent, so that a resent request can run.
func (cl *Claimer) Release(_ context.Context, rq *requester.Request) error {
	wc := cl.removeWon(rq.ID())
	if wc == nil {
		return errClaimNotFound
	}
	cl.pending.Go(func() { cl.release(wc.record.GetClaim()) })
	return nil
}

func (cl *Claimer) finish(ctx context.Context, wc *wonClaim, state wire.ClaimState, answer *wire.Answer) error {
	record := &wire.ClaimRecord{Claim: wc.record.GetClaim(), State: state}
	kept, err := cl.archive.Store(ctx, wc.keys.own, record.GetClaim().GetNonce(), answer)
	if err != nil {
		return err
	}
	record.Answer = kept
	for {
		stored, err := cl.replace(ctx, wc, record)
		if err == nil && stored {
			return nil
		}
		if err == nil {
			return errClaimChanged
		}
		if !pause(ctx) {
			return errors.Join(err, ctx.Err())
		}
	}
}

// replace overwrites the claim with its outcome. It first tries the instance that batches the claim's shard, and writes
// locally if that call fails or does not store the outcome.
func (cl *Claimer) replace(ctx context.Context, wc *wonClaim, record *wire.ClaimRecord) (bool, error) {
	rq := &wire.FinishRequest{Record: record, Index: wc.index}
	if owner := cl.shardOwner(record.GetClaim()); owner != cl.options.Instance {
		fctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		if response, err := cl.options.ForwardFinish(fctx, owner, rq); err == nil && response.GetStored() {
			return true, nil
		}
	}
	response, err := cl.ServeFinish(ctx, rq)
	return response.GetStored(), err
}

// ServeFinish stores an outcome on behalf of another instance. An error means that it may or may not be stored.
func (cl *Claimer) ServeFinish(ctx context.Context, rq *wire.FinishRequest) (*wire.FinishResponse, error) {
	record := rq.GetRecord()
	value, err := proto.Marshal(record)
	if err != nil {
		return nil, err
	}
	ck := claimKeysOf(record.GetClaim(), cl.options.Window)
	_, err = cl.options.Commit(ctx, storer.Swap(ck.own, value, rq.GetIndex()))
	if err == nil {
		return &wire.FinishResponse{Stored: true}, nil
	}
	if errors.Is(err, storer.ErrUnavailable) {
		return nil, err
	}
	found, ferr := cl.find(ctx, record.GetClaim(), ck)
	if ferr != nil && !errors.Is(ferr, errClaimNotFound) {
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

// Unfinished returns the number of claims won by this instance whose outcome is not stored yet, and the age of the oldest.
func (cl *Claimer) Unfinished() (count int, oldest time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, wc := range cl.won {
		oldest = max(oldest, time.Since(time.UnixMilli(wc.record.GetClaim().GetClaimedAtMs())))
	}
	return len(cl.won), oldest
}
