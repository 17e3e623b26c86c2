package claimer

import (
	"context"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

// Verdict is the result of a claim.
type Verdict int

// Results of a claim.
const (
	// VerdictWon means that this call may send the request.
	VerdictWon Verdict = iota + 1
	// VerdictAnswered means that the request has already run; the decision contains its answer.
	VerdictAnswered
	// VerdictRunning means that the request is running.
	VerdictRunning
	// VerdictUnknown means that the request may have run but its answer is lost. It is not run again.
	VerdictUnknown
	// VerdictConflict means that the key was used by a request with a different body or route.
	VerdictConflict
)

// Decision holds the result of a claim and, if the request has already run, its answer.
type Decision struct {
	result Verdict
	answer *wire.Answer
}

// Verdict returns the result of the claim.
func (de Decision) Verdict() Verdict { return de.result }

// Answer returns the stored answer if the result is VerdictAnswered, otherwise nil.
func (de Decision) Answer() *wire.Answer { return de.answer }

// Refusal returns the refusal for the caller, or nil if the result is VerdictWon or VerdictAnswered.
func (de Decision) Refusal() *requester.Refusal {
	switch de.result {
	case VerdictRunning:
		return requester.RefuseUnknown(requester.CodeStillRunning, "the request with this key is running", runningRetryAfter)
	case VerdictUnknown:
		return requester.RefuseUnknown(requester.CodeOutcomeUnknown,
			"the request with this key may have run; it is not repeated", 0)
	case VerdictConflict:
		return requester.Refuse(requester.CodeKeyConflict, "the key belongs to another request", 0)
	default:
		return nil
	}
}

// decide derives the decision for a claim from the stored claim of the same key.
func (cl *Claimer) decide(ctx context.Context, claim *wire.Claim, record *wire.ClaimRecord) (Decision, error) {
	earlier := record.GetClaim()
	if !sameRequest(claim, earlier) {
		return Decision{result: VerdictConflict}, nil
	}
	switch record.GetState() {
	case wire.ClaimState_CLAIM_STATE_DONE:
		if record.GetAnswer().GetDropped() {
			return Decision{result: VerdictUnknown}, nil
		}
		// The store key depends on the time of the earlier claim, not on the time of this one.
		answer, err := cl.archive.Read(ctx, claimKeysOf(earlier, cl.options.Window).own, record.GetAnswer())
		if err != nil {
			return Decision{}, requester.RefuseUnknown(requester.CodeStoreUnavailable, "the stored answer can't be read", storeRetryAfter)
		}
		return Decision{result: VerdictAnswered, answer: answer}, nil
	case wire.ClaimState_CLAIM_STATE_RUNNING:
		ran := time.Since(time.UnixMilli(earlier.GetClaimedAtMs()))
		if !cl.options.Gone(earlier.GetInstance()) && ran < cl.options.LongestRun+cl.options.MaxSkew {
			return Decision{result: VerdictRunning}, nil
		}
	}
	return Decision{result: VerdictUnknown}, nil
}
