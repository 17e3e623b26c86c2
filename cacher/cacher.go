// Package cacher estimates which parts of prompts the targets have in their prefix caches, from the requests that this instance
// sent there and from how fast their answers began. It performs no I/O.
package cacher

import (
	"container/list"
	"sync"
	"time"

	"lovagebank/balancer"
)

const (
	// maxEntries limits the parts that are remembered, over all targets; an entry takes about 200 bytes.
	maxEntries = 4096
	// maxParts limits the parts of one prompt that are considered, as callers can send any number.
	maxParts = 32
	// minOwnTokens is the length from which the last part of a prompt is remembered. It belongs to one request or session only,
	// and most are never sent again.
	minOwnTokens = 1000
	// maxVolumes limits the targets whose volumes are kept. All are dropped if there are more, that is, after thousands of
	// targets have come and gone.
	maxVolumes = 8192
)

// Cacher keeps the estimates. It is safe for concurrent use.
type Cacher struct {
	mu       sync.Mutex
	services map[string]*service
	// volumes is the number of tokens that this instance had each target process, by target.
	volumes map[string]*volume
	// total is the number of tokens that this instance had all targets process.
	total float64
	// entries holds the last use of each part, and order the same entries, the most recently used one first.
	entries map[uint64]*list.Element
	order   *list.List
}

// service holds the measurements of one service.
type service struct {
	// volume is the number of tokens that this instance had all targets of the service process.
	volume float64
	// capacity is one engine's memory in tokens, and instances the number of instances that send requests.
	capacity  float64
	instances int
	// measured is set while the prefill time per token is known.
	measured bool
	shares   hitShares
}

// volume is the number of tokens that this instance had one start of a target process.
type volume struct {
	started time.Time
	tokens  float64
}

// entry is the last use of a part at a start of a target. The volumes are those right after it.
type entry struct {
	key           uint64
	targetVolume  float64
	serviceVolume float64
}

// New returns a Cacher without measurements.
func New() *Cacher {
	return &Cacher{
		services: make(map[string]*service), volumes: make(map[string]*volume),
		entries: make(map[uint64]*list.Element), order: list.New(),
	}
}

// Answer describes an answer that has begun.
type Answer struct {
	Prompt balancer.Prompt
	// Start is the start of the target that answers, and Version the version of the adapter there.
	Start   balancer.Start
	Version int64
	// Expected is the estimate on which the target was chosen; nil if there was none.
	Expected *balancer.PrefixEstimate
	// AnswerTokens is the largest number of tokens that the answer may have.
	AnswerTokens int
	// Capacity is the memory of an engine in tokens, and Instances the number of instances that send requests to the targets.
	Capacity  int
	Instances int
	// Took is the time from the send to the first event; 0 if it does not show the prefill time.
	Took time.Duration
	// Full is the time that Took is expected to be if nothing is cached, and PerToken the prefill time of one token; 0 if
	// unknown.
	Full     time.Duration
	PerToken time.Duration
}

// Measurement compares the beginning of an answer with what was expected.
type Measurement struct {
	// Measured is false if the time to the first event does not show whether the shared parts were cached.
	Measured bool
	// Hit reports whether they were.
	Hit bool
	// Tokens is the number of tokens that the answer's beginning suggests to have been cached.
	Tokens int
}

// Began records that an answer has begun: its target has now cached the prompt's parts.
func (ca *Cacher) Began(an Answer) Measurement {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	now := time.Now()
	sv := ca.service(an.Prompt.Service)
	sv.capacity, sv.instances, sv.measured = float64(an.Capacity), an.Instances, an.PerToken > 0
	me := an.measure()
	if me.Measured && an.Expected != nil {
		sv.shares.record(an.Expected, me.Hit, now)
	}
	ca.recordAnswer(sv, an, me)
	return me
}

func (ca *Cacher) service(name string) *service {
	sv, ok := ca.services[name]
	if !ok {
		sv = &service{instances: 1}
		ca.services[name] = sv
	}
	return sv
}

// recordAnswer adds the tokens that the target processes to the volumes, at most as many as fit into its memory, and records
// the use of the prompt's parts.
func (ca *Cacher) recordAnswer(sv *service, an Answer, me Measurement) {
	vo := ca.volumeOf(an.Start)
	processed := float64(an.Prompt.Tokens) + float64(max(an.AnswerTokens, 0))
	switch {
	case me.Measured:
		processed -= float64(me.Tokens)
	case an.Expected != nil:
		processed -= an.Expected.Kept
	}
	processed = min(max(processed, 0), sv.capacity)
	vo.tokens += processed
	ca.total += processed
	sv.volume += processed
	var buffer [maxParts]uint64
	keys, start := chain(buffer[:0], an.Prompt), startKey(an.Start, an.Version)
	for at, key := range keys {
		if at > 0 && at == len(an.Prompt.Parts)-1 && an.Prompt.Parts[at].Tokens < minOwnTokens {
			continue
		}
		ca.use(entry{key: mix(key, start), targetVolume: vo.tokens, serviceVolume: sv.volume})
	}
}

// use records the last use of a part and drops the part that has not been used for longest if there are too many.
func (ca *Cacher) use(en entry) {
	if el, ok := ca.entries[en.key]; ok {
		el.Value = en
		ca.order.MoveToFront(el)
		return
	}
	ca.entries[en.key] = ca.order.PushFront(en)
	if ca.order.Len() > maxEntries {
		oldest := ca.order.Remove(ca.order.Back()).(entry)
		delete(ca.entries, oldest.key)
	}
}

// volumeOf returns the volume of a start of a target. A new one begins so high that parts recorded with a dropped one count as
// evicted.
func (ca *Cacher) volumeOf(ts balancer.Start) *volume {
	vo, ok := ca.volumes[ts.Target]
	if ok && vo.started.Equal(ts.Started) {
		return vo
	}
	if !ok && len(ca.volumes) >= maxVolumes {
		clear(ca.volumes)
	}
	vo = &volume{started: ts.Started, tokens: ca.total}
	ca.volumes[ts.Target] = vo
	return vo
}

// Sizes returns the number of parts and of targets that are remembered.
func (ca *Cacher) Sizes() (parts, targets int) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	return len(ca.entries), len(ca.volumes)
}
