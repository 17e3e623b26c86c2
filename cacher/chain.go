package cacher

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"lovagebank/balancer"
)

// chain appends a key for each part of a prompt. The key of a part depends on the adapter and on all parts before it, as a part
// is cached together with these only.
func chain(keys []uint64, pr balancer.Prompt) []uint64 {
	last := xxhash.Sum64String(pr.Service) ^ xxhash.Sum64String(pr.Adapter.Model+"/"+pr.Adapter.Name)
	for _, pp := range pr.Parts[:min(len(pr.Parts), maxParts)] {
		last = mix(last, xxhash.Sum64String(pp.ID))
		keys = append(keys, last)
	}
	return keys
}

// startKey returns a key for a version of an adapter at a start of a target. A target that restarts or loads another version
// thus has nothing cached.
func startKey(ts balancer.Start, version int64) uint64 {
	return mix(mix(xxhash.Sum64String(ts.Target), uint64(ts.Started.UnixMilli())), uint64(version))
}

// mix returns a hash of two keys.
func mix(first, second uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], first)
	binary.LittleEndian.PutUint64(buffer[8:], second)
	return xxhash.Sum64(buffer[:])
}
