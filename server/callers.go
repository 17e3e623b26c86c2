package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"lovagebank/requester"
	"lovagebank/sleeper"
)

const (
	// answerMargin is the time before the end of the drain time by which callers' requests are answered.
	answerMargin = time.Second
	// closeTimeout limits the time to close idle connections of callers at the end of the drain.
	closeTimeout = 500 * time.Millisecond
	// servingCheckInterval is the time between two checks during a drain whether callers' requests have ended.
	servingCheckInterval = 20 * time.Millisecond
	// leavingRetryAfter is the time after which a caller should ask another instance.
	leavingRetryAfter = time.Second
)

// callerRequests counts the requests of callers in progress, and ends them when the instance does.
type callerRequests struct {
	serving  atomic.Int64
	refusing atomic.Bool
	// ending is done once the requests in progress have to be answered at once, and end does that.
	ending context.Context
	end    context.CancelFunc
}

func newCallerRequests() *callerRequests {
	cr := &callerRequests{}
	cr.ending, cr.end = context.WithCancel(context.Background())
	return cr
}

// admit returns a refusal if the instance takes no requests any more.
func (cr *callerRequests) admit() error {
	if !cr.refusing.Load() {
		return nil
	}
	return requester.Refuse(requester.CodeShuttingDown, "The instance is shutting down.", leavingRetryAfter)
}

// handler returns a handler that counts the requests of another one, and ends their contexts when the instance ends.
func (cr *callerRequests) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
		cr.serving.Add(1)
		defer cr.serving.Add(-1)
		ctx, cancel := context.WithCancel(hr.Context())
		defer cancel()
		defer context.AfterFunc(cr.ending, cancel)()
		if cr.refusing.Load() {
			rw.Header().Set("Connection", "close")
		}
		next.ServeHTTP(rw, hr.WithContext(ctx))
	})
}

// drain refuses new requests and waits for those in progress. Shortly before the context ends, it ends them, so that they are answered.
// It returns the error of the context if one remains.
func (cr *callerRequests) drain(ctx context.Context) error {
	cr.refusing.Store(true)
	until := time.Now().Add(time.Hour)
	if deadline, ok := ctx.Deadline(); ok {
		until = deadline.Add(-answerMargin)
	}
	cr.await(ctx, until)
	cr.end()
	cr.await(ctx, until.Add(answerMargin))
	if cr.serving.Load() > 0 {
		return context.DeadlineExceeded
	}
	return nil
}

func (cr *callerRequests) await(ctx context.Context, until time.Time) {
	for cr.serving.Load() > 0 && time.Now().Before(until) && sleeper.For(ctx, servingCheckInterval) {
	}
}
