package claimer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/sleeper"
	"lovagebank/storer"
	"lovagebank/wire"
)

var errClaimNotFound = errors.New("claim not found in the store")

// forwardClaim commits a claim through the instance that batches its shard, or locally if this instance does.
func (cl *Claimer) forwardClaim(ctx context.Context, claim *wire.Claim) (*wire.ClaimResponse, error) {
	owner := cl.shardOwner(claim)
	if owner == cl.options.Instance {
		return cl.commit(ctx, claim)
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	rq := &wire.ClaimRequest{Claim: claim, LeftMs: time.Until(deadline).Milliseconds()}
	return cl.options.ForwardClaim(ctx, owner, rq)
}

// ServeClaim commits a claim on behalf of another instance. An error means that the result is not known yet.
func (cl *Claimer) ServeClaim(ctx context.Context, rq *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(rq.GetLeftMs())*time.Millisecond)
	defer cancel()
	return cl.commit(ctx, rq.GetClaim())
}

// commit writes a claim, or returns the existing claim of the key. An error means that the result is not known yet.
func (cl *Claimer) commit(ctx context.Context, claim *wire.Claim) (*wire.ClaimResponse, error) {
	record := &wire.ClaimRecord{Claim: claim, State: wire.ClaimState_CLAIM_STATE_RUNNING}
	value, err := proto.Marshal(record)
	if err != nil {
		return nil, err
	}
	ck := claimKeysOf(claim, cl.options.Window)
	for {
		entries, err := cl.options.Commit(ctx, ck.createSteps(value)...)
		if err == nil && len(entries) == 1 {
			return &wire.ClaimResponse{Won: true, Record: record, Index: entries[0].Index()}, nil
		}
		if !errors.Is(err, storer.ErrUnavailable) {
			response, ferr := cl.find(ctx, claim, ck)
			if ferr == nil {
				return response, nil
			}
		}
		if !pause(ctx) {
			return nil, errors.Join(err, ctx.Err())
		}
	}
}

// find reads the stored claim of a key. It is the given claim if the nonces match, otherwise an earlier one.
func (cl *Claimer) find(ctx context.Context, claim *wire.Claim, ck claimKeys) (*wire.ClaimResponse, error) {
	for _, key := range ck.all() {
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
	return nil, errClaimNotFound
}

// release deletes an abandoned claim that may or may not have been written. It looks for the claim for releaseTimeout,
// since the write can arrive late.
func (cl *Claimer) release(claim *wire.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	ck := claimKeysOf(claim, cl.options.Window)
	for wait := retryInterval; ; wait *= 2 {
		response, err := cl.find(ctx, claim, ck)
		if err == nil && !response.GetWon() {
			return
		}
		if err == nil {
			if _, err := cl.options.Commit(ctx, storer.Delete(ck.own, response.GetIndex())); err == nil {
				return
			}
		}
		if !sleeper.For(ctx, wait) {
			return
		}
	}
}

func pause(ctx context.Context) bool { return sleeper.For(ctx, retryInterval) }
