package scheduler

import (
	"time"

	"lovagebank/requester"
)

// estimates are running means of what requests take on the target.
type estimates struct {
	// tokenTime is the seconds for one generated token of one request.
	tokenTime float64
	// outputShare is the part of the tokens that a request may generate that it does generate.
	outputShare float64
	// loadTime is the seconds of an adapter load.
	loadTime float64
	// slotWait is the seconds that requests for absent adapters lately waited for a slot and the load.
	slotWait float64
	known    bool
}

const (
	estimateWeight  = 0.05
	initialLoadTime = 0.25
	slotWaitWeight  = 0.2
)

func newEstimates() estimates { return estimates{outputShare: 1, loadTime: initialLoadTime} }

// finished learns from a request that ran to its end.
func (es *estimates) finished(rq *requester.Request, us requester.Usage, took time.Duration) {
	generated := float64(us.GeneratedTokens() - rq.ResumeFrom())
	if generated <= 0 {
		return
	}
	perToken := took.Seconds() / generated
	share := min(float64(us.GeneratedTokens())/float64(max(rq.MaxTokens(), 1)), 1)
	if !es.known {
		es.tokenTime, es.outputShare, es.known = perToken, share, true
		return
	}
	es.tokenTime += estimateWeight * (perToken - es.tokenTime)
	es.outputShare += estimateWeight * (share - es.outputShare)
}

func (es *estimates) loaded(took time.Duration) {
	es.loadTime += estimateWeight * (took.Seconds() - es.loadTime)
}

// waited learns from a request that waited for a slot.
func (es *estimates) waited(wait time.Duration) {
	es.slotWait += slotWaitWeight * (wait.Seconds() - es.slotWait)
}

// run returns the time that a request will take on the target; zero before anything was measured.
func (es *estimates) run(rq *requester.Request) time.Duration {
	left := max(float64(rq.MaxTokens())*es.outputShare-float64(rq.ResumeFrom()), 0)
	return seconds(left * es.tokenTime)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
