package claimer

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"lovagebank/requester"
	"lovagebank/wire"
)

// observation is the observed result of an operation on a key.
type observation struct {
	result Result
	answer string
}

// Results of operations beyond those of a claim: resultRefused means that the request was refused and not run,
// resultFinished that its outcome was stored.
const (
	resultRefused Result = iota + 100
	resultFinished
)

// keyState is the state of a key in claimModel.
type keyState struct {
	won, done bool
	answer    string
}

// claimModel is the sequential model of one key: the key is won once and finished once, and every later answer is the
// one that was stored when it finished.
func claimModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return keyState{} },
		Step: func(state, _, output any) (bool, any) {
			ks, ob := state.(keyState), output.(observation)
			switch ob.result {
			case ResultWon:
				return !ks.won, keyState{won: true}
			case resultFinished:
				return ks.won && !ks.done, keyState{won: true, done: true, answer: ob.answer}
			case ResultAnswered:
				return ks.done && ks.answer == ob.answer, ks
			case ResultRunning, ResultUnknown:
				return !ks.done, ks
			}
			return true, ks
		},
	}
}

// history records operations by key.
type history struct {
	mu         sync.Mutex
	operations map[string][]porcupine.Operation
	start      time.Time
}

func (hi *history) add(client int, key string, called time.Time, ob observation) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.operations[key] = append(hi.operations[key], porcupine.Operation{
		ClientId: client, Input: key, Output: ob,
		Call: called.Sub(hi.start).Nanoseconds(), Return: time.Since(hi.start).Nanoseconds(),
	})
}

// attempt claims a key and, if it wins, runs and finishes the request. A crashed instance stops in between.
func (hi *history) attempt(fl *fleet, client int, name, key string, run time.Duration) {
	cl := fl.claimers[name]
	rq := newOrderRequest(fmt.Sprintf("rq-%d", client), key, "one scooter")
	called := time.Now()
	de, err := cl.Claim(context.Background(), rq)
	if _, crashed := fl.crashed.Load(name); crashed {
		return
	}
	ob := observation{result: de.Result(), answer: string(de.Answer().GetBody())}
	if err != nil {
		ob.result = resultRefused
	}
	hi.add(client, key, called, ob)
	if de.Result() != ResultWon {
		return
	}
	time.Sleep(run)
	if _, crashed := fl.crashed.Load(name); crashed {
		return
	}
	called = time.Now()
	answer := fmt.Sprintf("order %d", client)
	if err := cl.Finish(context.Background(), rq, wire.ClaimState_CLAIM_STATE_DONE, &wire.Answer{Body: []byte(answer)}); err != nil {
		hi.add(client, key, called, observation{result: resultRefused})
		return
	}
	hi.add(client, key, called, observation{resultFinished, answer})
}

// Resent requests, lost or late responses of the store and of instances, and crashes must not let a key be won twice or
// change its stored answer.
func TestClaimHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(seed, 3, 0.2, 0.1)
			defer fl.cancel()
			random := rand.New(rand.NewPCG(seed, 3))
			hi := &history{operations: make(map[string][]porcupine.Operation), start: time.Now()}
			var clients sync.WaitGroup
			for client := range 40 {
				name, key := fl.names[random.IntN(3)], fmt.Sprintf("key-%d", random.IntN(4))
				start := time.Duration(random.IntN(8000)) * time.Millisecond
				run := time.Duration(random.IntN(400)) * time.Millisecond
				clients.Go(func() {
					time.Sleep(start)
					if _, crashed := fl.crashed.Load(name); !crashed {
						hi.attempt(fl, client, name, key, run)
					}
				})
			}
			time.AfterFunc(4*time.Second, func() { fl.crashed.Store(fl.names[seed%3], true) })
			clients.Wait()
			for key, operations := range hi.operations {
				if !porcupine.CheckOperations(claimModel(), operations) {
					t.Errorf("seed %d: history of %s is not linearizable: %+v", seed, key, operations)
				}
			}
			time.Sleep(2 * releaseTimeout)
		})
	}
}

// The second request with a key gets the decision that follows from the outcome of the first.
func TestDecisionForResentKey(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789"), 60<<10)
	cases := map[string]struct {
		finish  wire.ClaimState
		answer  []byte
		body    string
		crashed bool
		delay   time.Duration
		result  Result
	}{
		"answered":                  {finish: wire.ClaimState_CLAIM_STATE_DONE, answer: []byte("order 1"), result: ResultAnswered},
		"large answer":              {finish: wire.ClaimState_CLAIM_STATE_DONE, answer: large, result: ResultAnswered},
		"answer too large":          {finish: wire.ClaimState_CLAIM_STATE_DONE, answer: bytes.Repeat(large, 4), result: ResultUnknown},
		"running":                   {result: ResultRunning},
		"running past the limit":    {delay: DefaultMaxRunTime + DefaultMaxSkew, result: ResultUnknown},
		"claiming instance stopped": {crashed: true, result: ResultUnknown},
		"outcome unknown":           {finish: wire.ClaimState_CLAIM_STATE_UNKNOWN, result: ResultUnknown},
		"different body":            {body: "two scooters", result: ResultConflict},
		"at the end of the window": {
			finish: wire.ClaimState_CLAIM_STATE_DONE, answer: []byte("order 1"),
			delay: DefaultWindow - 2*DefaultMaxSkew, result: ResultAnswered,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(1, 3, 0, 0)
				defer fl.cancel()
				// Start in the middle of an epoch, so that the window ends in a later epoch than it begins in.
				time.Sleep(DefaultWindow / 2)
				first := newOrderRequest("rq-1", "key", "one scooter")
				if de, err := fl.claimers["i0"].Claim(t.Context(), first); err != nil || de.Result() != ResultWon {
					t.Fatalf("first claim: result %v, error %v", de.Result(), err)
				}
				if tc.finish != 0 {
					if err := fl.claimers["i0"].Finish(t.Context(), first, tc.finish, &wire.Answer{Body: tc.answer}); err != nil {
						t.Fatal(err)
					}
				}
				if tc.crashed {
					fl.crashed.Store("i0", true)
				}
				if tc.body == "" {
					tc.body = "one scooter"
				}
				time.Sleep(tc.delay)
				de, err := fl.claimers["i1"].Claim(t.Context(), newOrderRequest("rq-2", "key", tc.body))
				if err != nil || de.Result() != tc.result {
					t.Fatalf("resent request: result %v, error %v; want %v", de.Result(), err, tc.result)
				}
				if tc.result == ResultAnswered && !bytes.Equal(de.Answer().GetBody(), tc.answer) {
					t.Fatalf("resent request got a different answer of %d bytes", len(de.Answer().GetBody()))
				}
			})
		})
	}
}

// uuid7 returns a version 7 UUID with the given timestamp.
func uuid7(at time.Time) string {
	hex := fmt.Sprintf("%012x", at.UnixMilli())
	return hex[:8] + "-" + hex[8:12] + "-7000-8000-000000000000"
}

// A key is refused if its timestamp is older than the window or in the future. While the store is unavailable, a claim
// is refused as not run within its maximum wait, and the same key can still be won after the outage.
func TestRefusesInvalidKeyTimesAndStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(1, 1, 0, 0)
		defer fl.cancel()
		cl := fl.claimers["i0"]
		for key, code := range map[string]requester.Code{
			uuid7(time.Now().Add(-DefaultWindow)):          requester.CodeKeyExpired,
			uuid7(time.Now().Add(2 * DefaultMaxSkew)):      requester.CodeBadRequest,
			uuid7(time.Now().Add(-DefaultWindow * 9 / 10)): "",
		} {
			var got requester.Code
			if _, err := cl.Claim(t.Context(), newOrderRequest("rq", key, "")); err != nil {
				got = requester.AsRefusal(err).Code()
			}
			if got != code {
				t.Errorf("key %s: %q, want %q", key, got, code)
			}
		}
		fl.transport.unavailable.Store(true)
		begin := time.Now()
		_, err := cl.Claim(t.Context(), newOrderRequest("rq-1", "key", ""))
		rf := requester.AsRefusal(err)
		if rf == nil || rf.Code() != requester.CodeStoreUnavailable || rf.Outcome() != requester.OutcomeNotRun {
			t.Fatalf("claim during the store outage: %v", err)
		}
		if took := time.Since(begin); took > DefaultMaxWait+time.Second/10 {
			t.Errorf("the refusal took %v", took)
		}
		fl.transport.unavailable.Store(false)
		time.Sleep(releaseTimeout)
		if de, err := cl.Claim(t.Context(), newOrderRequest("rq-2", "key", "")); err != nil || de.Result() != ResultWon {
			t.Errorf("claim after the outage: result %v, error %v", de.Result(), err)
		}
	})
}

// For any two clocks within the allowed skew, an epoch that an instance with one clock deletes is neither read nor
// written by an instance with the other clock.
func TestDroppedEpochsAreClosed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		skew := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-int64(DefaultMaxSkew), int64(DefaultMaxSkew)).Draw(rt, name))
		}
		boundary := time.UnixMilli(0).Add(400000 * DefaultWindow)
		now := boundary.Add(3 * skew("now"))
		cl := New(Options{Instance: "i0"})
		accepting := now.Add(skew("accepting"))
		key := "no-time"
		if rapid.Bool().Draw(rt, "timed") {
			key = uuid7(accepting.Add(-time.Duration(rapid.Int64Range(0, int64(2*DefaultWindow)).Draw(rt, "age"))))
		}
		claim := &wire.Claim{Key: key, ClaimedAtMs: accepting.UnixMilli()}
		if cl.checkKeyTime(claim, accepting) != nil {
			return
		}
		dropped := epochPrefix(cl.lastClosedEpoch(now.Add(skew("dropping"))))
		for _, storeKey := range claimKeysOf(claim, DefaultWindow).all() {
			if storeKey[:len(dropped)] <= dropped {
				rt.Fatalf("key %s is still accepted but epoch %s is deleted", storeKey, dropped)
			}
		}
	})
}

// 500 claims and outcomes per second, over eight instances, need at most 150 store writes per second.
func TestBatchingLimitsWritesPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, seconds, maxWrites = 500, 4, 150
		fl := newFleet(1, 8, 0, 0)
		defer fl.cancel()
		var clients sync.WaitGroup
		for index := range requests * seconds {
			clients.Go(func() {
				time.Sleep(time.Duration(index) * time.Second / requests)
				rq := newOrderRequest(fmt.Sprint(index), fmt.Sprintf("key-%d", index), "")
				cl := fl.claimers[fl.names[index%8]]
				if de, err := cl.Claim(t.Context(), rq); err != nil || de.Result() != ResultWon {
					t.Errorf("claim %d: result %v, error %v", index, de.Result(), err)
					return
				}
				if err := cl.Finish(t.Context(), rq, wire.ClaimState_CLAIM_STATE_DONE, &wire.Answer{Status: http.StatusOK}); err != nil {
					t.Errorf("finish %d: %v", index, err)
				}
			})
		}
		clients.Wait()
		perSecond := fl.transport.writes.Load() / seconds
		t.Logf("%d store writes per second", perSecond)
		if perSecond > maxWrites {
			t.Errorf("%d store writes per second", perSecond)
		}
	})
}
