package allotter

import (
	"time"

	"lovagebank/decayer"
)

// peer is what another instance has told.
type peer struct {
	start   string
	leaving bool
	// named tells that the store names the instance.
	named   bool
	heardAt time.Time
	tallies map[string]*told
}

// told is what a peer has told of one organisation.
type told struct {
	tally Tally
	// presumed is what was taken from the bucket for it while it was silent.
	presumed   float64
	presumedTo time.Time
	asked      decayer.Count
	requests   decayer.Count
	// pace is what it asked for a second when it was last heard.
	pace float64
}

// told returns what the peer has told of an organisation.
func (pe *peer) told(name string, now time.Time) *told {
	to, ok := pe.tallies[name]
	if !ok {
		to = &told{asked: decayer.New(demandMemory, now), requests: decayer.New(demandMemory, now)}
		pe.tallies[name] = to
	}
	return to
}

// met returns the peer that tells. What was presumed of a process before this one is given back, as it has ended. Of a
// new process all that it has admitted counts; an older one was there before this instance asked.
func (al *Allotter) met(te Update, now time.Time) *peer {
	pe, ok := al.peers[te.Instance]
	if ok && pe.start == te.Start {
		return pe
	}
	fresh := &peer{start: te.Start, heardAt: now, tallies: make(map[string]*told)}
	for name, tally := range te.Tallies {
		if tally.Settled {
			fresh.told(name, now).tally = tally
		}
	}
	al.peers[te.Instance] = fresh
	al.silentAt = time.Time{}
	if !ok {
		return fresh
	}
	fresh.named = pe.named
	for name, to := range pe.tallies {
		if bu, ok := al.buckets[name]; ok {
			bu.ledger.enter(to.presumed, now)
		}
	}
	return fresh
}
