package deferrer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/batcher"
	"lovagebank/faker"
	"lovagebank/pauser"
	"lovagebank/requester"
	"lovagebank/storer"
	"lovagebank/wire"
)

// inProcess carries calls to a store in the same process, and counts them.
type inProcess struct {
	store *faker.Store
	calls atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (ip *inProcess) RoundTrip(rq *http.Request) (*http.Response, error) {
	ip.calls.Add(1)
	recorder := httptest.NewRecorder()
	if rq.Body == nil {
		rq.Body = io.NopCloser(http.NoBody)
	}
	ip.store.ServeHTTP(recorder, rq)
	return recorder.Result(), nil
}

// night is a fleet whose instances are replaced while jobs wait and run.
type night struct {
	transport *inProcess
	mu        sync.Mutex
	alive     map[string]context.CancelFunc
	born      int
	runs      sync.Map
	room      func() bool
	runTime   time.Duration
}

func newNight(room func() bool) *night {
	return &night{
		transport: &inProcess{store: faker.NewStore(faker.StoreOptions{})},
		alive:     make(map[string]context.CancelFunc), room: room, runTime: 20 * time.Second,
	}
}

func (ni *night) members() []string {
	ni.mu.Lock()
	defer ni.mu.Unlock()
	var names []string
	for name := range ni.alive {
		names = append(names, name)
	}
	return names
}

// startInstance starts an instance and returns it. A crash ends its calls and runs without a word.
func (ni *night) startInstance() (df *Deferrer, crash context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	ni.mu.Lock()
	ni.born++
	name := fmt.Sprintf("i%d", ni.born)
	ni.alive[name] = cancel
	ni.mu.Unlock()
	client := storer.New(storer.Options{Address: "store", Transport: ni.transport, CallsPerSecond: 1e6, Burst: 1e6})
	ba := batcher.New(batcher.Options{Transact: client.Transact, Interval: 200 * time.Millisecond})
	go ba.Run(ctx)
	df = New(Options{
		Instance: name, Get: client.Get, List: client.List, Members: ni.members, HasCapacity: ni.room,
		Commit: func(cctx context.Context, steps ...storer.Step) ([]storer.Entry, error) {
			if ctx.Err() != nil {
				return nil, storer.ErrUnavailable
			}
			return ba.Commit(cctx, steps...)
		},
		Invoke: func(rctx context.Context, rq *requester.Request) (*wire.Answer, error) {
			started, _ := ni.runs.LoadOrStore(rq.ID(), time.Now())
			if !pauser.For(rctx, ni.runTime) || ctx.Err() != nil {
				return nil, requester.Refuse(requester.CodeCancelled, "crashed", 0)
			}
			return &wire.Answer{Status: http.StatusOK, Body: []byte(rq.ID() + " " + started.(time.Time).Format(time.TimeOnly))}, nil
		},
		EstimateRunTime: func(*requester.Request) time.Duration { return 10 * time.Minute },
		Nonce:           func() string { ni.mu.Lock(); defer ni.mu.Unlock(); ni.born++; return fmt.Sprint(ni.born) },
	})
	go df.Run(ctx)
	return df, func() {
		ni.mu.Lock()
		delete(ni.alive, name)
		ni.mu.Unlock()
		cancel()
		df.abort()
	}
}

func summary(id string, deadline time.Time) *requester.Request {
	return requester.New(requester.Fields{
		ID: id, Organisation: "castaneda", Kind: requester.KindChat, Adapter: "warranty", Version: "3",
		Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(`{"model":"warranty"}`),
		Urgency: requester.UrgencyDeferrable, Deadline: deadline, Repeatable: true,
	})
}

// A night's summaries are all done by opening, though every instance is replaced over and over, and the store gets few
// calls.
func TestNightIsDoneByOpening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, instances, replacements = 300, 3, 8
		begin := time.Now()
		opening := begin.Add(2 * time.Hour)
		ni := newNight(func() bool { return time.Since(begin) > time.Hour/2 })
		ni.runTime = 5 * time.Minute
		var crashes []context.CancelFunc
		var df *Deferrer
		for range instances {
			var crash context.CancelFunc
			df, crash = ni.startInstance()
			crashes = append(crashes, crash)
		}
		ids := make([]string, jobs)
		for index := range ids {
			var err error
			if ids[index], err = df.Accept(t.Context(), summary(fmt.Sprintf("rq-%d", index), opening)); err != nil {
				t.Fatal(err)
			}
		}
		for range replacements {
			time.Sleep(opening.Sub(begin) / (replacements + 1))
			crashes[0]()
			var crash context.CancelFunc
			df, crash = ni.startInstance()
			crashes = append(crashes[1:], crash)
		}
		time.Sleep(time.Until(opening))
		calls := float64(ni.transport.calls.Load()) / opening.Sub(begin).Seconds()
		for index, id := range ids {
			st, err := df.Lookup(t.Context(), "castaneda", id)
			if err != nil || st.Answer() == nil {
				t.Fatalf("job %d: %+v, %v", index, st, err)
			}
		}
		t.Logf("%.2f store calls a second", calls)
		if calls > 3 {
			t.Errorf("%.2f store calls a second", calls)
		}
		for _, crash := range crashes {
			crash()
		}
	})
}

// Without room, a job starts at its latest start.
func TestLatestStartMakesUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ni := newNight(func() bool { return false })
		df, crash := ni.startInstance()
		defer crash()
		deadline := time.Now().Add(time.Hour)
		id, err := df.Accept(t.Context(), summary("rq-1", deadline))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Until(deadline))
		if st, err := df.Lookup(t.Context(), "castaneda", id); err != nil || st.Answer() == nil {
			t.Fatalf("at the deadline: %+v, %v", st, err)
		}
		started, _ := ni.runs.Load("rq-1")
		if latest := deadline.Add(-10 * time.Minute); started.(time.Time).Before(latest) {
			t.Errorf("started at %v, before the latest start %v", started, latest)
		}
	})
}

func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ni := newNight(func() bool { return true })
		df, crash := ni.startInstance()
		defer crash()
		_, err := df.Accept(t.Context(), summary("rq-1", time.Now().Add(time.Minute)))
		if rf := requester.AsRefusal(err); rf == nil || rf.Code() != requester.CodeDeadline || rf.Outcome() != requester.OutcomeNotRun {
			t.Errorf("work that can't be in time: %v", err)
		}
		id, err := df.Accept(t.Context(), summary("rq-2", time.Now().Add(time.Hour)))
		if err != nil {
			t.Fatal(err)
		}
		for name, when := range map[string]time.Duration{"waiting": 0, "done": 30 * time.Minute} {
			time.Sleep(when)
			_, err := df.Lookup(t.Context(), "indus", id)
			if rf := requester.AsRefusal(err); rf == nil || rf.Code() != requester.CodeNotFound {
				t.Errorf("another organisation's %s job: %v", name, err)
			}
		}
	})
}
