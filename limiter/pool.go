package limiter

import (
	"time"
)

// part is an amount from one bucket, under the fencing number of its holder.
type part struct {
	bucket  string
	fencing uint64
	tokens  int64
}

// chunk is an amount taken from a bucket: a borrowed one may be spent until it expires.
type chunk struct {
	part
	// loan is the loan's number at the bucket's holder, or zero for tokens spent there.
	loan    uint64
	expires time.Time
}

// scope tells which of an instance's tokens a taker may have.
type scope int

const (
	// scopeLocal is for requests and borrowers of the own failure domain.
	scopeLocal scope = iota + 1
	// scopeHome is for the floors of other failure domains.
	scopeHome
	// scopeSurplus is for a home that asks a floor for what it can spare.
	scopeSurplus
)

// pool is what an instance can spend for one organisation: the buckets that it holds, and loans.
type pool struct {
	reserve float64
	// homeFill is how full the home was when it last answered, from 0 to 1.
	homeFill float64
	floor    *bucket
	home     *bucket
	chunks   []chunk
	// loans numbers the loans of the held buckets.
	loans uint64
}

// source is one place that tokens can be taken from.
type source struct {
	bucket *bucket
	chunk  int
	most   int64
}

// sources lists where a taker gets its tokens from, in order. A floor's surplus would run over, so it goes first; its
// reserve is what a cut-off domain lives on, so it goes last.
func (po *pool) sources(sc scope, tokens int64, now time.Time) []source {
	po.expire(now)
	list := make([]source, 0, len(po.chunks)+3)
	var rest int64
	if po.floor != nil {
		spare := po.floor.surplus(now, po.floorKept(sc, tokens, now))
		rest = po.floor.tokens(now) - spare
		list = append(list, source{bucket: po.floor, most: spare})
	}
	if sc == scopeSurplus {
		return list
	}
	for index := range po.chunks {
		list = append(list, source{chunk: index, most: po.chunks[index].tokens})
	}
	if po.home != nil {
		list = append(list, source{bucket: po.home, most: po.home.tokens(now)})
	}
	if po.floor != nil && sc == scopeLocal {
		list = append(list, source{bucket: po.floor, most: rest})
	}
	return list
}

// floorKept is the part of the floor's burst that goes last. The floor and the home are kept equally full, since a full
// bucket loses its refill; but a home that asks gets all above the reserve.
func (po *pool) floorKept(sc scope, tokens int64, now time.Time) float64 {
	if sc == scopeSurplus {
		return po.reserve
	}
	if po.home != nil {
		// What both will hold once the tokens are taken.
		left := po.home.fill(now)*po.home.burst + po.floor.fill(now)*po.floor.burst - float64(tokens)
		po.homeFill = max(0, left/max(1, po.home.burst+po.floor.burst))
	}
	return max(po.reserve, po.homeFill)
}

// available returns the whole tokens that a taker could have.
func (po *pool) available(sc scope, now time.Time) int64 {
	var sum int64
	for _, so := range po.sources(sc, 0, now) {
		sum += so.most
	}
	return sum
}

// spend takes exactly the given tokens for a request that runs now; it must be available.
func (po *pool) spend(tokens int64, now time.Time) []chunk {
	return po.take(tokens, scopeLocal, 0, now)
}

// lend takes exactly the given tokens for another instance; it must be available.
func (po *pool) lend(tokens int64, sc scope, now time.Time) []chunk {
	po.loans++
	return po.take(tokens, sc, po.loans, now)
}

// take takes tokens out of the sources: under the number of a loan, or to be spent now when that is zero.
func (po *pool) take(tokens int64, sc scope, loan uint64, now time.Time) []chunk {
	var taken []chunk
	for _, so := range po.sources(sc, tokens, now) {
		amount := min(tokens, so.most)
		if amount <= 0 {
			continue
		}
		tokens -= amount
		if so.bucket != nil {
			so.bucket.take(amount, loan, now)
			piece := part{so.bucket.name, so.bucket.fencing, amount}
			taken = append(taken, chunk{piece, loan, now.Add(loanValidity)})
			continue
		}
		ch := &po.chunks[so.chunk]
		ch.tokens -= amount
		taken = append(taken, chunk{part{ch.bucket, ch.fencing, amount}, ch.loan, ch.expires})
	}
	return taken
}

// expire drops loans that were spent or lost.
func (po *pool) expire(now time.Time) {
	kept := po.chunks[:0]
	for _, ch := range po.chunks {
		if ch.tokens > 0 && now.Before(ch.expires) {
			kept = append(kept, ch)
		}
	}
	po.chunks = kept
}

// unspent removes and returns the loans that are about to expire.
func (po *pool) unspent(now time.Time) []chunk {
	po.expire(now)
	var back []chunk
	for index := range po.chunks {
		if ch := &po.chunks[index]; ch.expires.Sub(now) < returnAhead {
			back = append(back, *ch)
			ch.tokens = 0
		}
	}
	po.expire(now)
	return back
}
