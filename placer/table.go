package placer

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// candidate is a target with its hash, kept side by side for the scan over all of them.
type candidate struct {
	hash  uint64
	state *targetState
}

// pool is the targets of one base model.
type pool struct {
	local  []candidate
	remote []candidate
	// batch is the smallest batch of the targets.
	batch int
}

// table holds the targets that may get requests, by base model.
type table map[string]*pool

func newTable(targets map[string]*targetState, region string) table {
	tb := table{}
	for id, ts := range targets {
		if ts.target.GetLeaving() {
			continue
		}
		base := ts.target.GetBase()
		if tb[base] == nil {
			tb[base] = &pool{batch: ts.batch()}
		}
		tb[base].batch = min(tb[base].batch, ts.batch())
		ca := candidate{xxhash.Sum64String(id), ts}
		if ts.target.GetRegion() == region {
			tb[base].local = append(tb[base].local, ca)
		} else {
			tb[base].remote = append(tb[base].remote, ca)
		}
	}
	for _, po := range tb {
		slices.SortFunc(po.local, compareCandidates)
		slices.SortFunc(po.remote, compareCandidates)
	}
	return tb
}

func compareCandidates(a, b candidate) int {
	return strings.Compare(a.state.target.GetId(), b.state.target.GetId())
}

// mix joins an adapter's and a target's hash to the rendezvous score (the finalizer of MurmurHash3).
func mix(adapter, target uint64) uint64 {
	const first, second = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
	value := adapter ^ target
	value ^= value >> 33
	value *= first
	value ^= value >> 33
	value *= second
	return value ^ value>>33
}

// pickLimit is the most preferred targets that are weighed for one request.
const pickLimit = 24

type scored struct {
	score uint64
	state *targetState
}

// picks is a fixed list of the targets with the highest scores, best first.
type picks struct {
	list  [pickLimit]scored
	count int
	limit int
}

func (pi *picks) reset(limit int) {
	pi.count, pi.limit = 0, min(limit, pickLimit)
}

func (pi *picks) add(score uint64, ts *targetState) {
	if pi.count == pi.limit && score <= pi.list[pi.count-1].score {
		return
	}
	at := pi.count
	if pi.count < pi.limit {
		pi.count++
	} else {
		at--
	}
	for ; at > 0 && pi.list[at-1].score < score; at-- {
		pi.list[at] = pi.list[at-1]
	}
	pi.list[at] = scored{score, ts}
}
