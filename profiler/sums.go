package profiler

import (
	"math"
	"time"
)

// Sums holds the samples of a service's engines as sums whose weight decays with time. The sums of several instances can be
// added.
type Sums struct {
	// Prompts counts the prompts that an engine began to prefill immediately. The following fields are sums over them: Tokens of
	// their lengths in tokens, Took of the milliseconds until their answers began, TokensSquared and TookSquared of the squares
	// of both, and TokensTook of their products.
	Prompts       float64
	Tokens        float64
	Took          float64
	TokensSquared float64
	TookSquared   float64
	TokensTook    float64
	// Streams counts the streams that have ended. Late counts those whose longest pause exceeded the promised one by no more than
	// prefills can cause.
	Streams float64
	Late    float64
}

func (su *Sums) add(other Sums, weight float64) {
	su.Prompts += weight * other.Prompts
	su.Tokens += weight * other.Tokens
	su.Took += weight * other.Took
	su.TokensSquared += weight * other.TokensSquared
	su.TookSquared += weight * other.TookSquared
	su.TokensTook += weight * other.TokensTook
	su.Streams += weight * other.Streams
	su.Late += weight * other.Late
}

const (
	// minPrompts is the number of prompts from which their prefill time is estimated.
	minPrompts = 40
	// minStandardErrors is the lowest accepted ratio of the prefill time per token to its standard error.
	minStandardErrors = 3
)

// perToken returns the prefill time of one more prompt token: the slope of the linear regression of the times until answers
// began over the lengths of their prompts. It is false if there are too few samples or the slope is too uncertain.
func (su *Sums) perToken() (time.Duration, bool) {
	if su.Prompts < minPrompts {
		return 0, false
	}
	tokensVariation := su.TokensSquared - su.Tokens*su.Tokens/su.Prompts
	covariation := su.TokensTook - su.Tokens*su.Took/su.Prompts
	tookVariation := su.TookSquared - su.Took*su.Took/su.Prompts
	if tokensVariation <= 0 || covariation <= 0 {
		return 0, false
	}
	slope := covariation / tokensVariation
	residual := max(tookVariation-slope*covariation, 0)
	standardError := math.Sqrt(residual / (su.Prompts - 2) / tokensVariation)
	if slope < minStandardErrors*standardError {
		return 0, false
	}
	return time.Duration(slope * float64(time.Millisecond)), true
}
