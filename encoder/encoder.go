// Package encoder delta-encodes the state updates that instances send each other several times a second. An update omits what
// has not changed since the newest update that its receiver has acknowledged, its base. The receiver merges it with the base,
// so that lost or reordered updates only delay the state. The package performs no I/O.
package encoder

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"lovagebank/wire"
)

const (
	// maxUnacknowledged is the number of updates sent to a peer that are kept until it acknowledges one of them. maxReceived is
	// the number of updates from a peer that are kept, in addition to the base.
	maxUnacknowledged = 2
	maxReceived       = 2
	// firstNumberRange is the range of an instance's first update number, which depends on the start of its process, so that
	// an acknowledgement of an update of its earlier process is not taken for one of this process.
	firstNumberRange = 1 << 14
)

// Encoder keeps the updates sent to and received from each peer. It is safe for concurrent use.
type Encoder struct {
	mu     sync.Mutex
	number uint32
	peers  map[string]*exchange
}

// exchange holds the updates exchanged between this instance and one peer.
type exchange struct {
	// sent holds the full states that the peer has after each update sent to it, oldest first; acknowledged is the newest that
	// the peer has acknowledged.
	sent         []*wire.FleetState
	acknowledged *wire.FleetState
	// received holds the full states of the peer after its updates, newest last; base is the state that its updates build on.
	received []*wire.FleetState
	base     *wire.FleetState
}

// newest returns the newest received state of the peer; nil if there is none.
func (ex *exchange) newest() *wire.FleetState {
	if len(ex.received) == 0 {
		return nil
	}
	return ex.received[len(ex.received)-1]
}

// find returns the peer's state with the given number; nil if it is not kept.
func (ex *exchange) find(number uint32) *wire.FleetState {
	if ex.base.GetNumber() == number {
		return ex.base
	}
	for _, full := range ex.received {
		if full.GetNumber() == number {
			return full
		}
	}
	return nil
}

// addReceived adds a received state of the peer and drops the oldest beyond maxReceived.
func (ex *exchange) addReceived(full *wire.FleetState) {
	if len(ex.received) == maxReceived {
		ex.received = ex.received[1:]
	}
	ex.received = append(ex.received, full)
}

// resetReceived drops all received states of the peer.
func (ex *exchange) resetReceived() { ex.received, ex.base = nil, nil }

// New returns a Encoder; start identifies this start of the instance's process.
func New(start string) *Encoder {
	return &Encoder{number: uint32(xxhash.Sum64String(start) % firstNumberRange), peers: make(map[string]*exchange)}
}

func (en *Encoder) exchangeWith(name string) *exchange {
	ex, ok := en.peers[name]
	if !ok {
		ex = &exchange{}
		en.peers[name] = ex
	}
	return ex
}

// Remove removes a departed peer.
func (en *Encoder) Remove(peer string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	delete(en.peers, peer)
}

// Encode returns the update to send to a peer in place of the full state. The caller must not change the full state
// afterwards.
func (en *Encoder) Encode(peer string, full *wire.FleetState) *wire.FleetState {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.number++
	full.Number = en.number
	ex := en.exchangeWith(peer)
	if len(ex.sent) == maxUnacknowledged {
		ex.sent = ex.sent[1:]
	}
	update := delta(full, ex.acknowledged)
	if ex.acknowledged != nil {
		// Keep the state that the peer will have: figures below their thresholds stay as they were sent.
		full = merge(ex.acknowledged, update)
	}
	ex.sent = append(ex.sent, full)
	update.Heard = ex.newest().GetNumber()
	return update
}

// Decode records an update from a peer and returns the peer's full state. If the base of the update is unknown here, it
// returns the update without held targets.
func (en *Encoder) Decode(update *wire.FleetState) *wire.FleetState {
	en.mu.Lock()
	defer en.mu.Unlock()
	ex := en.exchangeWith(update.GetInstance())
	ex.acknowledge(update.GetHeard())
	newest := ex.newest()
	if newest.GetStart() != update.GetStart() {
		ex.resetReceived()
		newest = nil
	}
	if update.GetNumber() == 0 {
		// The peer acknowledges nothing and omits nothing.
		return update
	}
	if newest != nil && update.GetNumber() <= newest.GetNumber() {
		return withNewerState(update, newest)
	}
	full := update
	if update.GetBase() != 0 {
		ex.base = ex.find(update.GetBase())
		if ex.base == nil {
			// The next update to the peer acknowledges nothing, so that the peer sends its full state.
			ex.resetReceived()
			update.Held = nil
			return update
		}
		full = merge(ex.base, update)
	}
	ex.addReceived(full)
	return full
}

// acknowledge records which update the peer has received; 0 means none.
func (ex *exchange) acknowledge(number uint32) {
	if number == 0 {
		ex.acknowledged = nil
		return
	}
	for at, full := range ex.sent {
		if full.GetNumber() == number {
			ex.acknowledged = full
			ex.sent = ex.sent[at+1:]
			return
		}
	}
}
