package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"lovagebank/requester"
	"lovagebank/storer"
	"lovagebank/wire"
)

const (
	storePrefix = "lovagebank/claims/"
	// uuidLength is the length of a UUID in text; version 7 begins with a time in milliseconds, as 12 hex digits in
	// two groups.
	uuidLength      = 36
	uuidVersionAt   = 14
	uuidVersionTime = '7'
)

// keyTime returns the time that an Idempotency-Key carries. Only a UUID of version 7 carries one.
func keyTime(key string) (at time.Time, ok bool) {
	if len(key) != uuidLength || key[uuidVersionAt] != uuidVersionTime {
		return time.Time{}, false
	}
	ms, err := strconv.ParseInt(key[:8]+key[9:13], 16, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(ms), true
}

// newClaim makes the claim of a request. A request without a key gets one of its own.
func newClaim(rq *requester.Request, instance, nonce string, now time.Time) *wire.Claim {
	key := rq.IdempotencyKey()
	if key == "" {
		key = rq.ID()
	}
	hash := sha256.Sum256(rq.Body())
	return &wire.Claim{
		Organisation: rq.Organisation(), Key: key, Route: rq.Method() + " " + rq.Path(), BodyHash: hash[:],
		Nonce: nonce, ClaimedAtMs: now.UnixMilli(), Instance: instance,
	}
}

// sameRequest tells whether two claims are for the same route and body.
func sameRequest(one, other *wire.Claim) bool {
	return one.GetRoute() == other.GetRoute() && string(one.GetBodyHash()) == string(other.GetBodyHash())
}

// places are the store's keys of a claim. Each lies in an epoch, which is dropped as a whole.
type places struct {
	// own is where the claim is written.
	own string
	// others are where an earlier claim of the same key may lie; empty when the key carries its time.
	others []string
}

// placesOf returns where a claim belongs. A key with a time has one place. A key without gets the time of its first
// claim, so the epochs before and after are looked at as well: their instance's clock may have been another.
func placesOf(claim *wire.Claim, window time.Duration) places {
	at, timed := keyTime(claim.GetKey())
	if !timed {
		at = time.UnixMilli(claim.GetClaimedAtMs())
	}
	epoch := at.UnixMilli() / window.Milliseconds()
	hash := sha256.Sum256([]byte(claim.GetOrganisation() + "\x00" + claim.GetKey()))
	name := hex.EncodeToString(hash[:16])
	pl := places{own: placeIn(epoch, name)}
	if !timed {
		pl.others = []string{placeIn(epoch-1, name), placeIn(epoch+1, name)}
	}
	return pl
}

func placeIn(epoch int64, name string) string { return epochPrefix(epoch) + name }

func epochPrefix(epoch int64) string { return fmt.Sprintf("%s%d/", storePrefix, epoch) }

// all returns the keys to look at for an earlier claim, the likeliest first.
func (pl places) all() []string { return append([]string{pl.own}, pl.others...) }

// steps writes a record where no claim may be yet.
func (pl places) steps(record []byte) []storer.Step {
	list := make([]storer.Step, 0, 1+len(pl.others))
	list = append(list, storer.Swap(pl.own, record, 0))
	for _, key := range pl.others {
		list = append(list, storer.Check(key, 0))
	}
	return list
}
