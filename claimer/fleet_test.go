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

var errLost = errors.New("lost")

// faults carries calls to a store in the same process, and loses or delays some.
type faults struct {
	store  *faker.Store
	mu     sync.Mutex
	random *rand.Rand
	// lost is the part of calls that don't arrive, and of answers that don't; late of those that arrive after all.
	lost, late float64
	away       atomic.Bool
	writes     atomic.Int64
}

func (fa *faults) draw() float64 {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return fa.random.Float64()
}

// RoundTrip implements http.RoundTripper.
func (fa *faults) RoundTrip(rq *http.Request) (*http.Response, error) {
	var body []byte
	if rq.Body != nil {
		body, _ = io.ReadAll(rq.Body)
	}
	if rq.Method != http.MethodGet {
		fa.writes.Add(1)
	}
	time.Sleep(time.Duration(fa.draw() * float64(10*time.Millisecond)))
	if fa.away.Load() || fa.draw() < fa.lost {
		return nil, errLost
	}
	if trace := httptrace.ContextClientTrace(rq.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	serve := func() *http.Response {
		recorder := httptest.NewRecorder()
		clone := rq.Clone(context.Background())
		clone.Body = io.NopCloser(bytes.NewReader(body))
		fa.store.ServeHTTP(recorder, clone)
		return recorder.Result()
	}
	if fa.draw() < fa.late {
		delay := time.Duration(fa.draw() * float64(3*time.Second))
		time.AfterFunc(delay, func() { serve() })
		return nil, errLost
	}
	response := serve()
	if fa.draw() < fa.lost {
		return nil, errLost
	}
	return response, nil
}

// fleet is a few claimers over one store.
type fleet struct {
	faults   *faults
	store    *faker.Store
	claimers map[string]*Claimer
	names    []string
	gone     sync.Map
	nonces   atomic.Int64
	cancel   context.CancelFunc
}

func newFleet(seed uint64, instances int, lost, late float64) *fleet {
	store := faker.NewStore(faker.StoreOptions{})
	fl := &fleet{store: store, claimers: make(map[string]*Claimer)}
	fl.faults = &faults{store: store, random: rand.New(rand.NewPCG(seed, 2)), lost: lost, late: late}
	ctx, cancel := context.WithCancel(context.Background())
	fl.cancel = cancel
	for index := range instances {
		fl.names = append(fl.names, fmt.Sprintf("i%d", index))
	}
	for _, name := range fl.names {
		client := storer.New(storer.Options{
			Address: "store", Transport: fl.faults, CallsPerSecond: 1000, Burst: 1000, Attempts: 1,
		})
		ba := batcher.New(batcher.Options{Transact: client.Transact})
		go ba.Run(ctx)
		fl.claimers[name] = New(Options{
			Instance: name, Get: client.Get, Commit: ba.Commit,
			Members:      func() []string { return fl.names },
			Departed:     func(instance string) bool { _, gone := fl.gone.Load(instance); return gone },
			Nonce:        func() string { return fmt.Sprint(fl.nonces.Add(1)) },
			ForwardClaim: fl.forwardClaim, ForwardFinish: fl.forwardFinish,
		})
	}
	return fl
}

func (fl *fleet) forwardClaim(ctx context.Context, to string, rq *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	if _, gone := fl.gone.Load(to); gone || fl.faults.draw() < fl.faults.lost {
		return nil, errLost
	}
	response, err := fl.claimers[to].ServeClaim(ctx, rq)
	if fl.faults.draw() < fl.faults.lost {
		return nil, errLost
	}
	return response, err
}

func (fl *fleet) forwardFinish(ctx context.Context, to string, rq *wire.FinishRequest) (*wire.FinishResponse, error) {
	if _, gone := fl.gone.Load(to); gone || fl.faults.draw() < fl.faults.lost {
		return nil, errLost
	}
	response, err := fl.claimers[to].ServeFinish(ctx, rq)
	if fl.faults.draw() < fl.faults.lost {
		return nil, errLost
	}
	return response, err
}

func order(id, key, body string) *requester.Request {
	return requester.New(requester.Fields{
		ID: id, Organisation: "castaneda", Kind: requester.KindService, Service: "orders", Method: http.MethodPost,
		Path: "/services/orders/new", Body: []byte(body), IdempotencyKey: key,
	})
}
