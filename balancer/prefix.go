package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// UnrankedPosition is the position of targets that are not among the first in rank for a prompt's shared part. Only for the first
// ones, it matters in which order all instances rank them.
const UnrankedPosition = 3

// freeSlotWeight is the weight of a request on a target with free slots, as a share of its weight in the choice of the least
// loaded target. With the whole weight, instances with old load reports send a prompt past the target that has it cached
// because of requests that do not delay it, and its prefill is repeated elsewhere.
const freeSlotWeight = 0.25

// Prompt is a prompt whose parts targets may have cached.
type Prompt struct {
	Service string
	Adapter Adapter
	// Tokens is the length in tokens.
	Tokens int
	Parts  []PromptPart
	// Targets is the number of targets of the service.
	Targets int
}

// SharedParts returns the number of parts that other requests are likely to share. The last one belongs to one request or session
// only, unless it is the only one.
func (pr Prompt) SharedParts() int {
	if len(pr.Parts) < 2 {
		return len(pr.Parts)
	}
	return len(pr.Parts) - 1
}

// maxPromptTokens limits the lengths of prompts and parts that callers state. Larger ones are invalid.
const maxPromptTokens = 1 << 30

// validTokens returns the length of the part, without what is invalid of it.
func (pp PromptPart) validTokens() int { return min(max(pp.Tokens, 0), maxPromptTokens) }

// SharedTokens returns the length of the shared parts.
func (pr Prompt) SharedTokens() int {
	shared := 0
	for _, pp := range pr.Parts[:pr.SharedParts()] {
		shared += pp.validTokens()
	}
	return min(shared, pr.Tokens)
}

// PrefixEstimate is what one target is expected to have cached of a prompt.
type PrefixEstimate struct {
	// Start is the start of the target. Position is its position in rank, from 0, for the prompt's shared part, at most
	// UnrankedPosition.
	Start    Start
	Position int
	// Version is the version of the adapter at the target. What it has cached of another version is of no use.
	Version int64
	// Used and Total are the tokens of the target's memory that are committed and all; Total is 0 if they are not known.
	Used  int
	Total int
	// Kept is the expected number of cached tokens. Own is the probability that the shared parts are cached because of this
	// instance's own requests.
	Kept float64
	Own  float64
	// ForCache is set if another target would have been chosen without cached parts.
	ForCache bool
}

// weighsPrefix reports whether the tokens that targets have cached of the request's prompt count in the choice among them.
// Short prompts whose shared parts weigh less than the jitter are chosen for by load alone, which spares an estimate for each
// target.
func (ba *Balancer) weighsPrefix(ne Request) bool {
	if ba.op.PrefixCache == nil || ba.op.Cached == nil || len(ne.Parts) == 0 || !ba.op.PrefixCache(ne.Service) {
		return false
	}
	pr := ne.Prompt()
	return pr.Tokens >= minAffinityTokens || prefillWeight(float64(pr.SharedTokens())) > baseJitter
}

// chooseByPrefix picks the target with the lowest sum of the expected wait and the prefill of the tokens that it has not
// cached. It returns nil if there are no estimates of what targets have cached.
func (ba *Balancer) chooseByPrefix(ne Request, holding []*targetState, now time.Time) (*targetState, *PrefixEstimate) {
	pr := ne.Prompt()
	pr.Targets = len(ba.byService[ne.Service])
	estimates := ba.prefixEstimates(pr, holding)
	if !ba.op.Cached(pr, estimates) {
		return nil, nil
	}
	waits := make([]float64, len(holding))
	shortest := 0
	for at, st := range holding {
		waits[at] = ba.cost(st, ne.PromptTokens, now)
		if waits[at] < waits[shortest] {
			shortest = at
		}
	}
	best, lowest := shortest, holding[shortest].prefixCost(waits[shortest], pr, estimates[shortest])
	for at, st := range holding {
		if prefillWeight(estimates[at].Kept-estimates[shortest].Kept) <= baseJitter {
			continue
		}
		if cost := st.prefixCost(waits[at], pr, estimates[at]); cost < lowest {
			best, lowest = at, cost
		}
	}
	chosen := estimates[best]
	chosen.ForCache = best != shortest
	return holding[best], &chosen
}

// prefixCost returns the cost of a target for a prompt: the expected wait there, given as the cost without cached parts, and
// the prefill of the tokens that are not cached. Requests that wait for a slot there are assumed to have such prompts, too.
// Requests in other slots hardly delay a prompt while slots are free, so up to busyLoad they count for freeSlotWeight of their
// weight.
func (st *targetState) prefixCost(wait float64, pr Prompt, es PrefixEstimate) float64 {
	requests, slots := st.requests(), max(st.target.Slots(), 1)
	wait -= (1 - freeSlotWeight) * min(float64(requests)/float64(slots), busyLoad)
	prompts := float64(1 + max(requests-slots, 0))
	return wait + prompts*prefillWeight(float64(pr.Tokens)-es.Kept)
}

// prefillWeight returns the weight of the prefill of a number of tokens, in the unit of targetState.weight.
func prefillWeight(tokens float64) float64 { return max(tokens, 0) / prefillTokensPerTarget }

// Prompt returns the request's prompt. Its length is that of its parts if the caller sent none.
func (ne Request) Prompt() Prompt {
	pr := Prompt{Service: ne.Service, Adapter: ne.Adapter, Tokens: ne.PromptTokens, Parts: ne.Parts}
	if pr.Tokens <= 0 {
		pr.Tokens = 0
		for _, pp := range ne.Parts {
			pr.Tokens += pp.validTokens()
		}
	}
	pr.Tokens = min(pr.Tokens, maxPromptTokens)
	return pr
}

// prefixEstimates returns an estimate for each target, without the tokens cached.
func (ba *Balancer) prefixEstimates(pr Prompt, holding []*targetState) []PrefixEstimate {
	estimates := make([]PrefixEstimate, len(holding))
	scores := make([]uint64, len(holding))
	key := hashAdapter(pr.Adapter) ^ xxhash.Sum64String(sharedPart(pr.Parts))
	for at, st := range holding {
		estimates[at] = PrefixEstimate{Start: st.target.Start(), Position: UnrankedPosition, Version: st.adapters[pr.Adapter]}
		if ba.op.Memory != nil {
			estimates[at].Used, estimates[at].Total = ba.op.Memory(st.target.ID())
		}
		scores[at] = score(key, st.hash)
	}
	for position := range UnrankedPosition {
		best := -1
		for at := range holding {
			if estimates[at].Position == UnrankedPosition && (best < 0 || scores[at] < scores[best]) {
				best = at
			}
		}
		if best >= 0 {
			estimates[best].Position = position
		}
	}
	return estimates
}
