package gossiper

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// maxRumors bounds the records in one message, not counting those of a table comparison.
	maxRumors = 24
	// sendFactor times the bit length of the member count (about its binary logarithm) is how often a rumor is sent.
	sendFactor = 2
)

// rumors holds the keys of recently changed records that peers may not have yet, and how often each was sent.
type rumors struct {
	sent map[string]int
}

func newRumors() *rumors { return &rumors{sent: make(map[string]int)} }

// add starts to spread a record, or restarts if it is being spread already.
func (ru *rumors) add(key string) { ru.sent[key] = 0 }

// take returns the keys to send next, least often sent first, and drops those that have been sent often enough for the
// given number of members.
func (ru *rumors) take(members int) []string {
	keys := make([]string, 0, len(ru.sent))
	for key := range ru.sent {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(left, right string) int {
		return cmp.Or(cmp.Compare(ru.sent[left], ru.sent[right]), cmp.Compare(left, right))
	})
	keys = keys[:min(len(keys), maxRumors)]
	for _, key := range keys {
		ru.sent[key]++
		if ru.sent[key] >= sendFactor*bits.Len(uint(members)) {
			delete(ru.sent, key)
		}
	}
	return keys
}
