// Package exchanger carries what instances tell and ask each other, over connect: the regular exchange of what each
// knows, requests to load an adapter, and copies of the store's keys.
package exchanger

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"lovagebank/orderer"
	"lovagebank/sequencer"
	"lovagebank/wire"
	"lovagebank/wire/wireconnect"
)

const (
	// baseInterval is the time between two exchanges with one peer in a small fleet; each further instance adds
	// perInstance, so that the work of telling stays bounded.
	baseInterval = 200 * time.Millisecond
	perInstance  = 17 * time.Millisecond
	// lateAfter is the number of intervals without a word after which the side of a pair that usually waits begins an
	// exchange itself.
	lateAfter = 1.25
	// refreshInterval is the time between two looks for new peers and such as are gone.
	refreshInterval = 300 * time.Millisecond
	// compressFrom is the size from which answers are compressed, in bytes: whole copies of the store's keys. The
	// compressor's own state is many times as large as an exchange.
	compressFrom = 16 << 10
	// maxMessage bounds what a peer sends in one message, in bytes: a whole copy of the store's keys is the largest.
	maxMessage = 16 << 20
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 600 * time.Millisecond
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is how long a connection to a peer is kept unused.
	idleTimeout = 30 * time.Second
)

// Peer is another instance.
type Peer struct {
	Name    string
	Address string
}

// Options set an Exchanger up.
type Options struct {
	// Self is this instance's name.
	Self string
	// Peers returns the other instances.
	Peers func() []Peer
	// Compose returns what this instance tells a peer; Take takes in what a peer tells.
	Compose func(peer string) *wire.FleetState
	Apply   func(*wire.FleetState)
	// Load has a target that this instance holds load an adapter.
	Load func(ctx context.Context, target string, rq orderer.Request) error
	// Turn gives a prompt its turn at a target; holder is false where this instance does not hold it.
	Turn func(target string, rq sequencer.Request) (tn sequencer.Turn, holder bool)
	// Mirror returns what changed in this instance's copies of the store's keys; it may wait for a change.
	Mirror func(ctx context.Context, rq MirrorRequest) MirrorResponse
	// ExchangeFailed is told of a peer that did not answer an exchange.
	ExchangeFailed func(peer string, err error)
	// Transport carries the calls; nil for TCP.
	Transport http.RoundTripper
}

// Exchanger calls peers and answers them.
type Exchanger struct {
	op     Options
	client *http.Client
	wake   chan struct{}
	done   chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
	// heardAt is when each peer was last heard, by name.
	heardAt map[string]time.Time
}

type peer struct {
	name string
	// wake has the next exchange begin at once.
	wake   chan struct{}
	client wireconnect.FleetServiceClient
	stop   context.CancelFunc
}

// New makes an exchanger; Run does its work.
func New(op Options) *Exchanger {
	if op.Transport == nil {
		op.Transport = newTransport()
	}
	return &Exchanger{
		op:      op,
		client:  &http.Client{Transport: leanTransport{next: op.Transport}},
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
		peers:   make(map[string]*peer),
		heardAt: make(map[string]time.Time),
	}
}

func newTransport() http.RoundTripper {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     idleTimeout,
	}
}

// Done is closed when Run has ended.
func (ex *Exchanger) Done() <-chan struct{} { return ex.done }

// Refresh looks for new peers at once.
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

// refresh starts an exchange with each new peer and stops that with peers that are gone. All new peers are known before the
// first exchange, as the interval goes by their number.
func (ex *Exchanger) refresh(ctx context.Context, tasks *sync.WaitGroup) {
	peers := ex.op.Peers()
	there := make(map[string]bool, len(peers))
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for _, pe := range peers {
		there[pe.Address] = true
		if _, known := ex.peers[pe.Address]; known {
			continue
		}
		peerCtx, stop := context.WithCancel(ctx)
		entry := &peer{name: pe.Name, wake: make(chan struct{}, 1), client: ex.newClient(pe.Address), stop: stop}
		ex.peers[pe.Address] = entry
		tasks.Go(func() { ex.talk(peerCtx, entry) })
	}
	for address, entry := range ex.peers {
		if !there[address] {
			entry.stop()
			delete(ex.peers, address)
			delete(ex.heardAt, entry.name)
		}
	}
}

func (ex *Exchanger) newClient(address string) wireconnect.FleetServiceClient {
	return wireconnect.NewFleetServiceClient(ex.client, "http://"+address, connect.WithReadMaxBytes(maxMessage))
}

// Interval is the time between two exchanges with one peer. One side of each pair begins them; both tell and hear.
func (ex *Exchanger) Interval() time.Duration {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return baseInterval + time.Duration(len(ex.peers))*perInstance
}

// talk exchanges with one peer until the context ends, whenever it is this instance's turn. A peer that was never heard
// is late from the beginning, so both know each other soon.
func (ex *Exchanger) talk(ctx context.Context, pe *peer) {
	begins, woken := ex.begins(pe.name), false
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if begins || woken || ex.isLate(pe.name) {
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

// ExchangeNow has exchanges with some peers begin at once.
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

// begins tells whether this instance is the one of a pair that begins the exchanges.
func (ex *Exchanger) begins(peer string) bool {
	return xxhash.Sum64String(ex.op.Self+" "+peer) < xxhash.Sum64String(peer+" "+ex.op.Self)
}

// isLate tells whether a peer that should have begun an exchange has not.
func (ex *Exchanger) isLate(peer string) bool {
	interval := ex.Interval()
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return time.Since(ex.heardAt[peer]) > time.Duration(lateAfter*float64(interval))
}

func (ex *Exchanger) exchange(ctx context.Context, pe *peer) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := pe.client.Exchange(ctx, connect.NewRequest(ex.op.Compose(pe.name)))
	if err != nil {
		return err
	}
	ex.take(answer.Msg)
	return nil
}

// take takes in what a peer tells.
func (ex *Exchanger) take(state *wire.FleetState) {
	ex.mu.Lock()
	ex.heardAt[state.GetInstance()] = time.Now()
	ex.mu.Unlock()
	ex.op.Apply(state)
}

// Load asks an instance to have a target load an adapter; the refusal is empty when the target holds it.
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
