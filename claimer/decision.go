package claimer

import (
	"context"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

// Result is the result of a claim.
type Result int

// Results of a claim.
const (
	// ResultWon means that this call may send the request.
	ResultWon Result = iota + 1
	// ResultAnswered means that the request has already run; the decision contains its answer.
	ResultAnswered
	// ResultRunning means that the request is running.
	ResultRunning
	// ResultUnknown means that the request may have run but its answer is lost. It is not run again.
	ResultUnknown
	// ResultConflict means that the key was used by a request with a different body or route.
	ResultConflict
)

// Decision holds the result of a claim and, if the request has already run, its answer.
type Decision struct {
	result Result
	answer *wire.Answer
}

// Result returns the result of the claim.
func (de Decision) Result() Result { return de.result }

// Answer returns the stored answer if the result is ResultAnswered, otherwise nil.
func (de Decision) Answer() *wire.Answer { return de.answer }

// Refusal returns the refusal for the caller, or nil if the result is ResultWon or ResultAnswered.
func (de Decision) Refusal() *requester.Refusal {
	switch de.result {
	case ResultRunning:
		return requester.RefuseUnknown(requester.CodeStillRunning, "the request with this key is running", runningRetryAfter)
	case ResultUnknown:
		return requester.RefuseUnknown(requester.CodeOutcomeUnknown,
			"the request with this key may have run; it is not repeated", 0)
	case ResultConflict:
		return requester.Refuse(requester.CodeKeyConflict, "the key belongs to another request", 0)
	default:
		return nil
	}
}

// decide derives the decision for a claim from the stored claim of the same key.
func (cl *Claimer) decide(ctx context.Context, claim *wire.Claim, record *wire.ClaimRecord) (Decision, error) {
	earlier := record.GetClaim()
	if !sameRequest(claim, earlier) {
		return Decision{result: ResultConflict}, nil
	}
	switch record.GetState() {
	case wire.ClaimState_CLAIM_STATE_DONE:
		if record.GetAnswer().GetDropped() {
			return Decision{result: ResultUnknown}, nil
		}
		// The store key depends on the time of the earlier claim, not on the time of this one.
		answer, err := cl.archive.Read(ctx, claimKeysOf(earlier, cl.options.Window).own, record.GetAnswer())
		if err != nil {
			return Decision{}, requester.RefuseUnknown(requester.CodeStoreUnavailable, "the stored answer can't be read", storeRetryAfter)
		}
		return Decision{result: ResultAnswered, answer: answer}, nil
	case wire.ClaimState_CLAIM_STATE_RUNNING:
		ran := time.Since(time.UnixMilli(earlier.GetClaimedAtMs()))
		if !cl.options.Departed(earlier.GetInstance()) && ran < cl.options.MaxRunTime+cl.options.MaxSkew {
			return Decision{result: ResultRunning}, nil
		}
	}
	return Decision{result: ResultUnknown}, nil
}
