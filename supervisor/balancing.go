package supervisor

import (
	"math/rand/v2"
	"time"

	"lovagebank/balancer"
)

// defaultTokenTime is the time that an engine takes to prefill one token, until enough answers have been measured.
const defaultTokenTime = 25 * time.Microsecond

func (su *Supervisor) newBalancer() *balancer.Balancer {
	return balancer.New(balancer.Options{
		FailureDomain: su.settings.FailureDomain(),
		RegionOf:      su.settings.RegionOf,
		PreferLocal:   su.contended,
		SeparateLong:  func(service string) bool { return su.contended || su.estimator.Uneven(service) },
		LastingSpeed:  su.estimator.Speed,
		Slowness:      su.estimator.Slowness,
		PrefixCache:   su.prefixCache,
		Cached:        su.cacher.Estimate,
		TokenTime:     su.tokenTime,
		Instances:     su.instanceCount,
		Random:        rand.Float64,
		Interval:      su.exchanger.Interval,
	})
}

// tokenTime returns the time that an engine of a service takes to prefill one token.
func (su *Supervisor) tokenTime(service string) time.Duration {
	if measured := su.profiler.Estimates()[service].PerToken; measured > 0 {
		return measured
	}
	return defaultTokenTime
}
