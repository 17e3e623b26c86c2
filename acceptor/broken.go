package acceptor

import "lovagebank/balancer"

// BrokenAnswer describes a request whose target broke off while it may have been running the request.
type BrokenAnswer struct {
	// ID is the request's ID.
	ID string
	// Target is the start of the target that broke off.
	Target balancer.Start
	// Begun reports whether the target had begun to send its answer.
	Begun bool
	// Unframed is set if the answer had neither a length nor chunks. Cause is how its end was recognised.
	Unframed bool
	Cause    error
	// Parts are the parts of the request's prompt that other requests may share.
	Parts []balancer.PromptPart
}

// recordBroken records that a target broke off while it may have been running the request.
func (ex *exchange) recordBroken(ta *balancer.Target, cause error) {
	if !ex.proven {
		ex.ac.op.Quarantiner.Crashed(ex.fingerprint)
		ex.ac.op.Parts.BrokeOff(ta.Start(), ex.caller.ID, ex.parts)
	}
	ex.reportBroken(ta, cause)
}

// reportBroken reports an answer that broke off, for logs and metrics.
func (ex *exchange) reportBroken(ta *balancer.Target, cause error) {
	ex.ac.op.AnswerBroken(BrokenAnswer{
		ID: ex.caller.ID, Target: ta.Start(), Begun: !ex.begunAt.IsZero(), Unframed: ex.outcome.unframed, Cause: cause,
		Parts: ex.sharedParts(),
	})
}

// ended reports whether the request has ended on this side: its caller has left, its time is up, or a verdict has withdrawn it.
// A broken connection then says nothing about the target.
func (ex *exchange) ended() bool { return ex.ctx.Err() != nil || ex.withdrawn.Load() }
