// Package exchanger implements the calls between instances over Connect RPC: the periodic exchange of state updates, requests
// to load an adapter, requests for a prompt's turn at a target, and copies of the store's keys.
package exchanger

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"lovagebank/inspector"
	"lovagebank/orderer"
	"lovagebank/permitter"
	"lovagebank/platform"
	"lovagebank/sequencer"
	"lovagebank/throttler"
	"lovagebank/wire"
	"lovagebank/wire/wireconnect"
)

const (
	// baseInterval is the time between two exchanges with one peer in a small fleet. Each further instance adds
	// intervalPerPeer, which bounds the work for state updates.
	baseInterval    = 200 * time.Millisecond
	intervalPerPeer = 17 * time.Millisecond
	// lateFactor is the number of intervals without an update after which the passive side of a pair initiates an exchange
	// itself.
	lateFactor = 1.25
	// refreshInterval is the time between two checks for new and removed peers.
	refreshInterval = 300 * time.Millisecond
	// compressMinBytes is the minimum size of compressed answers, so that only whole copies of the store's keys are
	// compressed. The compressor's own state is many times as large as an exchange.
	compressMinBytes = 16 << 10
	// maxMessageBytes is the maximum size of a peer's message. The largest message is a whole copy of the store's keys.
	maxMessageBytes = 16 << 20
	// exchangeTimeout is the maximum duration of one exchange.
	exchangeTimeout = 600 * time.Millisecond
	// dialTimeout is the maximum duration of opening a connection to a peer.
	dialTimeout = 400 * time.Millisecond
	// maxIdleConnections limits the unused connections to one peer. Requests that are relayed need many at the same time.
	maxIdleConnections = 32
	// idleTimeout is how long an unused connection to a peer is kept open.
	idleTimeout = 30 * time.Second
)

// Peer is the name and the network address of another instance.
type Peer struct {
	Name    string
	Address string
}

// Options configures an Exchanger.
type Options struct {
	// Self is this instance's name.
	Self string
	// Peers returns the other instances.
	Peers func() []Peer
	// Compose returns this instance's state update for a peer. Apply applies a peer's state update.
	Compose func(peer string) *wire.FleetState
	Apply   func(*wire.FleetState)
	// Load makes a target that this instance holds load an adapter.
	Load func(ctx context.Context, target string, rq orderer.Request) error
	// Turn reserves a prompt's turn at a target; holder is false if this instance does not hold the target. A prompt's turn
	// is the time at which it may go to the target to be prefilled.
	Turn func(target string, rq sequencer.Request) (tn sequencer.Turn, holder bool)
	// GrantSend decides whether a peer may send a request to a target that has named a rate limit; holder is false if this
	// instance may not decide.
	GrantSend func(no throttler.Notice) (gr throttler.Grant, holder bool)
	// GrantPermit gives a peer a permit for a brittle target; holder is false if this instance may not decide. GivenBack takes one back.
	GrantPermit func(no permitter.Notice) (pe permitter.Permit, holder bool)
	GivenBack   func(pe permitter.Permit, rejected bool)
	// Mirror returns the changes of this instance's copies of the store's keys; it may wait for a change.
	Mirror func(ctx context.Context, rq MirrorRequest) MirrorResponse
	// Relay sends a request to a target for a peer, and calls send with the parts of the answer as they arrive.
	Relay func(ctx context.Context, rq *wire.RelayRequest, send func(*wire.RelayResponse) error) error
	// ExchangeFailed is called with the name of a peer that did not answer an exchange.
	ExchangeFailed func(peer string, err error)
	// Dial opens connections to peers; nil opens TCP connections. Transport sends the calls; nil means HTTP over these connections.
	Dial      platform.Dial
	Transport http.RoundTripper
}

// Exchanger calls peers and answers their calls.
type Exchanger struct {
	op     Options
	client *http.Client
	wake   chan struct{}
	done   chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
	// receivedAt is when the last update of each peer was received, by name.
	receivedAt map[string]time.Time
}

type peer struct {
	name string
	// wake starts the next exchange at once.
	wake   chan struct{}
	client wireconnect.FleetServiceClient
	stop   context.CancelFunc
}

// New returns an exchanger, which starts exchanges in Run.
func New(op Options) *Exchanger {
	if op.Transport == nil {
		op.Transport = newTransport(op.Dial)
	}
	return &Exchanger{
		op:         op,
		client:     &http.Client{Transport: compactTransport{next: op.Transport}},
		wake:       make(chan struct{}, 1),
		done:       make(chan struct{}),
		peers:      make(map[string]*peer),
		receivedAt: make(map[string]time.Time),
	}
}

func newTransport(dial platform.Dial) http.RoundTripper {
	if dial == nil {
		dialer := &net.Dialer{
			Timeout:         dialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		}
		dial = dialer.DialContext
	}
	return inspector.BoundHeads(&http.Transport{
		DialContext:         inspector.WrapDial(inspector.Dial(dial), inspector.Budget{}),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	})
}

// Done returns a channel that is closed when Run has ended.
func (ex *Exchanger) Done() <-chan struct{} { return ex.done }

// Refresh makes Run check for new and removed peers at once.
func (ex *Exchanger) Refresh() {
	select {
	case ex.wake <- struct{}{}:
	default:
	}
}

// Run exchanges with each peer until the context ends.
func (ex *Exchanger) Run(ctx context.Context) {
	defer close(ex.done)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		ex.refresh(ctx, &tasks)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-ex.wake:
		}
	}
}

// refresh starts exchanges with new peers and stops those with removed peers. It registers all new peers before the first
// exchange, as the interval depends on their number.
func (ex *Exchanger) refresh(ctx context.Context, tasks *sync.WaitGroup) {
	peers := ex.op.Peers()
	present := make(map[string]bool, len(peers))
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for _, pe := range peers {
		present[pe.Address] = true
		if _, ok := ex.peers[pe.Address]; ok {
			continue
		}
		peerCtx, stop := context.WithCancel(ctx)
		entry := &peer{name: pe.Name, wake: make(chan struct{}, 1), client: ex.newClient(pe.Address), stop: stop}
		ex.peers[pe.Address] = entry
		tasks.Go(func() { ex.runExchanges(peerCtx, entry) })
	}
	for address, entry := range ex.peers {
		if !present[address] {
			entry.stop()
			delete(ex.peers, address)
			delete(ex.receivedAt, entry.name)
		}
	}
}

func (ex *Exchanger) newClient(address string) wireconnect.FleetServiceClient {
	return wireconnect.NewFleetServiceClient(ex.client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

// Interval returns the time between two exchanges with one peer. One side of each pair initiates them, and both sides send
// and receive an update.
func (ex *Exchanger) Interval() time.Duration {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return baseInterval + time.Duration(len(ex.peers))*intervalPerPeer
}

// runExchanges exchanges updates with one peer until the context ends, whenever this instance has to initiate. A peer that
// has sent no update yet counts as late, so both sides receive a first update soon.
func (ex *Exchanger) runExchanges(ctx context.Context, pe *peer) {
	initiates, woken := ex.initiates(pe.name), false
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if initiates || woken || ex.isLate(pe.name) {
			if err := ex.exchange(ctx, pe); err != nil && ctx.Err() == nil {
				ex.op.ExchangeFailed(pe.name, err)
			}
		}
		timer.Reset(ex.Interval())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			woken = false
		case <-pe.wake:
			woken = true
		}
	}
}

// ExchangeNow starts exchanges with the named peers at once.
func (ex *Exchanger) ExchangeNow(names map[string]bool) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for _, pe := range ex.peers {
		if !names[pe.name] {
			continue
		}
		select {
		case pe.wake <- struct{}{}:
		default:
		}
	}
}

// initiates reports whether this instance is the side of the pair that regularly initiates the exchanges.
func (ex *Exchanger) initiates(peer string) bool {
	return xxhash.Sum64String(ex.op.Self+" "+peer) < xxhash.Sum64String(peer+" "+ex.op.Self)
}

// isLate reports whether an update of a peer is overdue.
func (ex *Exchanger) isLate(peer string) bool {
	interval := ex.Interval()
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return time.Since(ex.receivedAt[peer]) > time.Duration(lateFactor*float64(interval))
}

// SilentFor returns the time since the last update of a peer was received.
func (ex *Exchanger) SilentFor(peer string) time.Duration {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return time.Since(ex.receivedAt[peer])
}

func (ex *Exchanger) exchange(ctx context.Context, pe *peer) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := pe.client.Exchange(ctx, connect.NewRequest(ex.op.Compose(pe.name)))
	if err != nil {
		return err
	}
	ex.receive(answer.Msg)
	return nil
}

// receive applies a peer's state update.
func (ex *Exchanger) receive(state *wire.FleetState) {
	ex.mu.Lock()
	ex.receivedAt[state.GetInstance()] = time.Now()
	ex.mu.Unlock()
	ex.op.Apply(state)
}

// Load asks the instance at an address to load an adapter into a target that it holds. The refusal is empty once the target
// holds the adapter. The error reports a failed call.
func (ex *Exchanger) Load(ctx context.Context, address, target string, rq orderer.Request) (string, error) {
	answer, err := ex.clientOf(address).Load(ctx, connect.NewRequest(&wire.LoadRequest{
		Target:     target,
		Model:      rq.Requirement.Adapter.Model,
		Adapter:    rq.Requirement.Adapter.Name,
		Version:    rq.Requirement.Version,
		PatienceMs: int32(rq.MaxWait.Milliseconds()),
		Spare:      rq.Requirement.ExtraReplica,
	}))
	if err != nil {
		return "", err
	}
	return answer.Msg.GetRefusal(), nil
}

func (ex *Exchanger) clientOf(address string) wireconnect.FleetServiceClient {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if entry, ok := ex.peers[address]; ok {
		return entry.client
	}
	return ex.newClient(address)
}
