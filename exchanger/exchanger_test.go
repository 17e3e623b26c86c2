package exchanger_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"lovagebank/balancer"
	"lovagebank/exchanger"
	"lovagebank/orderer"
	"lovagebank/platform"
	"lovagebank/stocker"
	"lovagebank/watcher"
	"lovagebank/wire"
)

// pair is two instances, of which the first exchanges with the second.
type pair struct {
	first  *exchanger.Exchanger
	second string

	mu    sync.Mutex
	heard map[string]bool
	asked exchanger.MirrorRequest
	want  stocker.Requirement
}

var (
	errRefused = errors.New("all adapter slots are in use")
	changes    = watcher.Changes{
		Items:  []platform.Item{{Key: "op/a", Value: []byte("1"), Revision: 4}, {Key: "op/b", Revision: 5, Deleted: true}},
		Cursor: 7, Revision: 5,
	}
)

func newPair(t *testing.T) *pair {
	pa := &pair{heard: make(map[string]bool)}
	options := func(name string) exchanger.Options {
		return exchanger.Options{
			Peers:   func() []exchanger.Peer { return []exchanger.Peer{{Name: "second", Address: pa.second}} },
			Compose: func(string) *wire.FleetState { return &wire.FleetState{Instance: name} },
			Apply: func(state *wire.FleetState) {
				pa.mu.Lock()
				defer pa.mu.Unlock()
				pa.heard[name+" heard "+state.GetInstance()] = true
			},
			Load: func(_ context.Context, _ string, rq orderer.Request) error {
				pa.want = rq.Requirement
				return errRefused
			},
			Mirror: func(_ context.Context, rq exchanger.MirrorRequest) exchanger.MirrorResponse {
				pa.asked = rq
				mi := exchanger.MirrorResponse{Start: "s2", Current: true, FailureAge: 3 * time.Second}
				mi.Changes[exchanger.CopyOperator] = changes
				return mi
			},
			ExchangeFailed: func(string, error) {},
		}
	}
	server := httptest.NewServer(exchanger.New(options("second")).Handler())
	t.Cleanup(server.Close)
	pa.second = strings.TrimPrefix(server.URL, "http://")
	pa.first = exchanger.New(options("first"))
	return pa
}

func TestBothSidesHearOfAnExchange(t *testing.T) {
	pa := newPair(t)
	ctx, stop := context.WithCancel(t.Context())
	go pa.first.Run(ctx)
	for range 500 {
		pa.mu.Lock()
		done := pa.heard["first heard second"] && pa.heard["second heard first"]
		pa.mu.Unlock()
		if done {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	<-pa.first.Done()
	if len(pa.heard) != 2 {
		t.Errorf("heard %v", pa.heard)
	}
}

func TestLoadCarriesTheWantAndTheRefusal(t *testing.T) {
	pa := newPair(t)
	want := stocker.Requirement{Adapter: balancer.Adapter{Model: "m", Name: "a"}, Version: 3, ExtraReplica: true}
	refusal, err := pa.first.Load(t.Context(), pa.second, "t", orderer.Request{Requirement: want})
	if err != nil || refusal != errRefused.Error() || pa.want != want {
		t.Errorf("got %q, %v for %+v", refusal, err, pa.want)
	}
}

func TestMirrorCarriesMarksAndChanges(t *testing.T) {
	pa := newPair(t)
	asked := exchanger.MirrorRequest{Start: "s2", Cursors: exchanger.Cursors{1, 2, 3}, Wait: time.Second}
	mi, err := pa.first.Mirror(t.Context(), pa.second, asked)
	if err != nil || pa.asked != asked {
		t.Fatalf("asked %+v, error %v", pa.asked, err)
	}
	got := mi.Changes[exchanger.CopyOperator]
	if mi.Start != "s2" || !mi.Current || mi.FailureAge != 3*time.Second || got.Cursor != 7 || got.Revision != 5 || got.Whole {
		t.Errorf("got %+v", mi)
	}
	if len(got.Items) != 2 || string(got.Items[0].Value) != "1" || !got.Items[1].Deleted || got.Items[1].Key != "op/b" {
		t.Errorf("got items %+v", got.Items)
	}
}
