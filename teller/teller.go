// Package teller keeps short what instances tell each other several times a second. A telling leaves out what has not changed
// since the newest one that its receiver has confirmed; the receiver adds it to that one, so that tellings that are lost or
// overtaken by others cost nothing but time. It does no input or output.
package teller

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"lovagebank/wire"
)

const (
	// unconfirmed is the number of tellings to one peer that are kept until it confirms one of them, and recent that of its
	// own that are kept, beside the one that it adds to.
	unconfirmed = 2
	recent      = 2
	// firstNumbers is the range of an instance's first number: a confirmation to its earlier process means nothing.
	firstNumbers = 1 << 14
)

// Teller keeps what each peer has heard and told. It is safe for concurrent use.
type Teller struct {
	mu     sync.Mutex
	number uint32
	peers  map[string]*conversation
}

// conversation is what went between this instance and one peer.
type conversation struct {
	// sent are tellings to the peer as it has them, whole, the oldest first; confirmed is the newest that the peer has confirmed.
	sent      []*wire.FleetState
	confirmed *wire.FleetState
	// told are tellings of the peer, whole, the newest last; base is the one that it adds to.
	told []*wire.FleetState
	base *wire.FleetState
}

// newest is the newest telling of the peer; nil if there is none.
func (cv *conversation) newest() *wire.FleetState {
	if len(cv.told) == 0 {
		return nil
	}
	return cv.told[len(cv.told)-1]
}

// find returns the peer's telling with a number; nil if it is not there.
func (cv *conversation) find(number uint32) *wire.FleetState {
	if cv.base.GetNumber() == number {
		return cv.base
	}
	for _, whole := range cv.told {
		if whole.GetNumber() == number {
			return whole
		}
	}
	return nil
}

// keep keeps a telling of the peer.
func (cv *conversation) keep(whole *wire.FleetState) {
	if len(cv.told) == recent {
		cv.told = cv.told[1:]
	}
	cv.told = append(cv.told, whole)
}

// forget drops what the peer has told.
func (cv *conversation) forget() { cv.told, cv.base = nil, nil }

// New makes a teller for a start of this instance's process.
func New(start string) *Teller {
	return &Teller{number: uint32(xxhash.Sum64String(start) % firstNumbers), peers: make(map[string]*conversation)}
}

func (te *Teller) peer(name string) *conversation {
	cv, ok := te.peers[name]
	if !ok {
		cv = &conversation{}
		te.peers[name] = cv
	}
	return cv
}

// Remove forgets a peer that has left.
func (te *Teller) Remove(peer string) {
	te.mu.Lock()
	defer te.mu.Unlock()
	delete(te.peers, peer)
}

// Encode returns what to send to a peer in place of the whole state, which must not be changed after.
func (te *Teller) Encode(peer string, whole *wire.FleetState) *wire.FleetState {
	te.mu.Lock()
	defer te.mu.Unlock()
	te.number++
	whole.Number = te.number
	cv := te.peer(peer)
	if len(cv.sent) == unconfirmed {
		cv.sent = cv.sent[1:]
	}
	short := since(whole, cv.confirmed)
	if cv.confirmed != nil {
		// What the peer will have: figures that have hardly moved stay as they were told.
		whole = together(cv.confirmed, short)
	}
	cv.sent = append(cv.sent, whole)
	short.Heard = cv.newest().GetNumber()
	return short
}

// Decode takes in what a peer tells and returns it whole.
func (te *Teller) Decode(told *wire.FleetState) *wire.FleetState {
	te.mu.Lock()
	defer te.mu.Unlock()
	cv := te.peer(told.GetInstance())
	cv.confirm(told.GetHeard())
	newest := cv.newest()
	if newest.GetStart() != told.GetStart() {
		cv.forget()
		newest = nil
	}
	if told.GetNumber() == 0 {
		// The peer confirms nothing and leaves nothing out.
		return told
	}
	if newest != nil && told.GetNumber() <= newest.GetNumber() {
		return overtaken(told, newest)
	}
	whole := told
	if told.GetBase() != 0 {
		cv.base = cv.find(told.GetBase())
		if cv.base == nil {
			// It hears that nothing is known here, and tells all.
			cv.forget()
			told.Held = nil
			return told
		}
		whole = together(cv.base, told)
	}
	cv.keep(whole)
	return whole
}

// confirm notes which telling the peer has.
func (cv *conversation) confirm(number uint32) {
	if number == 0 {
		cv.confirmed = nil
		return
	}
	for at, whole := range cv.sent {
		if whole.GetNumber() == number {
			cv.confirmed = whole
			cv.sent = cv.sent[at+1:]
			return
		}
	}
}
