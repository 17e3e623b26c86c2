package claimer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/pauser"
	"lovagebank/storer"
	"lovagebank/wire"
)

var errNoRecord = errors.New("no claim is there")

// forwardClaim lets the instance that batches the claim's shard commit it, if that is another one.
func (cl *Claimer) forwardClaim(ctx context.Context, claim *wire.Claim) (*wire.ClaimResponse, error) {
	owner := cl.owner(claim)
	if owner == cl.options.Instance {
		return cl.commit(ctx, claim)
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	rq := &wire.ClaimRequest{Claim: claim, LeftMs: time.Until(deadline).Milliseconds()}
	return cl.options.ForwardClaim(ctx, owner, rq)
}

// ServeClaim commits a claim for another instance.
func (cl *Claimer) ServeClaim(ctx context.Context, rq *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(rq.GetLeftMs())*time.Millisecond)
	defer cancel()
	return cl.commit(ctx, rq.GetClaim())
}

// commit writes a claim, or finds the one that was there before. An error means that this is not known yet.
func (cl *Claimer) commit(ctx context.Context, claim *wire.Claim) (*wire.ClaimResponse, error) {
	record := &wire.ClaimRecord{Claim: claim, State: wire.ClaimState_CLAIM_STATE_RUNNING}
	value, err := proto.Marshal(record)
	if err != nil {
		return nil, err
	}
	pl := placesOf(claim, cl.options.Window)
	for {
		entries, err := cl.options.Commit(ctx, pl.steps(value)...)
		if err == nil && len(entries) == 1 {
			return &wire.ClaimResponse{Won: true, Record: record, Index: entries[0].Index()}, nil
		}
		if !errors.Is(err, storer.ErrUnavailable) {
			response, ferr := cl.find(ctx, claim, pl)
			if ferr == nil {
				return response, nil
			}
		}
		if !pause(ctx) {
			return nil, errors.Join(err, ctx.Err())
		}
	}
}

// find reads the claim of a key: this one's own, if its nonce is there, or an earlier one.
func (cl *Claimer) find(ctx context.Context, claim *wire.Claim, pl places) (*wire.ClaimResponse, error) {
	for _, key := range pl.all() {
		en, err := cl.options.Get(ctx, key)
		if errors.Is(err, storer.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, err
		}
		record := &wire.ClaimRecord{}
		if err := proto.Unmarshal(en.Value(), record); err != nil {
			return nil, err
		}
		won := record.GetClaim().GetNonce() == claim.GetNonce()
		return &wire.ClaimResponse{Won: won, Record: record, Index: en.Index()}, nil
	}
	return nil, errNoRecord
}

// release deletes a claim that was given up without knowing whether it took effect. It keeps looking for a while, since
// a write can arrive late.
func (cl *Claimer) release(claim *wire.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), releasePatience)
	defer cancel()
	pl := placesOf(claim, cl.options.Window)
	for wait := retryPause; ; wait *= 2 {
		response, err := cl.find(ctx, claim, pl)
		if err == nil && !response.GetWon() {
			return
		}
		if err == nil {
			if _, err := cl.options.Commit(ctx, storer.Delete(pl.own, response.GetIndex())); err == nil {
				return
			}
		}
		if !pauser.For(ctx, wait) {
			return
		}
	}
}

func pause(ctx context.Context) bool { return pauser.For(ctx, retryPause) }
