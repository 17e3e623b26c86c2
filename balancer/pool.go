package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lovagebank/counter"
)

const (
	// longPromptTokens is the length, in tokens, from which a prompt counts as long: its prefill holds up other requests at the
	// engine for about half as long as a stream may pause.
	longPromptTokens = prefillTokensPerTarget / 2
	// longPoolLoad is the share of its time that an engine of the pool for long prompts should spend on their prefill. Prompts
	// differ much in length, so a higher share makes them wait for each other.
	longPoolLoad = 0.3
	// minLongPool and maxLongPool bound the pool, as shares of the targets.
	minLongPool = 1.0 / 12
	maxLongPool = 1.0 / 4
	// minSeparated is the number of targets from which there is a pool. In a smaller service, a pool of one would take too much
	// from short prompts, and long ones would wait for each other.
	minSeparated = 8
	// longPoolInterval is the time between two computations of the pool.
	longPoolInterval = 500 * time.Millisecond
	// longDemandTime is the time in which a long prompt's weight in the demand decays to 1/e. One instance of a large fleet
	// gets one in some seconds.
	longDemandTime = 30 * time.Second
	// minLongPrompts is the number of long prompts from which their rate is estimated, and demandDeviations the number of
	// standard deviations that are added for the chance in their arrivals.
	minLongPrompts   = 4
	demandDeviations = 2.0
	// fastSpeed is the lasting speed, relative to the service, below which a target counts as fast and joins the pool first.
	fastSpeed = 0.8
	// crowdedLoad is the load, as a share of its slots, above which short prompts also use the pool.
	crowdedLoad = 0.8
)

// longPool is the part of a service's targets that long prompts share, so that short ones do not wait behind their prefill. All
// instances compute almost the same pool without communication: the order of the targets is the same, and the size nearly so.
type longPool struct {
	computedAt time.Time
	members    map[*targetState]bool
	// prompts and tokens count this instance's own long prompts.
	prompts counter.Count
	tokens  counter.Count
}

// contains reports whether a target belongs to the pool.
func (lp *longPool) contains(st *targetState) bool { return lp.members[st] }

// separate returns the targets among which an engine is to be chosen for a request: those of the pool for long prompts or the
// others, or all if that leaves none with room.
func (ba *Balancer) separate(ne Request, usable []*targetState, now time.Time) []*targetState {
	if ba.op.SeparateLong == nil || !ba.op.SeparateLong(ne.Service) || ne.Isolated || ne.SameSoftware {
		return usable
	}
	lp := ba.longPoolOf(ne.Service, now)
	long := ne.PromptTokens >= longPromptTokens
	if long && !ne.Retry {
		lp.prompts.Add(1, now)
		lp.tokens.Add(float64(ne.PromptTokens), now)
	}
	part := make([]*targetState, 0, len(usable))
	room, holdsOutside := false, false
	for _, st := range usable {
		if lp.contains(st) != long {
			holdsOutside = holdsOutside || st.serves(ne)
			continue
		}
		part = append(part, st)
		crowded := st.loadWeight() > crowdedLoad
		room = room || !crowded && (long || st.serves(ne))
	}
	if len(part) == 0 || !room && (long || holdsOutside) {
		return usable
	}
	return part
}

// longPoolOf returns the pool of a service, computed anew once in each longPoolInterval.
func (ba *Balancer) longPoolOf(service string, now time.Time) *longPool {
	lp, ok := ba.longPools[service]
	if !ok {
		lp = &longPool{prompts: counter.New(longDemandTime, now), tokens: counter.New(longDemandTime, now)}
		ba.longPools[service] = lp
	}
	if now.Sub(lp.computedAt) < longPoolInterval {
		return lp
	}
	lp.computedAt, lp.members = now, make(map[*targetState]bool)
	states := make([]*targetState, 0, len(ba.byService[service]))
	for _, st := range ba.byService[service] {
		if !st.closed() {
			states = append(states, st)
		}
	}
	slices.SortFunc(states, func(a, b *targetState) int {
		if fastA, fastB := ba.isFast(a), ba.isFast(b); fastA != fastB {
			if fastA {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.hash, b.hash)
	})
	for _, st := range states[:ba.longPoolSize(service, lp, len(states), now)] {
		lp.members[st] = true
	}
	return lp
}

// longPoolSize returns the number of targets in the pool: what the prefill of the fleet's long prompts needs, estimated from
// this instance's own. It goes by an upper bound of their number, as too small a pool makes them wait, and by the largest pool
// while there are few.
func (ba *Balancer) longPoolSize(service string, lp *longPool, targets int, now time.Time) int {
	if targets < minSeparated {
		return 0
	}
	count := lp.prompts.ValueAt(now)
	if count < minLongPrompts {
		return int(math.Ceil(maxLongPool * float64(targets)))
	}
	bound := 1 + demandDeviations/math.Sqrt(count)
	perSecond := bound * lp.tokens.ValueAt(now) / longDemandTime.Seconds() * float64(ba.op.Instances())
	needed := perSecond * ba.op.TokenTime(service).Seconds() / longPoolLoad
	needed = min(max(needed, minLongPool*float64(targets)), maxLongPool*float64(targets))
	return min(int(math.Ceil(needed)), targets)
}

// isFast reports whether a target's lasting speed makes it join the pool for long prompts first.
func (ba *Balancer) isFast(st *targetState) bool {
	return ba.op.LastingSpeed != nil && ba.op.LastingSpeed(st.target.Start()) < fastSpeed
}
