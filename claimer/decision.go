package claimer

import (
	"context"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

// Result is the outcome of a claim.
type Result int

// The verdicts.
const (
	// ResultWon means that this call may send the request.
	ResultWon Result = iota + 1
	// ResultAnswered means that the request ran before; its answer is in the decision.
	ResultAnswered
	// ResultRunning means that the request is running.
	ResultRunning
	// ResultUnknown means that the request may have run, and its answer is lost. It is not run again.
	ResultUnknown
	// ResultConflict means that the key belongs to a request with another body or route.
	ResultConflict
)

// Decision tells what to do with a request.
type Decision struct {
	verdict Result
	answer  *wire.Answer
}

// Result returns the outcome of the claim.
func (de Decision) Result() Result { return de.verdict }

// Answer returns the stored answer of ResultAnswered.
func (de Decision) Answer() *wire.Answer { return de.answer }

// Refusal returns what a caller gets for a verdict that has neither sent the request nor an answer; otherwise nil.
func (de Decision) Refusal() *requester.Refusal {
	switch de.verdict {
	case ResultRunning:
		return requester.RefuseUnknown(requester.CodeStillRunning, "the request with this key is running", runningRetry)
	case ResultUnknown:
		return requester.RefuseUnknown(requester.CodeOutcomeUnknown,
			"the request with this key may have run; it is not repeated", 0)
	case ResultConflict:
		return requester.Refuse(requester.CodeKeyConflict, "the key belongs to another request", 0)
	default:
		return nil
	}
}

// decide turns an earlier claim of the same key into a decision.
func (cl *Claimer) decide(ctx context.Context, claim *wire.Claim, record *wire.ClaimRecord) (Decision, error) {
	earlier := record.GetClaim()
	if !sameRequest(claim, earlier) {
		return Decision{verdict: ResultConflict}, nil
	}
	switch record.GetState() {
	case wire.ClaimState_CLAIM_STATE_DONE:
		if record.GetAnswer().GetDropped() {
			return Decision{verdict: ResultUnknown}, nil
		}
		// The place follows from the earlier claim's own time, not from that of this one.
		answer, err := cl.archive.Read(ctx, placesOf(earlier, cl.options.Window).own, record.GetAnswer())
		if err != nil {
			return Decision{}, requester.RefuseUnknown(requester.CodeStoreUnavailable, "the stored answer can't be read", storeRetry)
		}
		return Decision{verdict: ResultAnswered, answer: answer}, nil
	case wire.ClaimState_CLAIM_STATE_RUNNING:
		ran := time.Since(time.UnixMilli(earlier.GetClaimedAtMs()))
		if !cl.options.Departed(earlier.GetInstance()) && ran < cl.options.MaxRunTime+cl.options.MaxSkew {
			return Decision{verdict: ResultRunning}, nil
		}
	}
	return Decision{verdict: ResultUnknown}, nil
}
