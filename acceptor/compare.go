package acceptor

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"lovagebank/balancer"
	"lovagebank/forwarder"
	"lovagebank/platform"
	"lovagebank/router"
)

const (
	// minComparedShare is the prefill time of a prompt, as a share of the latency objective, from which two targets are
	// compared by queries of their health: each query costs the targets, and disturbances matter little to shorter prompts.
	minComparedShare = 0.25
	// defaultHealthTimeout limits the queries. Targets answer them at once, so a longer wait costs more than a better choice
	// gains.
	defaultHealthTimeout = 20 * time.Millisecond
	// maxHealthBody limits the body of an answer to a query, in bytes.
	maxHealthBody = 4 << 10
)

// Results of a comparison of two targets, for logs and metrics.
const (
	comparedKept        = "kept"
	comparedSwitched    = "switched"
	comparedNoAnswer    = "unanswered"
	comparedMisdirected = "misdirected"
)

// comparison is the result of querying two targets, for logs and metrics.
type comparison struct {
	other  string
	result string
	took   time.Duration
}

// healthAnswer is a target's answer to a query of its health.
type healthAnswer int

const (
	noAnswer healthAnswer = iota
	answered
	// otherTarget means that another target is at the address, or that the target takes no requests any more.
	otherTarget
)

// compare queries the health of the chosen target and of another one, if the prompt is long and the service uneven, and returns
// the choice with the lower expected time. The choice stands if either target does not answer.
func (ex *exchange) compare(ch *balancer.Choice) *balancer.Choice {
	if ex.outcome.comparison.result != "" || ex.sends > 0 || !ex.mayCompare(ch.Target()) {
		return ch
	}
	ne := ex.requirements()
	ne.Retry, ne.HeldOnly, ne.Excluded = true, true, map[string]bool{ch.Target().ID(): true}
	for id := range ex.excluded {
		ne.Excluded[id] = true
	}
	if software := ch.Target().Software(); software != "" {
		ne.SameSoftware, ne.Software = true, software
	}
	other, ok := ex.ac.op.Balancer.Choose(ne)
	if !ok || !other.Holds() || !ex.mayQuery(other.Target()) {
		return ch
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ex.ctx, ex.ac.op.HealthTimeout)
	defer cancel()
	answers := make(chan healthAnswer, 1)
	go func() { answers <- ex.queryHealth(ctx, other.Target()) }()
	first := ex.queryHealth(ctx, ch.Target())
	second := <-answers
	co := comparison{other: other.Target().ID(), result: comparedKept, took: time.Since(began)}
	switch {
	case first == otherTarget && second == answered:
		co.result = comparedMisdirected
	case first != answered || second != answered:
		co.result = comparedNoAnswer
	case ex.expectedWork(other) < ex.expectedWork(ch):
		co.result = comparedSwitched
	}
	ex.outcome.comparison = co
	if co.result == comparedSwitched || co.result == comparedMisdirected {
		return other
	}
	return ch
}

// expectedWork returns the work at a chosen target with the request, from the load and the pace just queried.
func (ex *exchange) expectedWork(ch *balancer.Choice) float64 {
	return ex.ac.op.Balancer.ExpectedWork(ch.Target(), ex.caller.PromptTokens)
}

// mayCompare reports whether a chosen target is worth a comparison with another one.
func (ex *exchange) mayCompare(ta *balancer.Target) bool {
	if ex.service.Engine() == nil || !ex.ac.op.Estimator.Uneven(ex.service.Name()) || ex.outcome.isolated.Crashes > 0 {
		return false
	}
	if ex.service.HealthPath() == "" || ex.route.LatencyObjective() <= 0 || ex.route.Kind() != router.Stream || ex.ac.op.CutOff() {
		return false
	}
	_, perToken, ok := ex.ac.op.Profiler.FirstAnswer(ex.service.Name(), ex.caller.PromptTokens)
	prefill := time.Duration(ex.caller.PromptTokens) * perToken
	return ok && float64(prefill) >= minComparedShare*float64(ex.route.LatencyObjective()) && ex.mayQuery(ta)
}

// mayQuery reports whether a target may get a query now. It may get none under a rate limit, which counts what arrives.
func (ex *exchange) mayQuery(ta *balancer.Target) bool {
	_, limited := ex.ac.op.Throttler.Limit(ta.Start())
	return !limited && ex.ac.op.Balancer.Available(ta)
}

// queryHealth queries the health of a target and records the load and the pace that it states. A missing answer is not held
// against the target.
func (ex *exchange) queryHealth(ctx context.Context, ta *balancer.Target) healthAnswer {
	id := "health-" + strconv.FormatUint(rand.Uint64(), 36)
	rq := &forwarder.Request{
		Method: http.MethodGet, URI: ex.service.HealthPath(), Host: ta.Address(), Header: platform.HealthHeader(ta.ID(), id),
		ID: id, Repeatable: true, Usable: func() bool { return ex.mayQuery(ta) },
		// An answer without a request ID is accepted as the answer to the query, as the health path need not return the ID.
		ResponseID: func(header http.Header) string {
			if answeredID := platform.ResponseID(header); answeredID != "" {
				return answeredID
			}
			return id
		},
	}
	sentAt := time.Now()
	rs, err := ex.ac.op.Forwarder.Send(ctx, ex.forwarderTarget(ta), rq)
	if err != nil {
		return noAnswer
	}
	defer rs.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(rs, maxHealthBody)); err != nil {
		return noAnswer
	}
	if !platform.AnsweredBy(ta.ID(), rs.Status(), rs.Header()) {
		return otherTarget
	}
	return ex.recordHealth(ta, rs, sentAt)
}

// recordHealth records the rate limit, the load and the pace that a target states in the answer to a health query, and whether
// it is leaving.
func (ex *exchange) recordHealth(ta *balancer.Target, rs *forwarder.Response, sentAt time.Time) healthAnswer {
	if rl := platform.ParseRateLimit(rs.Header()); rl.Named {
		ex.ac.op.RateLimitAnswered(ta.Start(), rl, sentAt)
	}
	if platform.Leaving(rs.Header()) {
		ex.ac.op.TargetLeaving(ta.Start())
		return otherTarget
	}
	tl, ok := platform.ParseTargetLoad(rs.Header())
	if !ok || rs.Status() != http.StatusOK {
		return noAnswer
	}
	ex.ac.op.Balancer.SetLoad(ta.ID(), tl.Running+tl.Waiting)
	if tl.Pace > 0 || tl.PaceErr != nil {
		ex.ac.op.PaceAnswered(ta, tl)
	}
	if tl.Pace == 0 {
		return noAnswer
	}
	return answered
}
