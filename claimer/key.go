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
	// uuidLength is the length of a UUID in text form. A version 7 UUID begins with a time in milliseconds, as 12 hex
	// digits in two groups.
	uuidLength       = 36
	uuidVersionIndex = 14
	uuidVersion7     = '7'
)

// keyTime returns the timestamp in an Idempotency-Key. Only a version 7 UUID contains one.
func keyTime(key string) (at time.Time, ok bool) {
	if len(key) != uuidLength || key[uuidVersionIndex] != uuidVersion7 {
		return time.Time{}, false
	}
	ms, err := strconv.ParseInt(key[:8]+key[9:13], 16, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(ms), true
}

// newClaim returns the claim for a request. If the request has no Idempotency-Key, its request ID serves as the key.
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

// sameRequest reports whether two claims are for the same route and body.
func sameRequest(one, other *wire.Claim) bool {
	return one.GetRoute() == other.GetRoute() && string(one.GetBodyHash()) == string(other.GetBodyHash())
}

// claimKeys holds the store keys of a claim. Each belongs to an epoch, which is deleted as a whole.
type claimKeys struct {
	// own is the key that the claim is written to.
	own string
	// others are keys that may hold an earlier claim; empty if the Idempotency-Key contains a timestamp.
	others []string
}

// claimKeysOf returns the store keys of a claim. An Idempotency-Key with a timestamp has a single store key. Without a
// timestamp, the time of the first claim determines the epoch, so the previous and the next epoch are checked as well:
// the clock of the instance that made the first claim may differ.
func claimKeysOf(claim *wire.Claim, window time.Duration) claimKeys {
	at, timed := keyTime(claim.GetKey())
	if !timed {
		at = time.UnixMilli(claim.GetClaimedAtMs())
	}
	epoch := at.UnixMilli() / window.Milliseconds()
	hash := sha256.Sum256([]byte(claim.GetOrganisation() + "\x00" + claim.GetKey()))
	name := hex.EncodeToString(hash[:16])
	ck := claimKeys{own: keyInEpoch(epoch, name)}
	if !timed {
		ck.others = []string{keyInEpoch(epoch-1, name), keyInEpoch(epoch+1, name)}
	}
	return ck
}

func keyInEpoch(epoch int64, name string) string { return epochPrefix(epoch) + name }

func epochPrefix(epoch int64) string { return fmt.Sprintf("%s%d/", storePrefix, epoch) }

// all returns the keys to check for an earlier claim, the most likely first.
func (ck claimKeys) all() []string { return append([]string{ck.own}, ck.others...) }

// createSteps returns the steps that write a record on the condition that none of the keys exists.
func (ck claimKeys) createSteps(record []byte) []storer.Step {
	list := make([]storer.Step, 0, 1+len(ck.others))
	list = append(list, storer.Swap(ck.own, record, 0))
	for _, key := range ck.others {
		list = append(list, storer.Check(key, 0))
	}
	return list
}
