package acceptor

import (
	"net/http"
	"time"

	"lovagebank/balancer"
	"lovagebank/estimator"
	"lovagebank/forwarder"
	"lovagebank/platform"
	"lovagebank/router"
)

// firstAnswerWeight is the weight of the time to the first event as a sample of a target's speed. It is low since other prompts
// may be prefilled before.
const firstAnswerWeight = 0.25

// recordSlowness records for the log the estimated speed and pace of a target at the time of a send. A pace age of -1 ms means
// that the target has stated no pace.
func (ex *exchange) recordSlowness(ta *balancer.Target) {
	es, ou := ex.ac.op.Estimator, ex.outcome
	if ou.uneven = es.Uneven(ex.service.Name()); !ou.uneven {
		return
	}
	ou.speed = es.Speed(ta.Start())
	pace, age, ok := es.Pace(ta.Start(), ex.sentAt)
	if ou.pace, ou.paceAge = pace, age; !ok {
		ou.paceAge = -time.Millisecond
	}
}

// speedFields returns the estimated speed of the target and the result of a comparison as key and value pairs of a log line.
func (ou *Outcome) speedFields() []any {
	if !ou.uneven {
		return nil
	}
	fields := []any{"speed", int(ou.speed * 100), "pace", int(ou.pace * 100), "pace-age-ms", ou.paceAge.Milliseconds()}
	if co := ou.comparison; co.result != "" {
		fields = append(fields, "comparison", co.result, "compared-with", co.other, "comparison-ms", co.took.Milliseconds())
	}
	return fields
}

// recordPace records the pace that a response states. A response from a target other than the intended one is ignored.
func (ex *exchange) recordPace(ta *balancer.Target, rs *forwarder.Response, tl platform.TargetLoad) {
	if tl.Pace == 0 && tl.PaceErr == nil || rs.Status() == http.StatusMisdirectedRequest {
		return
	}
	ex.ac.op.PaceAnswered(ta, tl)
	if tl.Pace > 0 && ex.route.Kind() == router.Stream && ex.service.Engine() != nil && rs.Status() == http.StatusOK {
		ex.gaps, ex.gapsOf = estimator.NewGaps(tl.Pace), ta.Start()
	}
}

// recordSpeed derives samples of the target's speed from an arrival of events, if the target has stated its pace.
func (ex *exchange) recordSpeed(now time.Time) {
	if ex.gaps == nil {
		return
	}
	if ex.gaps.First() {
		ex.recordFirstEvent(now)
	}
	if !ex.gaps.Arrived(now) {
		ex.endSpeedSample()
	}
}

// recordFirstEvent derives a sample from the time to the first event. It uses only long prompts without parts that targets may
// have cached: for others, the time depends little on the speed of the target.
func (ex *exchange) recordFirstEvent(now time.Time) {
	if !ex.queueEmpty || ex.lastEventID != "" || len(ex.caller.Parts) > 1 {
		return
	}
	total, perToken, ok := ex.ac.op.Profiler.FirstAnswer(ex.service.Name(), ex.caller.PromptTokens)
	prefill := time.Duration(ex.caller.PromptTokens) * perToken
	if ok && prefill >= total/2 && total > 0 {
		ratio := float64(now.Sub(ex.sentAt)) / float64(total) / ex.gaps.Pace()
		ex.ac.op.Estimator.Record(ex.gapsOf, ratio, firstAnswerWeight)
	}
}

// endSpeedSample adds the sample of the current stream, if it has one.
func (ex *exchange) endSpeedSample() {
	if ex.gaps == nil {
		return
	}
	ratio, weight := ex.gaps.Sample(ex.ac.op.Profiler.BaseGap(ex.service.Name()))
	ex.gaps = nil
	if weight > 0 {
		ex.ac.op.Estimator.Record(ex.gapsOf, ratio, weight)
	}
}
