package exchanger_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/exchanger"
	"lovagebank/wire"
)

var errCutOff = errors.New("cut off")

// members is a fleet of exchangers that call each other without a network.
type members struct {
	count    int
	handlers map[string]http.Handler

	mu sync.Mutex
	// mute members' calls get nowhere; they answer calls of others.
	mute map[string]bool
	// unlisted tells that members have not read yet who the others are.
	unlisted  bool
	exchanges int
	packed    int
	heard     map[string]time.Time
	longest   time.Duration
}

// link is a member's way to the others.
type link struct {
	ms   *members
	from string
}

// RoundTrip calls the member that a request is for.
func (li link) RoundTrip(rq *http.Request) (*http.Response, error) {
	if err := li.ms.note(li.from); err != nil {
		return nil, err
	}
	rec := httptest.NewRecorder()
	li.ms.handlers[rq.URL.Host].ServeHTTP(rec, rq)
	if rec.Header().Get("Content-Encoding") != "" {
		li.ms.mu.Lock()
		li.ms.packed++
		li.ms.mu.Unlock()
	}
	return rec.Result(), nil
}

// note counts a call.
func (ms *members) note(from string) error {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.mute[from] {
		return errCutOff
	}
	ms.exchanges++
	return nil
}

// hear notes that one member heard another, and the longest time since it did so before.
func (ms *members) hear(one, other string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	key := one + " heard " + other
	if before, ok := ms.heard[key]; ok {
		ms.longest = max(ms.longest, time.Since(before))
	}
	ms.heard[key] = time.Now()
}

// forget begins to count anew.
func (ms *members) forget() {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.exchanges, ms.longest = 0, 0
}

func (ms *members) others(name string) []exchanger.Peer {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.unlisted {
		return nil
	}
	var peers []exchanger.Peer
	for number := range ms.count {
		if other := fmt.Sprint("m", number); other != name {
			peers = append(peers, exchanger.Peer{Name: other, Address: other})
		}
	}
	return peers
}

// run lets members exchange while a scenario goes on.
func run(t *testing.T, count int, scenario func(ms *members, interval time.Duration)) {
	t.Helper()
	runListed(t, count, true, func(ms *members, all []*exchanger.Exchanger) { scenario(ms, all[0].Interval()) })
}

// runListed is run with members that know each other from the start, or don't.
func runListed(t *testing.T, count int, listed bool, scenario func(ms *members, all []*exchanger.Exchanger)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ms := &members{
			unlisted: !listed, count: count, handlers: make(map[string]http.Handler), mute: make(map[string]bool), heard: make(map[string]time.Time),
		}
		var all []*exchanger.Exchanger
		for number := range count {
			name := fmt.Sprint("m", number)
			ex := exchanger.New(exchanger.Options{
				Self:  name,
				Peers: func() []exchanger.Peer { return ms.others(name) },
				Compose: func(string) *wire.FleetState {
					return &wire.FleetState{Instance: name, Start: "a start of the process"}
				},
				Apply:          func(state *wire.FleetState) { ms.hear(name, state.GetInstance()) },
				ExchangeFailed: func(string, error) {},
				Transport:      link{ms: ms, from: name},
			})
			ms.handlers[name] = ex.Handler()
			all = append(all, ex)
		}
		ctx, stop := context.WithCancel(t.Context())
		for _, ex := range all {
			go ex.Run(ctx)
		}
		synctest.Wait()
		scenario(ms, all)
		stop()
		for _, ex := range all {
			<-ex.Done()
		}
	})
}

// The pattern of ipva-hq-grown trouble-1: the work of telling grows with the pairs, so each pair exchanges once in an
// interval, and spends nothing on packing what is small.
func TestOneSideOfAPairBegins(t *testing.T) {
	run(t, 12, func(ms *members, interval time.Duration) {
		ms.forget()
		const intervals = 50
		time.Sleep(intervals * interval)
		synctest.Wait()
		ms.mu.Lock()
		defer ms.mu.Unlock()
		if most := 12 * 11 / 2 * (intervals + 1); ms.exchanges > most {
			t.Errorf("%d exchanges, want at most %d", ms.exchanges, most)
		}
		if ms.longest > interval+time.Millisecond {
			t.Errorf("a member was not heard for %v, want %v", ms.longest, interval)
		}
		if ms.packed > 0 {
			t.Errorf("%d small answers were compressed", ms.packed)
		}
	})
}

// A member whose calls get nowhere, but who answers, is called by those that usually wait for it.
func TestTheOtherSideBeginsWhenNothingIsHeard(t *testing.T) {
	run(t, 4, func(ms *members, interval time.Duration) {
		ms.mu.Lock()
		ms.mute["m0"], ms.mute["m1"] = true, true
		ms.mu.Unlock()
		time.Sleep(5 * interval)
		ms.forget()
		time.Sleep(20 * interval)
		synctest.Wait()
		ms.mu.Lock()
		defer ms.mu.Unlock()
		for _, one := range []string{"m2", "m3"} {
			for _, other := range []string{"m0", "m1"} {
				if since := time.Since(ms.heard[one+" heard "+other]); since > 3*interval {
					t.Errorf("%s has not heard %s for %v", one, other, since)
				}
			}
		}
	})
}

// All members know of each other at once after they start, not only after an interval.
func TestMembersMeetAtOnce(t *testing.T) {
	run(t, 5, func(ms *members, _ time.Duration) {
		ms.mu.Lock()
		defer ms.mu.Unlock()
		if len(ms.heard) != 5*4 {
			t.Errorf("%d of 20 members heard", len(ms.heard))
		}
	})
}

// The pattern of ipva-hq inc-9cfd, 42.5 s: after a start of all members each admits next to nothing until it knows the
// others, so it asks who they are as soon as the store has told, and not at its next look.
func TestMembersMeetAsSoonAsTheyAreListed(t *testing.T) {
	runListed(t, 5, false, func(ms *members, all []*exchanger.Exchanger) {
		time.Sleep(10 * time.Millisecond)
		ms.mu.Lock()
		ms.unlisted = false
		ms.mu.Unlock()
		for _, ex := range all {
			ex.Refresh()
		}
		synctest.Wait()
		ms.mu.Lock()
		defer ms.mu.Unlock()
		if len(ms.heard) != 5*4 {
			t.Errorf("%d of 20 members heard", len(ms.heard))
		}
	})
}
