package acceptor

import "time"

// Shutdown says how long an instance that shuts down goes on serving.
type Shutdown struct {
	// TakeUntil is the time until which new requests are taken; later ones are refused. AnswerUntil is the time by which all requests
	// must have their final answers.
	TakeUntil   time.Time
	AnswerUntil time.Time
}

// refusedForShutdown asks the caller to close its connection if the instance shuts down, and returns a refusal if it takes no
// requests any more.
func (ex *exchange) refusedForShutdown() *refusal {
	sh := ex.ac.op.Shutdown()
	if sh == nil {
		return nil
	}
	ex.w.Header().Set("Connection", "close")
	if time.Now().Before(sh.TakeUntil) {
		return nil
	}
	return refusedShutdown
}

// beforeShutdown returns a deadline, or an earlier one if the instance ends before it.
func (ex *exchange) beforeShutdown(deadline time.Time) time.Time {
	if sh := ex.ac.op.Shutdown(); sh != nil && sh.AnswerUntil.Before(deadline) {
		return sh.AnswerUntil
	}
	return deadline
}
