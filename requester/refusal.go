package requester

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome tells a caller whether a request that got no answer can have run.
type Outcome string

// The outcomes of a refusal.
const (
	// OutcomeNotRun means that no byte of the request can have reached a target.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Code names the reason of a refusal, in kebab case, as callers and logs see it.
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

// Refusal is the typed error that ends a request without a whole answer.
type Refusal struct {
	code       Code
	message    string
	outcome    Outcome
	retryAfter time.Duration
	targetLost bool
}

// Refuse makes a refusal of a request that did not run. retryAfter is zero where a retry won't help.
func Refuse(code Code, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{code: code, message: message, outcome: OutcomeNotRun, retryAfter: retryAfter}
}

// RefuseUnknown makes a refusal of a request that may have run.
func RefuseUnknown(code Code, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{code: code, message: message, outcome: OutcomeUnknown, retryAfter: retryAfter}
}

// RefuseTargetLost makes a refusal of a request whose target was lost while the request ran on it.
func RefuseTargetLost(message string) *Refusal {
	return &Refusal{code: CodeTargetLost, message: message, outcome: OutcomeUnknown, targetLost: true}
}

// AsRefusal returns the refusal in an error's chain. Any other error counts as internal and of unknown outcome.
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

// Error returns the code and message.
func (rf *Refusal) Error() string { return fmt.Sprintf("%s: %s", rf.code, rf.message) }

// Code returns the reason.
func (rf *Refusal) Code() Code { return rf.code }

// Message returns one sentence for the caller.
func (rf *Refusal) Message() string { return rf.message }

// Outcome tells whether the request can have run.
func (rf *Refusal) Outcome() Outcome { return rf.outcome }

// RetryAfter returns how long the caller should wait before it asks again; zero when a retry won't help.
func (rf *Refusal) RetryAfter() time.Duration { return rf.retryAfter }

// TargetLost tells whether the target died or went silent while the request ran on it.
func (rf *Refusal) TargetLost() bool { return rf.targetLost }

// Status returns the HTTP status of the refusal.
func (rf *Refusal) Status() int {
	if status, ok := codeStatus[rf.code]; ok {
		return status
	}
	return http.StatusInternalServerError
}
