package scheduler

import (
	"time"

	"lovagebank/requester"
)

// estimates holds exponentially weighted means of how long requests and adapter loads take on the target.
type estimates struct {
	// tokenTime is the time per generated token of one request, in seconds.
	tokenTime float64
	// outputShare is the number of tokens that a request generates as a fraction of its maximum.
	outputShare float64
	// loadTime is the duration of an adapter load, in seconds.
	loadTime float64
	// slotWait is the time that recent requests for absent adapters waited for a slot and the load, in seconds.
	slotWait float64
	measured bool
}

const (
	estimateWeight  = 0.05
	initialLoadTime = 0.25
	slotWaitWeight  = 0.2
)

func newEstimates() estimates { return estimates{outputShare: 1, loadTime: initialLoadTime} }

// recordRun updates the estimates with a request that ran to its end.
func (es *estimates) recordRun(rq *requester.Request, us requester.Usage, took time.Duration) {
	generated := float64(us.GeneratedTokens() - rq.ResumeFrom())
	if generated <= 0 {
		return
	}
	perToken := took.Seconds() / generated
	share := min(float64(us.GeneratedTokens())/float64(max(rq.MaxTokens(), 1)), 1)
	if !es.measured {
		es.tokenTime, es.outputShare, es.measured = perToken, share, true
		return
	}
	es.tokenTime += estimateWeight * (perToken - es.tokenTime)
	es.outputShare += estimateWeight * (share - es.outputShare)
}

func (es *estimates) recordLoad(took time.Duration) {
	es.loadTime += estimateWeight * (took.Seconds() - es.loadTime)
}

// recordSlotWait updates the estimates with a request that waited for a slot.
func (es *estimates) recordSlotWait(wait time.Duration) {
	es.slotWait += slotWaitWeight * (wait.Seconds() - es.slotWait)
}

// runTime returns the estimated time that a request takes on the target; zero before the first measurement.
func (es *estimates) runTime(rq *requester.Request) time.Duration {
	left := max(float64(rq.MaxTokens())*es.outputShare-float64(rq.ResumeFrom()), 0)
	return seconds(left * es.tokenTime)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
