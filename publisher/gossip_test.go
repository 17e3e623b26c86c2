package publisher

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/configurer"
	"lovagebank/gossiper"
	"lovagebank/storer"
	"lovagebank/wire"
)

var errNoStore = errors.New("no way to the store")

// gossipingFleet is publishers joined by gossip, in failure domains of which some do not reach the store.
type gossipingFleet struct {
	store     *fakeStore
	gossipers map[string]*gossiper.Gossiper
	pubs      map[string]*Publisher
}

// newGossipingFleet makes count instances in three failure domains; those of domain c reach peers alone.
func newGossipingFleet(count int) *gossipingFleet {
	gf := &gossipingFleet{
		store: newFakeStore(1, 0), gossipers: make(map[string]*gossiper.Gossiper), pubs: make(map[string]*Publisher),
	}
	for at := range count {
		gf.add(fmt.Sprint("instance-", at), string(rune('a'+at%3)))
	}
	return gf
}

func (gf *gossipingFleet) add(id, domain string) {
	var gs *gossiper.Gossiper
	pu := New(Options{
		Get: func(ctx context.Context, key string) (storer.Entry, error) {
			if domain == "c" {
				return storer.Entry{}, errNoStore
			}
			return gf.store.get(ctx, key)
		},
		Watch: func(ctx context.Context, prefix string, index uint64, wait time.Duration) (storer.Listing, error) {
			if domain == "c" {
				return storer.Listing{}, errNoStore
			}
			return gf.store.watch(ctx, prefix, index, wait)
		},
		Transact: gf.store.transact,
		AuditStep: func(_ context.Context, en *wire.AuditEntry) (storer.Step, error) {
			return storer.Swap(fmt.Sprint("audit/", en.RevisionAfter), nil, 0), nil
		},
		Fetch: func(_ context.Context, peer string, rq *wire.FetchRequest) (*wire.FetchResponse, error) {
			time.Sleep(3 * time.Millisecond)
			return gf.pubs[peer].ServeFetch(rq)
		},
		Peers:        func() []string { return gs.Addresses() },
		WatchesStore: func() bool { return gs.HasDuty("configuration", 2) },
		OnAdopted:    func(*configurer.Snapshot) { gs.Announce() },
	})
	gs = gossiper.New(gossiper.Options{
		Self:  &wire.Member{Id: id, PeerAddress: id, FailureDomain: domain},
		Seeds: []string{"instance-0", "instance-1", "instance-2"},
		Exchange: func(ctx context.Context, to string, rq *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
			time.Sleep(3 * time.Millisecond)
			return gf.gossipers[to].ServeExchange(ctx, rq)
		},
		Registrations: func(context.Context, string) ([]storer.Registration, error) { return nil, errNoStore },
		Revision:      pu.Revision, ObserveRevision: pu.ObserveRevision,
	})
	gf.gossipers[id], gf.pubs[id] = gs, pu
}

func (gf *gossipingFleet) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	for id := range gf.pubs {
		go gf.pubs[id].Run(ctx)
		go gf.gossipers[id].Run(ctx)
	}
	return func() {
		cancel()
		for id := range gf.pubs {
			<-gf.pubs[id].Done()
			<-gf.gossipers[id].Done()
		}
	}
}

// TestChangeReachesThoseWithoutStore expects each change in force everywhere in time, though a whole failure domain
// does not reach the store.
func TestChangeReachesThoseWithoutStore(t *testing.T) {
	for _, count := range []int{6, 24} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gf := newGossipingFleet(count)
				if _, err := gf.pubs["instance-0"].Propose(t.Context(), change("c-0", 0, 100)); err != nil {
					t.Fatal(err)
				}
				defer gf.run()()
				time.Sleep(time.Minute)
				for base := uint64(1); base <= 10; base++ {
					proposer := gf.pubs[fmt.Sprint("instance-", int(base)*3%count)]
					if _, err := proposer.Propose(t.Context(), change(fmt.Sprint("c-", base), base, 100+int(base))); err != nil {
						t.Fatal(err)
					}
					time.Sleep(inForceWithin)
					for id, pu := range gf.pubs {
						if pu.Revision() != base+1 || rateOf(pu) != float64(100+base) {
							t.Errorf("%s has revision %d, want %d", id, pu.Revision(), base+1)
						}
					}
				}
			})
		})
	}
}
