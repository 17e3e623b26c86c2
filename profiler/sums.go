package profiler

import (
	"math"
	"time"
)

// Sums are what is learned of a service's engines, as sums that lose their weight with time. Those of several instances
// add up.
type Sums struct {
	// Prompts counts prompts that an engine began to read at once. Tokens, Took and the others are sums over them: of their
	// lengths, of the milliseconds until their answers began, of both squared and of their products.
	Prompts       float64
	Tokens        float64
	Took          float64
	TokensSquared float64
	TookSquared   float64
	TokensTook    float64
	// Streams counts streams that have ended, and Late those whose longest pause was later than promised by what the
	// reading of prompts can cause.
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
	// leastPrompts is the number of prompts from which their reading time is believed.
	leastPrompts = 40
	// certainty is how many times its standard error the reading time of a token must be.
	certainty = 3
)

// perToken is the time that an engine takes to read one more token of a prompt: the slope of the line through the times
// until answers began over the lengths of their prompts. It is false where too little is known.
func (su *Sums) perToken() (time.Duration, bool) {
	if su.Prompts < leastPrompts {
		return 0, false
	}
	spread := su.TokensSquared - su.Tokens*su.Tokens/su.Prompts
	common := su.TokensTook - su.Tokens*su.Took/su.Prompts
	took := su.TookSquared - su.Took*su.Took/su.Prompts
	if spread <= 0 || common <= 0 {
		return 0, false
	}
	slope := common / spread
	unexplained := max(took-slope*common, 0)
	standardError := math.Sqrt(unexplained / (su.Prompts - 2) / spread)
	if slope < certainty*standardError {
		return 0, false
	}
	return time.Duration(slope * float64(time.Millisecond)), true
}
