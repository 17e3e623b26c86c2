package acceptor

import (
	"math"
	"net/http"
	"time"

	"lovagebank/admitter"
	"lovagebank/balancer"
	"lovagebank/platform"
	"lovagebank/sleeper"
)

const (
	// roomRetryInterval is the time between two choices of a request that waits for memory at a target. The wait ends when the
	// latency objective has passed or, on a route without one, after maxRoomWaitShare of the request's time.
	roomRetryInterval = 25 * time.Millisecond
	maxRoomWaitShare  = 0.5
	// maxTokens limits the number of tokens that a caller states, so that sums do not overflow.
	maxTokens = 1 << 40
)

// checkAdmission decides, before the request first waits for anything, whether it is admitted. An admitted request whose target
// has no memory left waits until there is some. If ready is false without a refusal, a target must be chosen again.
func (ex *exchange) checkAdmission(ch *balancer.Choice) (rf *refusal, ready bool) {
	if ex.ac.op.Admitter == nil {
		return nil, true
	}
	oc := ch.Occupancy()
	if !oc.Fits {
		return ex.refusalUnlessRun(refusedByAdmission(admitter.TooLarge, 0)), false
	}
	if !ex.decided {
		ex.decided = true
		if de := ex.decide(oc); !de.Admitted() {
			return ex.refusalUnlessRun(refusedByAdmission(de.Reason(), de.RetryAfter())), false
		}
	}
	if oc.Room {
		return nil, true
	}
	left := time.Until(ex.roomDeadline())
	if left <= 0 {
		rf := refusedByAdmission(admitter.Memory, usualWait)
		rf.spread = false
		return ex.refusalUnlessRun(rf), false
	}
	began := time.Now()
	sleeper.For(ex.ctx, min(roomRetryInterval, left))
	ex.outcome.roomWait += time.Since(began)
	return nil, false
}

// roomDeadline returns the time until which the request waits for memory at a target.
func (ex *exchange) roomDeadline() time.Time {
	wait := ex.route.LatencyObjective()
	if wait <= 0 {
		wait = time.Duration(maxRoomWaitShare * float64(ex.deadline.Sub(ex.outcome.arrived)))
	}
	return ex.outcome.arrived.Add(wait)
}

// decide asks the admitter about the request. A resumed stream is always admitted, as a part of it has been served.
func (ex *exchange) decide(oc balancer.Occupancy) admitter.Decision {
	if ex.caller.LastEvent != "" {
		return admitter.Decision{}
	}
	de := ex.ac.op.Admitter.Decide(admitter.Request{
		Service:      ex.service.Name(),
		Organisation: ex.outcome.organisation,
		Rank:         ex.rank(),
		Work:         float64(ex.memoryTokens()),
		TimeLeft:     time.Until(ex.deadline),
		Objective:    ex.route.LatencyObjective(),
		Queue:        ex.queueRank(),
		Load:         oc,
	})
	ex.outcome.admission, ex.outcome.occupancy = de, oc
	return de
}

// memoryTokens returns the memory that the request may take at an engine, in tokens; 0 for other requests.
func (ex *exchange) memoryTokens() int {
	if !ex.caller.HasTokens || ex.service.Engine() == nil {
		return 0
	}
	bounded := func(tokens int) int { return min(max(tokens, 0), maxTokens) }
	return bounded(ex.caller.PromptTokens) + bounded(ex.caller.MaxAnswerTokens)
}

// commitMemory records the memory that a request may take at its target.
func (ex *exchange) commitMemory(sent *balancer.PendingRequest) *balancer.PendingRequest {
	if ex.ac.op.Admitter != nil {
		sent.Commit(ex.memoryTokens())
	}
	return sent
}

// trackAnswer starts to measure the time to the answer of a send for the admitter; the returned function ends the measurement.
func (ex *exchange) trackAnswer() (ended func()) {
	ex.answer = nil
	if ex.ac.op.Admitter == nil {
		return func() {}
	}
	ex.answer = ex.ac.op.Admitter.Sent(ex.service.Name(), ex.queueRank())
	return ex.answer.Done
}

// answerBegan reports to the admitter that the answer to the last send has begun.
func (ex *exchange) answerBegan() {
	if ex.answer != nil {
		ex.answer.Answered()
		ex.answer = nil
	}
}

// rank returns the request's urgency as it is sent to targets; 0 is the most urgent.
func (ex *exchange) rank() int { return platform.Urgency(ex.organisation.Priorities(ex.route)) }

// queueRank returns the rank by which targets run waiting requests. Only engines go by it.
func (ex *exchange) queueRank() int {
	if ex.service.Engine() == nil {
		return 0
	}
	return ex.rank()
}

// admissionReasons are the texts of refusals by admission control.
var admissionReasons = map[admitter.Reason]string{
	admitter.TooLarge:   "the request is larger than a target's memory",
	admitter.Deadline:   "the targets are too busy to answer before the deadline",
	admitter.Memory:     "the targets' memory is taken",
	admitter.Late:       "the targets are too busy to answer in time",
	admitter.LessUrgent: "the targets are busy with more urgent requests",
	admitter.OverShare:  "the targets are busy and the organisation is over its share",
}

// refusedByAdmission returns a refusal by admission control. retryDelay leaves its wait as it is.
func refusedByAdmission(re admitter.Reason, wait time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: admissionReasons[re], wait: wait, spread: true}
}

const (
	// shortestSpread and longestSpread bound the random factor of the delay after which a refused caller may retry.
	shortestSpread = 0.6
	longestSpread  = 1.4
	// retryLeftShare is the part of the time left up to which callers honour the delay.
	retryLeftShare = 1.0 / 3
)

// retryDelay returns the delay after which a refused caller may retry. With admission control it is random and within a third
// of the time left, so that callers who are refused together do not retry together.
func (ex *exchange) retryDelay(rf *refusal) time.Duration {
	if ex.ac.op.Admitter == nil || rf.wait <= 0 || rf.spread || ex.deadline.IsZero() {
		return rf.wait
	}
	limit := retryLeftShare * time.Until(ex.deadline).Seconds()
	wait := math.Min(rf.wait.Seconds()*longestSpread, limit)
	factor := shortestSpread + (longestSpread-shortestSpread)*ex.ac.op.Random()
	return time.Duration(max(wait*factor/longestSpread, 0) * float64(time.Second))
}

// admissionFields returns the decision on the request's admission as key and value pairs of a log line; none if the targets
// were not busy.
func (ou *Outcome) admissionFields() []any {
	de, oc := ou.admission, ou.occupancy
	if de.Admitted() && de.Limit() == 0 && ou.roomWait == 0 {
		return nil
	}
	return []any{
		"admission", ou.Admission(), "expected-answer-ms", de.Answer().Milliseconds(), "limit-ms", de.Limit().Milliseconds(),
		"best-requests", int(oc.Requests), "best-age-ms", oc.Age.Milliseconds(), "taken", int(oc.Taken * 100),
		"memory", int(oc.Committed * 100), "over-share", de.OverShare(), "room-wait-ms", ou.roomWait.Milliseconds(),
	}
}

// Admission returns the decision on the request's admission by its reason; empty if the targets were not busy.
func (ou *Outcome) Admission() string {
	switch de := ou.admission; {
	case !de.Admitted():
		return string(de.Reason())
	case de.Guaranteed():
		return "guaranteed"
	case de.Limit() > 0:
		return "admitted"
	default:
		return ""
	}
}
