package soaker

import (
	"net/http"
	"time"

	"lovagebank/emulator"
)

// limitNoticeTime is the time from an answer that names a rate limit until the limit is expected to bind the instance
// that has relayed the answer.
const limitNoticeTime = 500 * time.Millisecond

// injectRateLimit makes a target name a rate limit for a time.
func (so *Soaker) injectRateLimit(fa Fault) {
	ids := so.fleet.TargetIDs()
	ta := so.fleet.Target(ids[fa.Subject%len(ids)])
	ta.NameRateLimit(fa.Rate)
	time.Sleep(fa.Duration)
	ta.DropRateLimit()
}

// checkRateLimits checks what reached the targets while they named rate limits.
func (ch *checker) checkRateLimits() {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	answers := make(map[string]answer)
	for _, an := range ch.callers.answersAfter(0) {
		answers[an.id] = an
	}
	for _, id := range ch.fleet.TargetIDs() {
		excess := ch.fleet.Target(id).RateLimitExcess(func(ar emulator.Arrival, earlier []emulator.Arrival) bool {
			return ch.isBound(answers, ar, earlier)
		})
		ch.expect("instances together keep to a target's rate limit", excess == "", excess)
	}
}

// isBound reports whether the instance that sent a request was bound by the target's rate limit: it had relayed an earlier answer
// that named the limit, and had not been stopped or paused since.
func (ch *checker) isBound(answers map[string]answer, ar emulator.Arrival, earlier []emulator.Arrival) bool {
	sender, ok := answers[ar.ID]
	if !ok {
		return false
	}
	for _, other := range earlier {
		an, answered := answers[other.ID]
		if !answered || an.instance != sender.instance || an.status != http.StatusOK || ar.At.Sub(an.ended) < limitNoticeTime {
			continue
		}
		if !ch.faults.overlaps(sender.instance, an.ended, ar.At) {
			return true
		}
	}
	return false
}
