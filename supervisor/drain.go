package supervisor

import (
	"context"
	"time"

	"lovagebank/acceptor"
	"lovagebank/sleeper"
)

const (
	// drainNoticeTime is how long a draining instance continues to accept connections and requests: the time in which the
	// platform probes its readiness twice.
	drainNoticeTime = 2500 * time.Millisecond
	// answerMargin is the time before the end of the drain by which all requests have their final answers.
	answerMargin = 300 * time.Millisecond
	// closeTimeout limits the time to close idle connections at the end of the drain.
	closeTimeout = 200 * time.Millisecond
	// leaveTimeout limits the call that ends the lease in the store.
	leaveTimeout = 300 * time.Millisecond
	// killMargin is the time between the end of the drain and the SIGKILL at the end of the grace period.
	killMargin = 700 * time.Millisecond
	// servingCheckInterval is the time between two checks during a shutdown whether requests have ended.
	servingCheckInterval = 20 * time.Millisecond
)

// draining reports whether the instance shuts down.
func (su *Supervisor) draining() bool { return su.shutdown.Load() != nil }

// drain reports not ready, continues to serve until the platform has noticed, and lets requests end; none is cut without an
// answer. Then it gives up the lease. Until then the instance gives orders to its targets; the next process on this machine takes them
// over.
func (su *Supervisor) drain(ctx context.Context, sv *servers) {
	began := time.Now()
	end := began.Add(su.settings.ShutdownGrace() - killMargin)
	sh := &acceptor.Shutdown{TakeUntil: began.Add(min(drainNoticeTime, time.Until(end)/2)), AnswerUntil: end.Add(-answerMargin)}
	su.shutdown.Store(sh)
	su.logger.Info("draining", "serving", su.serving.Load(), "take-ms", sh.TakeUntil.Sub(began).Milliseconds(),
		"answer-ms", sh.AnswerUntil.Sub(began).Milliseconds())
	sleeper.For(ctx, time.Until(sh.TakeUntil))
	// The server itself stays: after its Shutdown, net/http would drop a request that arrives on a connection that was opened
	// before, without an answer.
	sv.stopAccepting()
	su.awaitRequests(ctx, sh.AnswerUntil)
	su.endRequests()
	su.awaitRequests(ctx, end)
	if left := su.serving.Load(); left > 0 {
		su.logger.Warn("requests aborted at shutdown", "serving", left)
	}
	closeCtx, cancelClose := context.WithTimeout(ctx, closeTimeout)
	defer cancelClose()
	_ = sv.callers.Shutdown(closeCtx)
	su.awaitRelayed(ctx, end)
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	su.keeper.Leave(leaveCtx)
	sv.close()
}

// awaitRequests waits until the callers' requests in progress have ended, or until a time.
func (su *Supervisor) awaitRequests(ctx context.Context, until time.Time) {
	for su.serving.Load() > 0 && time.Now().Before(until) && sleeper.For(ctx, servingCheckInterval) {
	}
}

// awaitRelayed waits until the requests that this instance relays have ended, or until a time.
func (su *Supervisor) awaitRelayed(ctx context.Context, until time.Time) {
	for su.relayer.Relayed() > 0 && time.Now().Before(until) && sleeper.For(ctx, servingCheckInterval) {
	}
}
