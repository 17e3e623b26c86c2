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

	"lovagebank/orderer"
	"lovagebank/pauser"
	"lovagebank/wire"
	"lovagebank/wire/wireconnect"
)

const (
	// baseInterval is the time between two exchanges with one peer in a small fleet; each further instance adds
	// perInstance, so that the work of telling stays bounded.
	baseInterval = 300 * time.Millisecond
	perInstance  = 25 * time.Millisecond
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
	// Peers returns the other instances.
	Peers func() []Peer
	// Compose returns what this instance tells a peer; Take takes in what a peer tells.
	Compose func(peer string) *wire.FleetState
	Take    func(*wire.FleetState)
	// Load has a target that this instance holds load an adapter.
	Load func(ctx context.Context, target string, rq orderer.Request) error
	// Mirror returns what changed in this instance's copies of the store's keys; it may wait for a change.
	Mirror func(ctx context.Context, rq MirrorRequest) Mirror
	// Failed is told of a peer that did not answer an exchange.
	Failed func(peer string, err error)
}

// Exchanger calls peers and answers them.
type Exchanger struct {
	op     Options
	client *http.Client
	done   chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	client wireconnect.FleetServiceClient
	stop   context.CancelFunc
}

// New makes an exchanger; Run does its work.
func New(op Options) *Exchanger {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	return &Exchanger{
		op: op,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     idleTimeout,
		}},
		done:  make(chan struct{}),
		peers: make(map[string]*peer),
	}
}

// Done is closed when Run has ended.
func (ex *Exchanger) Done() <-chan struct{} { return ex.done }

// Run exchanges with each peer until the context ends.
func (ex *Exchanger) Run(ctx context.Context) {
	defer close(ex.done)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		ex.refresh(ctx, &tasks)
		if !pauser.For(ctx, baseInterval) {
			return
		}
	}
}

// refresh starts an exchange with each new peer and stops that with peers that are gone.
func (ex *Exchanger) refresh(ctx context.Context, tasks *sync.WaitGroup) {
	there := make(map[string]bool)
	for _, pe := range ex.op.Peers() {
		there[pe.Address] = true
		ex.mu.Lock()
		_, known := ex.peers[pe.Address]
		if !known {
			peerCtx, stop := context.WithCancel(ctx)
			entry := &peer{client: ex.newClient(pe.Address), stop: stop}
			ex.peers[pe.Address] = entry
			tasks.Go(func() { ex.talk(peerCtx, pe, entry) })
		}
		ex.mu.Unlock()
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	for address, entry := range ex.peers {
		if !there[address] {
			entry.stop()
			delete(ex.peers, address)
		}
	}
}

func (ex *Exchanger) newClient(address string) wireconnect.FleetServiceClient {
	return wireconnect.NewFleetServiceClient(ex.client, "http://"+address)
}

// Interval is the time between two exchanges with one peer. Either side begins one, so each hears twice in that time.
func (ex *Exchanger) Interval() time.Duration {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return baseInterval + time.Duration(len(ex.peers))*perInstance
}

func (ex *Exchanger) talk(ctx context.Context, pe Peer, entry *peer) {
	for {
		if err := ex.exchange(ctx, pe, entry); err != nil && ctx.Err() == nil {
			ex.op.Failed(pe.Name, err)
		}
		if !pauser.For(ctx, ex.Interval()) {
			return
		}
	}
}

func (ex *Exchanger) exchange(ctx context.Context, pe Peer, entry *peer) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := entry.client.Exchange(ctx, connect.NewRequest(ex.op.Compose(pe.Name)))
	if err != nil {
		return err
	}
	ex.op.Take(answer.Msg)
	return nil
}

// Load asks an instance to have a target load an adapter; the refusal is empty when the target holds it.
func (ex *Exchanger) Load(ctx context.Context, address, target string, rq orderer.Request) (string, error) {
	answer, err := ex.clientOf(address).Load(ctx, connect.NewRequest(&wire.LoadRequest{
		Target:     target,
		Model:      rq.Want.Adapter.Model,
		Adapter:    rq.Want.Adapter.Name,
		Version:    rq.Want.Version,
		PatienceMs: int32(rq.Patience.Milliseconds()),
		Spare:      rq.Want.Spare,
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
