package limiter

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

// pair is two running limiters in one failure domain, of which the first holds the floor and the home.
func pair(t *testing.T) (holder, other *Limiter) {
	limiters := make(map[string]*Limiter)
	ctx, cancel := context.WithCancel(t.Context())
	for _, name := range []string{"i0", "i1"} {
		limiters[name] = New(Options{
			Instance: name, Domain: "d0",
			Holds:  func(string) (uint64, time.Time, bool) { return firstFencing, time.Now().Add(time.Second), name == "i0" },
			Holder: func(string) (string, bool) { return "i0", true },
			Borrow: func(_ context.Context, to string, rq *wire.BorrowRequest) (*wire.BorrowResponse, error) {
				time.Sleep(time.Millisecond)
				return limiters[to].Borrow(rq), nil
			},
			Return: func(_ context.Context, to string, rq *wire.ReturnRequest) (*wire.ReturnResponse, error) {
				time.Sleep(time.Millisecond)
				return limiters[to].Return(rq), nil
			},
		})
		go limiters[name].Run(ctx)
		limiters[name].SetDomains([]string{"d0"})
		limiters[name].SetPlan(testOrganisation, 100, 1000)
	}
	t.Cleanup(func() {
		cancel()
		for _, lm := range limiters {
			<-lm.Done()
		}
	})
	time.Sleep(time.Second)
	return limiters["i0"], limiters["i1"]
}

// What a request waits for, and what it is refused for, at an instance that holds no bucket.
func TestChargeWaitsOrRefusesAtOnce(t *testing.T) {
	cases := map[string]struct {
		cost     int64
		patience time.Duration
		code     requester.Code
		// wait bounds the time to the result.
		wait time.Duration
	}{
		"there":               {cost: 100, patience: time.Second, wait: 100 * time.Millisecond},
		"comes in time":       {cost: 600, patience: 2 * time.Second, wait: 1200 * time.Millisecond},
		"comes too late":      {cost: 900, patience: time.Second, code: requester.CodeRateExceeded, wait: 200 * time.Millisecond},
		"never":               {cost: 1001, patience: time.Hour, code: requester.CodeRateExceeded, wait: time.Millisecond},
		"caller goes away":    {cost: 900, patience: time.Hour, code: requester.CodeCancelled, wait: time.Second / 2},
		"other organisations": {cost: 0, patience: time.Second, wait: time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				holder, other := pair(t)
				if _, err := holder.Charge(t.Context(), testOrganisation, 500, time.Now().Add(time.Second)); err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tc.code == requester.CodeCancelled {
					time.AfterFunc(tc.wait/2, cancel)
				}
				begin := time.Now()
				gr, err := other.Charge(ctx, testOrganisation, tc.cost, begin.Add(tc.patience))
				var rf *requester.Refusal
				if errors.As(err, &rf) != (tc.code != "") || (rf != nil && rf.Code() != tc.code) {
					t.Fatalf("got %v, %v; want %q", gr, err, tc.code)
				}
				if took := time.Since(begin); took > tc.wait {
					t.Errorf("took %v, more than %v", took, tc.wait)
				}
				if name == "comes too late" && (rf.RetryAfter() < 3*time.Second || rf.RetryAfter() > 5*time.Second) {
					t.Errorf("retry after %v; 400 tokens come in 4 s", rf.RetryAfter())
				}
			})
		})
	}
}

// TestHolderAnswersAgain has the holder of the tokens out of reach for a while that is shorter than a request waits for
// one: the request is served once the holder answers, and not refused between two attempts.
func TestHolderAnswersAgain(t *testing.T) {
	const away = unreachablePatience * 8 / 10
	synctest.Test(t, func(t *testing.T) {
		holder, _ := pair(t)
		back := time.Now().Add(away)
		lm := New(Options{
			Instance: "i2", Domain: "d0",
			Holds:  func(string) (uint64, time.Time, bool) { return 0, time.Time{}, false },
			Holder: func(string) (string, bool) { return "i0", true },
			Borrow: func(_ context.Context, _ string, rq *wire.BorrowRequest) (*wire.BorrowResponse, error) {
				if time.Now().Before(back) {
					return nil, errors.New("no answer")
				}
				return holder.Borrow(rq), nil
			},
			Return: func(_ context.Context, _ string, rq *wire.ReturnRequest) (*wire.ReturnResponse, error) {
				return holder.Return(rq), nil
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		go lm.Run(ctx)
		lm.SetDomains([]string{"d0"})
		lm.SetPlan(testOrganisation, 100, 1000)
		_, err := lm.Charge(t.Context(), testOrganisation, 100, time.Now().Add(time.Minute))
		if err != nil || time.Now().Before(back) {
			t.Errorf("got %v after %v", err, away-time.Until(back))
		}
		cancel()
		<-lm.Done()
	})
}

// TestUseBeyondTheChargeIsCharged has a target count more tokens than were charged: they are missing afterwards.
func TestUseBeyondTheChargeIsCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder, _ := pair(t)
		gr, err := holder.Charge(t.Context(), testOrganisation, 500, time.Now().Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		gr.Settle(900)
		synctest.Wait()
		if _, err := holder.Charge(t.Context(), testOrganisation, 400, time.Now().Add(time.Second)); err == nil {
			t.Error("400 tokens were there, of 1000 of which 900 were used")
		}
	})
}

// Settled tokens come back to the bucket of another instance, and a second Settle changes nothing.
func TestSettleReachesTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder, other := pair(t)
		gr, err := other.Charge(t.Context(), testOrganisation, 900, time.Now().Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		gr.Settle(100)
		gr.Settle(0)
		time.Sleep(time.Second / 2)
		if _, err := holder.Charge(t.Context(), testOrganisation, 800, time.Now()); err != nil {
			t.Errorf("the tokens given back aren't there: %v", err)
		}
		if _, err := holder.Charge(t.Context(), testOrganisation, 400, time.Now()); err == nil {
			t.Error("more tokens are there than were given back")
		}
	})
}
