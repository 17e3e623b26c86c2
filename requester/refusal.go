package requester

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome reports whether a request that got no answer can have run.
type Outcome string

// The outcomes of a refusal.
const (
	// OutcomeNotRun means that no byte of the request can have reached a target.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Code is the reason of a refusal, in kebab case, as it appears in answers to callers and in logs.
type Code string

// The reasons of refusals.
const (
	CodeBadRequest       Code = "bad-request"
	CodeUnauthorized     Code = "unauthorized"
	CodeNotInPlan        Code = "not-in-plan"
	CodeNotFound         Code = "not-found"
	CodeMethodNotAllowed Code = "method-not-allowed"
	CodeKeyConflict      Code = "key-conflict"
	CodeStillRunning     Code = "still-running"
	CodeOutcomeUnknown   Code = "outcome-unknown"
	CodeKeyExpired       Code = "key-expired"
	CodeTooLarge         Code = "too-large"
	CodeTooSlow          Code = "too-slow"
	CodeRateExceeded     Code = "rate-exceeded"
	CodeQueueFull        Code = "queue-full"
	CodeNoMemory         Code = "no-memory"
	CodeDeadline         Code = "deadline"
	CodeQuarantined      Code = "quarantined"
	CodeNoTarget         Code = "no-target"
	CodeWrongHolder      Code = "wrong-holder"
	CodeLoadFailed       Code = "load-failed"
	CodeStoreUnavailable Code = "store-unavailable"
	CodeShuttingDown     Code = "shutting-down"
	CodeTargetLost       Code = "target-lost"
	CodeTargetFailed     Code = "target-failed"
	CodeWrongAdapter     Code = "wrong-adapter"
	CodeCancelled        Code = "cancelled"
	CodeInternal         Code = "internal"
	statusClientClosed        = 499
)

var codeStatus = map[Code]int{
	CodeBadRequest:       http.StatusBadRequest,
	CodeUnauthorized:     http.StatusUnauthorized,
	CodeNotInPlan:        http.StatusForbidden,
	CodeNotFound:         http.StatusNotFound,
	CodeMethodNotAllowed: http.StatusMethodNotAllowed,
	CodeKeyConflict:      http.StatusConflict,
	CodeStillRunning:     http.StatusConflict,
	CodeOutcomeUnknown:   http.StatusConflict,
	CodeKeyExpired:       http.StatusConflict,
	CodeTooLarge:         http.StatusRequestEntityTooLarge,
	CodeTooSlow:          http.StatusRequestTimeout,
	CodeRateExceeded:     http.StatusTooManyRequests,
	CodeQueueFull:        http.StatusServiceUnavailable,
	CodeNoMemory:         http.StatusServiceUnavailable,
	CodeDeadline:         http.StatusGatewayTimeout,
	CodeQuarantined:      http.StatusServiceUnavailable,
	CodeNoTarget:         http.StatusServiceUnavailable,
	CodeWrongHolder:      http.StatusServiceUnavailable,
	CodeLoadFailed:       http.StatusServiceUnavailable,
	CodeStoreUnavailable: http.StatusServiceUnavailable,
	CodeShuttingDown:     http.StatusServiceUnavailable,
	CodeTargetLost:       http.StatusBadGateway,
	CodeTargetFailed:     http.StatusBadGateway,
	CodeWrongAdapter:     http.StatusBadGateway,
	CodeCancelled:        statusClientClosed,
	CodeInternal:         http.StatusInternalServerError,
}

// Refusal is the error of a request that ends without a complete answer.
type Refusal struct {
	code       Code
	message    string
	outcome    Outcome
	retryAfter time.Duration
	targetLost bool
}

// Refuse returns the refusal of a request that did not run. The message is one sentence for the caller. retryAfter is
// zero if a retry won't help.
func Refuse(code Code, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{code: code, message: message, outcome: OutcomeNotRun, retryAfter: retryAfter}
}

// RefuseUnknown returns the refusal of a request that may have run. Its parameters are those of Refuse.
func RefuseUnknown(code Code, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{code: code, message: message, outcome: OutcomeUnknown, retryAfter: retryAfter}
}

// RefuseTargetLost returns the refusal of a request whose target was lost while the request ran on it. It may have run.
func RefuseTargetLost(message string) *Refusal {
	return &Refusal{code: CodeTargetLost, message: message, outcome: OutcomeUnknown, targetLost: true}
}

// AsRefusal returns the refusal in the chain of an error, or nil for a nil error. Any other error becomes a refusal
// with the code internal and an unknown outcome.
func AsRefusal(err error) *Refusal {
	if err == nil {
		return nil
	}
	var rf *Refusal
	if errors.As(err, &rf) {
		return rf
	}
	return RefuseUnknown(CodeInternal, err.Error(), 0)
}

// Error returns the code and the message.
func (rf *Refusal) Error() string { return fmt.Sprintf("%s: %s", rf.code, rf.message) }

// Code returns the reason of the refusal.
func (rf *Refusal) Code() Code { return rf.code }

// Message returns one sentence for the caller.
func (rf *Refusal) Message() string { return rf.message }

// Outcome returns whether the request can have run.
func (rf *Refusal) Outcome() Outcome { return rf.outcome }

// RetryAfter returns how long the caller should wait before it sends the request again. It is zero if a retry won't
// help.
func (rf *Refusal) RetryAfter() time.Duration { return rf.retryAfter }

// TargetLost reports whether the target died or stopped answering while the request ran on it.
func (rf *Refusal) TargetLost() bool { return rf.targetLost }

// Status returns the HTTP status code of the refusal.
func (rf *Refusal) Status() int {
	if status, ok := codeStatus[rf.code]; ok {
		return status
	}
	return http.StatusInternalServerError
}
