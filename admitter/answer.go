package admitter

import (
	"time"

	"lovagebank/counter"
)

const (
	// answerTime is the time constant of the counts of answers. Only the instance's own requests are counted: they show the
	// targets' queues at once, while load reports are seconds old.
	answerTime = time.Second
	// smoothing is the rate of answers, in answers a second, that the mean time to an answer counts for beside the requests
	// without one.
	smoothing = 4.0
)

// answerTimes are the times to the answers of requests in one queue of the targets.
type answerTimes struct {
	// pending is the number of requests without an answer.
	pending int
	// answers and seconds count the recent answers and sum up the times to them; lastAt is when the last one came.
	answers counter.Count
	seconds counter.Count
	lastAt  time.Time
}

// Pending is a request that was sent to a target and has no answer yet.
type Pending struct {
	ad     *Admitter
	times  *answerTimes
	sentAt time.Time
	over   bool
}

// Sent records that a request was sent to a target.
func (ad *Admitter) Sent(name string, queue int) *Pending {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	now := time.Now()
	sv := ad.service(name, now)
	at, ok := sv.queues[queue]
	if !ok {
		at = &answerTimes{answers: counter.New(answerTime, now), seconds: counter.New(answerTime, now), lastAt: now}
		sv.queues[queue] = at
	}
	at.pending++
	return &Pending{ad: ad, times: at, sentAt: now}
}

// Answered records the answer, or its first event.
func (pe *Pending) Answered() {
	pe.ad.mu.Lock()
	defer pe.ad.mu.Unlock()
	if pe.over {
		return
	}
	now := time.Now()
	pe.remove()
	pe.times.answers.Add(1, now)
	pe.times.seconds.Add(now.Sub(pe.sentAt).Seconds(), now)
	pe.times.lastAt = now
}

// Done records that the request is over. A request that ends without an answer does not count in the time to an answer.
func (pe *Pending) Done() {
	pe.ad.mu.Lock()
	defer pe.ad.mu.Unlock()
	pe.remove()
}

// remove takes the request off the pending ones. Further calls do nothing.
func (pe *Pending) remove() {
	if !pe.over {
		pe.over = true
		pe.times.pending--
	}
}

// expectedAnswer returns the expected time to the answer of a request in a queue; 0 if it is not known. It is no less than that
// of more urgent requests, which run first.
func (sv *service) expectedAnswer(queue int, now time.Time) time.Duration {
	longest := 0.0
	for other, at := range sv.queues {
		if other <= queue {
			longest = max(longest, at.expected(now))
		}
	}
	return time.Duration(longest * float64(time.Second))
}

// expected returns the expected time to an answer, in seconds: the requests without one by the rate of answers (Little's law),
// which reflects a growing or draining queue at once, smoothed by the mean time to the recent answers. The mean falls with the
// time since the last answer, as the queue may have drained since.
func (at *answerTimes) expected(now time.Time) float64 {
	answers := at.answers.ValueAt(now)
	if answers <= 0 {
		return 0
	}
	mean := max(at.seconds.ValueAt(now)/answers-now.Sub(at.lastAt).Seconds(), 0)
	return (float64(at.pending) + smoothing*mean) / (answers/answerTime.Seconds() + smoothing)
}
