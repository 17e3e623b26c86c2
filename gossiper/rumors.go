package gossiper

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	// mostRumors bounds the records that one message carries, besides those of a comparison of tables.
	mostRumors = 24
	// sendFactor times the binary logarithm of the number of members is how often a rumor is sent.
	sendFactor = 2
)

// rumors are the keys of records that others may not know yet.
type rumors struct {
	sent map[string]int
}

func newRumors() *rumors { return &rumors{sent: make(map[string]int)} }

// add starts to spread a record, or starts again.
func (ru *rumors) add(key string) { ru.sent[key] = 0 }

// take returns the keys to send next, those sent least first, and forgets those sent often enough.
func (ru *rumors) take(members int) []string {
	keys := make([]string, 0, len(ru.sent))
	for key := range ru.sent {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(left, right string) int {
		return cmp.Or(cmp.Compare(ru.sent[left], ru.sent[right]), cmp.Compare(left, right))
	})
	keys = keys[:min(len(keys), mostRumors)]
	for _, key := range keys {
		ru.sent[key]++
		if ru.sent[key] >= sendFactor*bits.Len(uint(members)) {
			delete(ru.sent, key)
		}
	}
	return keys
}
