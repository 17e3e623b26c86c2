package acceptor

import (
	"net/http"
	"time"

	"lovagebank/balancer"
	"lovagebank/forwarder"
	"lovagebank/platform"
)

// maxSkippedForLimit limits the targets that a request tries although their rate limits may be used up. Each try asks a holder.
const maxSkippedForLimit = 4

// acquireSend reports whether the request may be sent to a target under the target's rate limit. If not, the request does not
// try the target again, and other requests do only after the wait that the throttler returns.
func (ex *exchange) acquireSend(ta *balancer.Target) bool {
	de := ex.ac.op.Throttler.Acquire(ex.ctx, ta.Start())
	if de.Limited() {
		ex.outcome.rateLimit = de
	}
	ex.sendBefore = de.Until
	if de.Admitted {
		return ex.ctx.Err() == nil && ex.ac.op.Balancer.Available(ta)
	}
	ex.skippedForLimit++
	ex.coldRefused = ex.coldRefused || de.Cold
	ex.excluded[ta.ID()] = true
	ex.ac.op.Balancer.BackOff(ta.ID(), de.Wait)
	return false
}

// refusedForNow returns the refusal of a request whose targets are left alone for a time: because they have requested it, or
// because their rate limits are used up. In that case, callers that return as soon as one send is due would find it taken.
func (ex *exchange) refusedForNow(wait time.Duration) *refusal {
	if ex.skippedForLimit == 0 && !ex.ac.op.Balancer.AnyRateLimited(ex.service.Name()) {
		return refusedBackOff(wait)
	}
	return refusedRateLimited(max(wait, usualWait))
}

// recordRateLimit records the rate limit that a response states. Only a success without a limit shows that there is none any
// more, since other responses may not come from the target itself. A response from a target other than the intended one is
// ignored.
func (ex *exchange) recordRateLimit(ta *balancer.Target, rs *forwarder.Response) {
	rl := platform.ParseRateLimit(rs.Header())
	misdirected, success := rs.Status() == http.StatusMisdirectedRequest, rs.Status() < http.StatusMultipleChoices
	if !misdirected && (rl.Named || success) {
		ex.ac.op.RateLimitAnswered(ta.Start(), rl, ex.sentAt)
	}
}
