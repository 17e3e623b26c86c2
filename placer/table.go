package placer

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// candidate is a target with its hash, stored side by side for the scan over all targets.
type candidate struct {
	hash  uint64
	state *targetState
}

// pool holds the targets of one base model.
type pool struct {
	local  []candidate
	remote []candidate
	// batch is the smallest batch size of the targets.
	batch int
}

// table maps base models to the targets that may get requests.
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

// rendezvousScore combines an adapter's and a target's hash with the finalizer of MurmurHash3.
func rendezvousScore(adapter, target uint64) uint64 {
	const first, second = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
	value := adapter ^ target
	value ^= value >> 33
	value *= first
	value ^= value >> 33
	value *= second
	return value ^ value>>33
}

// maxPreferred is the maximum number of preferred targets that are compared for one request.
const maxPreferred = 24

type scored struct {
	score uint64
	state *targetState
}

// preferred is a fixed-size list of the targets with the highest scores, highest first.
type preferred struct {
	list  [maxPreferred]scored
	count int
	limit int
}

func (pr *preferred) reset(limit int) {
	pr.count, pr.limit = 0, min(limit, maxPreferred)
}

func (pr *preferred) add(score uint64, ts *targetState) {
	if pr.count == pr.limit && score <= pr.list[pr.count-1].score {
		return
	}
	at := pr.count
	if pr.count < pr.limit {
		pr.count++
	} else {
		at--
	}
	for ; at > 0 && pr.list[at-1].score < score; at-- {
		pr.list[at] = pr.list[at-1]
	}
	pr.list[at] = scored{score, ts}
}
