package acceptor

import (
	"net/http"
	"time"

	"lovagebank/platform"
)

// refusal is a final answer of the instance's own. Statuses 408, 421, 429 and 503 promise that the request has not run
// and will not.
type refusal struct {
	status int
	reason string
	// wait is when the caller may come back; 0 where that would not help.
	wait time.Duration
}

const (
	// shortWait and usualWait are when a caller may come back after a passing lack.
	shortWait = 150 * time.Millisecond
	usualWait = 400 * time.Millisecond
	// startWait is when a caller may come back to an instance that has no configuration yet.
	startWait = time.Second
)

var (
	refusedNotReady    = &refusal{status: http.StatusServiceUnavailable, reason: "no configuration is known yet", wait: startWait}
	refusedNoRoute     = &refusal{status: http.StatusNotFound, reason: "no route"}
	refusedUnknownKey  = &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	refusedNoService   = &refusal{status: http.StatusServiceUnavailable, reason: "the route's service is not configured", wait: usualWait}
	refusedTooLarge    = &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	refusedLongHeader  = &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "the header is too large"}
	refusedTornBody    = &refusal{status: http.StatusBadRequest, reason: "the body did not arrive whole"}
	refusedNoTarget    = &refusal{status: http.StatusServiceUnavailable, reason: "no target can take the request", wait: usualWait}
	refusedFull        = &refusal{status: http.StatusServiceUnavailable, reason: "all targets are full", wait: usualWait}
	refusedNoBudget    = &refusal{status: http.StatusServiceUnavailable, reason: "the retry budget is used up", wait: usualWait}
	refusedNoLoad      = &refusal{status: http.StatusServiceUnavailable, reason: "no target could load the adapter", wait: shortWait}
	refusedQuarantined = &refusal{status: http.StatusServiceUnavailable, reason: "the request has crashed the targets that ran it"}
	refusedOutOfTime   = &refusal{status: http.StatusServiceUnavailable, reason: "no target could take it in time", wait: shortWait}
	failedNoAnswer     = &refusal{status: http.StatusBadGateway, reason: "the target gave no whole answer"}
	failedTimeout      = &refusal{status: http.StatusGatewayTimeout, reason: "the target did not answer in time"}
)

func refusedOverAllowance(wait time.Duration) *refusal {
	return &refusal{status: http.StatusTooManyRequests, reason: "the organisation's allowance is used up", wait: wait}
}

func refusedBackOff(wait time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "the targets have asked to be left alone", wait: wait}
}

// refuse gives the caller a final answer of the instance's own.
func (ex *exchange) refuse(rf *refusal) {
	ex.outcome.reason = rf.reason
	ex.outcome.status = rf.status
	header := ex.w.Header()
	platform.SetAnswerID(header, ex.caller.ID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if rf.wait > 0 {
		platform.SetRetryAfter(header, rf.wait)
		ex.outcome.retryAfter = rf.wait
	}
	ex.w.WriteHeader(rf.status)
	if _, err := ex.w.Write([]byte(rf.reason + "\n")); err != nil {
		ex.outcome.note(err)
	}
}
