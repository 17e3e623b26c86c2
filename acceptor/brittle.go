package acceptor

import (
	"net/http"

	"lovagebank/balancer"
	"lovagebank/forwarder"
	"lovagebank/permitter"
	"lovagebank/platform"
)

// acquireRoom reports whether the request may be sent to a target that may be brittle. If not, the request does not try the
// target again.
func (ex *exchange) acquireRoom(ta *balancer.Target) (permitter.Decision, bool) {
	de := ex.ac.op.Permitter.Acquire(ex.ctx, ta.Start(), ta.Service(), ta.Slots())
	if de.Brittle {
		ex.outcome.brittle = de
	}
	if de.Admitted && ex.ctx.Err() != nil {
		ex.ac.op.Permitter.Done(ta.Start(), de, false)
		return de, false
	}
	if de.Admitted {
		return de, true
	}
	ex.targetsFull, ex.deniedPermit = true, true
	ex.skippedForLimit++
	ex.excluded[ta.ID()] = true
	ex.ac.op.Balancer.BackOff(ta.ID(), de.Wait)
	return de, false
}

// recordBrittleness records the number of rejections that a response states its target tolerates. Only a success without that
// statement shows that it no longer applies.
func (ex *exchange) recordBrittleness(ta *balancer.Target, rs *forwarder.Response) {
	br := platform.ParseBrittleness(rs.Header())
	if br.Named || rs.Status() < http.StatusMultipleChoices {
		ex.ac.op.BrittlenessAnswered(ta, br, ex.sentAt)
	}
}
