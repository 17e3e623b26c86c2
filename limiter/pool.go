package limiter

import (
	"time"
)

// bucketAmount is an amount of tokens from one bucket, under the fencing number of its holder.
type bucketAmount struct {
	bucket  string
	fencing uint64
	tokens  int64
}

// chunk is an amount taken from a bucket; a borrowed chunk may be spent until it expires.
type chunk struct {
	bucketAmount
	// loan is the number of the loan at the bucket's holder, or zero for tokens that the holder itself spent.
	loan    uint64
	expires time.Time
}

// scope selects which of an instance's tokens may be taken.
type scope int

const (
	// scopeLocal is for requests and borrowers of this failure domain.
	scopeLocal scope = iota + 1
	// scopeHome is for the floors of other failure domains.
	scopeHome
	// scopeSurplus is for a home that borrows the surplus of a floor.
	scopeSurplus
)

// pool is what an instance can spend for one organisation: the buckets that it holds, and its loans.
type pool struct {
	// reserve is the share of the floor's burst that is not lent to other domains.
	reserve float64
	// homeFill is how full the home was when its holder last answered, from 0 to 1.
	homeFill float64
	floor    *bucket
	home     *bucket
	chunks   []chunk
	// lastLoan is the number of the last loan from the held buckets.
	lastLoan uint64
}

// source is a held bucket or, if bucket is nil, a chunk that tokens can be taken from.
type source struct {
	bucket *bucket
	// chunk is an index into pool.chunks.
	chunk     int
	maxTokens int64
}

// sources lists the sources of tokens in the order of use. A floor's surplus is used first, because it would overflow;
// its reserve is used last, because a domain that is cut off has nothing else.
func (po *pool) sources(sc scope, tokens int64, now time.Time) []source {
	po.prune(now)
	list := make([]source, 0, len(po.chunks)+3)
	var reserved int64
	if po.floor != nil {
		spare := po.floor.surplus(now, po.floorReserve(sc, tokens, now))
		reserved = po.floor.tokens(now) - spare
		list = append(list, source{bucket: po.floor, maxTokens: spare})
	}
	if sc == scopeSurplus {
		return list
	}
	for index := range po.chunks {
		list = append(list, source{chunk: index, maxTokens: po.chunks[index].tokens})
	}
	if po.home != nil {
		list = append(list, source{bucket: po.home, maxTokens: po.home.tokens(now)})
	}
	if po.floor != nil && sc == scopeLocal {
		list = append(list, source{bucket: po.floor, maxTokens: reserved})
	}
	return list
}

// floorReserve returns the share of the floor's burst that is used last. The floor and the home are kept equally full,
// because a full bucket loses its refill; a home that borrows gets all above the reserve.
func (po *pool) floorReserve(sc scope, tokens int64, now time.Time) float64 {
	if sc == scopeSurplus {
		return po.reserve
	}
	if po.home != nil {
		// The total in both buckets after the tokens are taken.
		left := po.home.fill(now)*po.home.burst + po.floor.fill(now)*po.floor.burst - float64(tokens)
		po.homeFill = max(0, left/max(1, po.home.burst+po.floor.burst))
	}
	return max(po.reserve, po.homeFill)
}

// available returns the number of whole tokens that can be taken in a scope.
func (po *pool) available(sc scope, now time.Time) int64 {
	var sum int64
	for _, so := range po.sources(sc, 0, now) {
		sum += so.maxTokens
	}
	return sum
}

// spend takes exactly the given number of tokens for a request that runs now; they must be available.
func (po *pool) spend(tokens int64, now time.Time) []chunk {
	return po.take(tokens, scopeLocal, 0, now)
}

// lend takes exactly the given number of tokens for another instance, as a new loan; they must be available.
func (po *pool) lend(tokens int64, sc scope, now time.Time) []chunk {
	po.lastLoan++
	return po.take(tokens, sc, po.lastLoan, now)
}

// take takes tokens from the sources: under the loan's number, or to be spent now if it is zero.
func (po *pool) take(tokens int64, sc scope, loan uint64, now time.Time) []chunk {
	var taken []chunk
	for _, so := range po.sources(sc, tokens, now) {
		amount := min(tokens, so.maxTokens)
		if amount <= 0 {
			continue
		}
		tokens -= amount
		if so.bucket != nil {
			so.bucket.take(amount, loan, now)
			ba := bucketAmount{so.bucket.name, so.bucket.fencing, amount}
			taken = append(taken, chunk{ba, loan, now.Add(loanValidity)})
			continue
		}
		ch := &po.chunks[so.chunk]
		ch.tokens -= amount
		taken = append(taken, chunk{bucketAmount{ch.bucket, ch.fencing, amount}, ch.loan, ch.expires})
	}
	return taken
}

// prune removes chunks that are used up or have expired.
func (po *pool) prune(now time.Time) {
	kept := po.chunks[:0]
	for _, ch := range po.chunks {
		if ch.tokens > 0 && now.Before(ch.expires) {
			kept = append(kept, ch)
		}
	}
	po.chunks = kept
}

// takeExpiring removes and returns the chunks that expire within returnBeforeExpiry.
func (po *pool) takeExpiring(now time.Time) []chunk {
	po.prune(now)
	var expiring []chunk
	for index := range po.chunks {
		if ch := &po.chunks[index]; ch.expires.Sub(now) < returnBeforeExpiry {
			expiring = append(expiring, *ch)
			ch.tokens = 0
		}
	}
	po.prune(now)
	return expiring
}
