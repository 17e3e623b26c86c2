package claimer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"lovagebank/batcher"
	"lovagebank/faker"
	"lovagebank/requester"
	"lovagebank/storer"
	"lovagebank/wire"
)

var errLost = errors.New("call lost")

// faultyTransport passes calls to an in-process store, and loses or delays some of them.
type faultyTransport struct {
	store  *faker.Store
	mu     sync.Mutex
	random *rand.Rand
	// lossRate is the fraction of calls that are lost, and of responses that are lost. lateRate is the fraction of calls
	// that take effect later, without a response.
	lossRate, lateRate float64
	unavailable        atomic.Bool
	writes             atomic.Int64
}

func (ft *faultyTransport) randomFloat() float64 {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	return ft.random.Float64()
}

// RoundTrip implements http.RoundTripper.
func (ft *faultyTransport) RoundTrip(rq *http.Request) (*http.Response, error) {
	var body []byte
	if rq.Body != nil {
		body, _ = io.ReadAll(rq.Body)
	}
	if rq.Method != http.MethodGet {
		ft.writes.Add(1)
	}
	time.Sleep(time.Duration(ft.randomFloat() * float64(10*time.Millisecond)))
	if ft.unavailable.Load() || ft.randomFloat() < ft.lossRate {
		return nil, errLost
	}
	if trace := httptrace.ContextClientTrace(rq.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	serve := func() *http.Response {
		recorder := httptest.NewRecorder()
		clone := rq.Clone(context.Background())
		clone.Body = io.NopCloser(bytes.NewReader(body))
		ft.store.ServeHTTP(recorder, clone)
		return recorder.Result()
	}
	if ft.randomFloat() < ft.lateRate {
		delay := time.Duration(ft.randomFloat() * float64(3*time.Second))
		time.AfterFunc(delay, func() { serve() })
		return nil, errLost
	}
	response := serve()
	if ft.randomFloat() < ft.lossRate {
		return nil, errLost
	}
	return response, nil
}

// fleet is a group of claimers that share one store.
type fleet struct {
	transport *faultyTransport
	store     *faker.Store
	claimers  map[string]*Claimer
	names     []string
	crashed   sync.Map
	nonces    atomic.Int64
	cancel    context.CancelFunc
}

func newFleet(seed uint64, instances int, lossRate, lateRate float64) *fleet {
	store := faker.NewStore(faker.StoreOptions{})
	fl := &fleet{store: store, claimers: make(map[string]*Claimer)}
	fl.transport = &faultyTransport{store: store, random: rand.New(rand.NewPCG(seed, 2)), lossRate: lossRate, lateRate: lateRate}
	ctx, cancel := context.WithCancel(context.Background())
	fl.cancel = cancel
	for index := range instances {
		fl.names = append(fl.names, fmt.Sprintf("i%d", index))
	}
	for _, name := range fl.names {
		client := storer.New(storer.Options{
			Address: "store", Transport: fl.transport, CallsPerSecond: 1000, Burst: 1000, Attempts: 1,
		})
		ba := batcher.New(batcher.Options{Transact: client.Transact})
		go ba.Run(ctx)
		fl.claimers[name] = New(Options{
			Instance: name, Get: client.Get, Commit: ba.Commit,
			Members:      func() []string { return fl.names },
			Departed:     func(instance string) bool { _, crashed := fl.crashed.Load(instance); return crashed },
			Nonce:        func() string { return fmt.Sprint(fl.nonces.Add(1)) },
			ForwardClaim: fl.forwardClaim, ForwardFinish: fl.forwardFinish,
		})
	}
	return fl
}

func (fl *fleet) forwardClaim(ctx context.Context, to string, rq *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	if _, crashed := fl.crashed.Load(to); crashed || fl.transport.randomFloat() < fl.transport.lossRate {
		return nil, errLost
	}
	response, err := fl.claimers[to].ServeClaim(ctx, rq)
	if fl.transport.randomFloat() < fl.transport.lossRate {
		return nil, errLost
	}
	return response, err
}

func (fl *fleet) forwardFinish(ctx context.Context, to string, rq *wire.FinishRequest) (*wire.FinishResponse, error) {
	if _, crashed := fl.crashed.Load(to); crashed || fl.transport.randomFloat() < fl.transport.lossRate {
		return nil, errLost
	}
	response, err := fl.claimers[to].ServeFinish(ctx, rq)
	if fl.transport.randomFloat() < fl.transport.lossRate {
		return nil, errLost
	}
	return response, err
}

func newOrderRequest(id, key, body string) *requester.Request {
	return requester.New(requester.Fields{
		ID: id, Organisation: "castaneda", Kind: requester.KindService, Service: "orders", Method: http.MethodPost,
		Path: "/services/orders/new", Body: []byte(body), IdempotencyKey: key,
	})
}
