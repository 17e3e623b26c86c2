package allotter

import (
	"time"

	"lovagebank/counter"
)

// peer is the last reported state of another instance.
type peer struct {
	start   string
	leaving bool
	// listed is set if the store lists the instance.
	listed    bool
	updatedAt time.Time
	usages    map[string]*usage
}

// usage holds what a peer has reported for one organisation.
type usage struct {
	tally Tally
	// presumed is the number of tokens deducted from the bucket for the peer while it was silent.
	presumed      float64
	presumedUntil time.Time
	tokens        counter.Count
	requests      counter.Count
	// tokensPerSecond is the peer's demand at its last update, in tokens per second.
	tokensPerSecond float64
}

// usage returns the usage of an organisation at the peer, created if needed.
func (pe *peer) usage(name string, now time.Time) *usage {
	us, ok := pe.usages[name]
	if !ok {
		us = &usage{tokens: counter.New(demandDecayTime, now), requests: counter.New(demandDecayTime, now)}
		pe.usages[name] = us
	}
	return us
}

// peerOf returns the peer that sent an update, created if the instance or its process is new. Admissions presumed for
// an earlier process of the instance are returned to the buckets, because that process has ended. The tallies of a
// process that is settled already serve as the baseline, because its admissions predate its first update here; all
// admissions of a new process count.
func (al *Allotter) peerOf(up Update, now time.Time) *peer {
	pe, ok := al.peers[up.Instance]
	if ok && pe.start == up.Start {
		return pe
	}
	next := &peer{start: up.Start, updatedAt: now, usages: make(map[string]*usage)}
	for name, tally := range up.Tallies {
		if tally.Settled {
			next.usage(name, now).tally = tally
		}
	}
	al.peers[up.Instance] = next
	al.silentComputedAt = time.Time{}
	if !ok {
		return next
	}
	next.listed = pe.listed
	for name, us := range pe.usages {
		if bu, ok := al.buckets[name]; ok {
			bu.ledger.add(us.presumed, now)
		}
	}
	return next
}
