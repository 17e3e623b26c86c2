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

// startPair starts two limiters in one failure domain, of which the first holds the floor and the home.
func startPair(t *testing.T) (holder, other *Limiter) {
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

// At an instance that holds no bucket, a request waits for tokens that come before its deadline and is refused at once
// otherwise.
func TestChargeWaitsOrRefusesAtOnce(t *testing.T) {
	cases := map[string]struct {
		cost    int64
		maxWait time.Duration
		code    requester.Code
		// within is the maximum time to the result.
		within time.Duration
	}{
		"available":      {cost: 100, maxWait: time.Second, within: 100 * time.Millisecond},
		"in time":        {cost: 600, maxWait: 2 * time.Second, within: 1200 * time.Millisecond},
		"too late":       {cost: 900, maxWait: time.Second, code: requester.CodeRateExceeded, within: 200 * time.Millisecond},
		"over the burst": {cost: 1001, maxWait: time.Hour, code: requester.CodeRateExceeded, within: time.Millisecond},
		"caller cancels": {cost: 900, maxWait: time.Hour, code: requester.CodeCancelled, within: time.Second / 2},
		"no cost":        {cost: 0, maxWait: time.Second, within: time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				holder, other := startPair(t)
				if _, err := holder.Charge(t.Context(), testOrganisation, 500, time.Now().Add(time.Second)); err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if tc.code == requester.CodeCancelled {
					time.AfterFunc(tc.within/2, cancel)
				}
				begin := time.Now()
				gr, err := other.Charge(ctx, testOrganisation, tc.cost, begin.Add(tc.maxWait))
				var rf *requester.Refusal
				if errors.As(err, &rf) != (tc.code != "") || (rf != nil && rf.Code() != tc.code) {
					t.Fatalf("got %v, %v; want %q", gr, err, tc.code)
				}
				if took := time.Since(begin); took > tc.within {
					t.Errorf("took %v, more than %v", took, tc.within)
				}
				if name == "too late" && (rf.RetryAfter() < 3*time.Second || rf.RetryAfter() > 5*time.Second) {
					t.Errorf("retry after %v, want 3 s to 5 s: 400 tokens are refilled in 4 s", rf.RetryAfter())
				}
			})
		})
	}
}

// TestServesWaitingRequestAfterHolderRecovers makes the holder of the tokens unreachable for less than
// unreachableMaxWait. The request is served once the holder answers, and not refused between two attempts.
func TestServesWaitingRequestAfterHolderRecovers(t *testing.T) {
	const outage = unreachableMaxWait * 8 / 10
	synctest.Test(t, func(t *testing.T) {
		holder, _ := startPair(t)
		recovery := time.Now().Add(outage)
		lm := New(Options{
			Instance: "i2", Domain: "d0",
			Holds:  func(string) (uint64, time.Time, bool) { return 0, time.Time{}, false },
			Holder: func(string) (string, bool) { return "i0", true },
			Borrow: func(_ context.Context, _ string, rq *wire.BorrowRequest) (*wire.BorrowResponse, error) {
				if time.Now().Before(recovery) {
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
		if err != nil || time.Now().Before(recovery) {
			t.Errorf("got %v after %v", err, outage-time.Until(recovery))
		}
		cancel()
		<-lm.Done()
	})
}

// TestChargesUsageBeyondEstimate settles a request that used more tokens than were charged: the excess is charged too,
// so it is not available to the next request.
func TestChargesUsageBeyondEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder, _ := startPair(t)
		gr, err := holder.Charge(t.Context(), testOrganisation, 500, time.Now().Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		gr.Settle(900)
		synctest.Wait()
		if _, err := holder.Charge(t.Context(), testOrganisation, 400, time.Now().Add(time.Second)); err == nil {
			t.Error("400 tokens were available, of 1000 of which 900 were used")
		}
	})
}

// Settle returns unused tokens to the bucket of another instance, and a second Settle has no effect.
func TestSettleReturnsTokensToHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder, other := startPair(t)
		gr, err := other.Charge(t.Context(), testOrganisation, 900, time.Now().Add(time.Second))
		if err != nil {
			t.Fatal(err)
		}
		gr.Settle(100)
		gr.Settle(0)
		time.Sleep(time.Second / 2)
		if _, err := holder.Charge(t.Context(), testOrganisation, 800, time.Now()); err != nil {
			t.Errorf("the refunded tokens are not available: %v", err)
		}
		if _, err := holder.Charge(t.Context(), testOrganisation, 400, time.Now()); err == nil {
			t.Error("more tokens are available than were refunded")
		}
	})
}
