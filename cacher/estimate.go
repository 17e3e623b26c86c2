package cacher

import (
	"math"
	"time"

	"lovagebank/balancer"
)

const (
	// evictionSteepness is the exponent of the probability that a part has been evicted, as a function of the tokens that went
	// through the target since. These are an estimate, so the probability rises over a range of about a factor of 2 instead of
	// at once.
	evictionSteepness = 4
	// likelyKept is the probability from which this instance's own requests explain that a part is cached.
	likelyKept = 0.5
	// minSavedTime and minSavedShare are the least prefill time of the shared parts, alone and as a share of the expected time
	// to the first event, from which a measurement shows whether they were cached. Links and other prompts make shorter times
	// uncertain.
	minSavedTime  = 20 * time.Millisecond
	minSavedShare = 0.2
)

// Estimate fills in what each target is expected to have cached of a prompt. It returns false if there is no basis for that: no
// measured prefill time of the service, or no configured memory of its engines.
func (ca *Cacher) Estimate(pr balancer.Prompt, estimates []balancer.PrefixEstimate) bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	sv, ok := ca.services[pr.Service]
	if !ok || !sv.measured || sv.capacity <= 0 {
		return false
	}
	var buffer [maxParts]uint64
	keys := chain(buffer[:0], pr)
	chances := sv.shares.chances(time.Now())
	for at := range estimates {
		ca.estimate(sv, pr, keys, &estimates[at], chances)
	}
	return true
}

// Kept returns the number of a prompt's tokens that a target is expected to have cached, as if it were unranked: parts from
// other instances' requests count only as far as hits were measured at such targets.
func (ca *Cacher) Kept(pr balancer.Prompt, ts balancer.Start, version int64) float64 {
	estimates := []balancer.PrefixEstimate{{Start: ts, Version: version, Position: balancer.UnrankedPosition}}
	if !ca.Estimate(pr, estimates) {
		return 0
	}
	return estimates[0].Kept
}

// estimate fills in the estimate for one target. A part is cached with at most the probability of the parts before it.
func (ca *Cacher) estimate(sv *service, pr balancer.Prompt, keys []uint64, es *balancer.PrefixEstimate, ch chances) {
	shared, room, start := pr.SharedParts(), roomFor(pr, es), startKey(es.Start, es.Version)
	other := ch.byPosition[min(es.Position, balancer.UnrankedPosition)]
	targetVolume := 0.0
	if vo, ok := ca.volumes[es.Start.Target]; ok && vo.started.Equal(es.Start.Started) {
		targetVolume = vo.tokens
	}
	kept := 1.0
	es.Kept, es.Own = 0, 0
	for at, key := range keys {
		own := 0.0
		if el, ok := ca.entries[mix(key, start)]; ok {
			own = sv.ownChance(el.Value.(entry), targetVolume, pr.Targets)
		}
		likely := own * ch.own
		if at < shared {
			likely = 1 - (1-likely)*(1-other)
		}
		if at == shared-1 {
			es.Own = own
		}
		kept = min(kept, likely*room)
		es.Kept += kept * float64(max(pr.Parts[at].Tokens, 0))
	}
	es.Kept = min(es.Kept, float64(pr.Tokens))
}

// ownChance returns the probability that a target still has a part that it processed for this instance. The target evicts it once
// as many other tokens as fit into its memory have gone through it: those of this instance's requests there, and those that the
// other instances are assumed to send to each target, as many as this one does.
func (sv *service) ownChance(en entry, targetVolume float64, targets int) float64 {
	others := float64(max(sv.instances-1, 0)) / float64(max(targets, 1))
	through := max(targetVolume-en.targetVolume, 0) + others*(sv.volume-en.serviceVolume)
	return 1 / (1 + math.Pow(through/sv.capacity, evictionSteepness))
}

// roomFor returns the probability that a target whose memory is nearly all committed has not evicted its cached parts for the
// running requests. It is 1 if the memory is not known.
func roomFor(pr balancer.Prompt, es *balancer.PrefixEstimate) float64 {
	if es.Total <= 0 || es.Used < 0 || pr.Tokens <= 0 {
		return 1
	}
	return min(max(float64(es.Total-es.Used)/float64(pr.Tokens), 0), 1)
}

// measure compares the time to the first event with the time expected with and without the shared parts cached.
func (an Answer) measure() Measurement {
	shared := an.Prompt.SharedTokens()
	saved := time.Duration(shared) * an.PerToken
	if an.Took <= 0 || an.PerToken <= 0 || saved < minSavedTime || float64(saved) < minSavedShare*float64(an.Full) {
		return Measurement{}
	}
	tokens := min(max(int((an.Full-an.Took)/an.PerToken), 0), shared)
	return Measurement{Measured: true, Hit: tokens > shared/2, Tokens: tokens}
}

const (
	// maxUncertainShare is the share of a prompt that may be in shared parts so that the beginning of its answer shows the
	// prefill time per token, although it is not known whether these are cached.
	maxUncertainShare = 0.3
	// surelyKept is the probability from which parts count as cached without a measurement.
	surelyKept = 0.9
)

// PrefilledTokens returns the number of tokens that a target has prefilled before it began an answer, for the estimate of the
// prefill time per token. It is false if that is too uncertain. Without this, prompts whose parts are cached would make engines
// seem faster than they are, and then hits would count as misses.
func (an Answer) PrefilledTokens(me Measurement) (int, bool) {
	shared := an.Prompt.SharedTokens()
	switch es := an.Expected; {
	case es != nil && es.Own >= surelyKept, me.Measured && me.Hit:
		return an.Prompt.Tokens - shared, true
	case me.Measured:
		return an.Prompt.Tokens, true
	default:
		return an.Prompt.Tokens - shared, float64(shared) <= maxUncertainShare*float64(an.Prompt.Tokens)
	}
}
