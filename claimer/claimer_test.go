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

// seen is what an operation on a key showed.
type seen struct {
	verdict Result
	answer  string
}

// verdictRefused stands for a refusal as not run, verdictFinish for a stored outcome.
const (
	verdictRefused Result = iota + 100
	verdictFinish
)

// progress is how far the one run of a key is.
type progress struct {
	won, done bool
	answer    string
}

// claimModel is one key: it is won once, finished once, and answered with what it was finished with.
func claimModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return progress{} },
		Step: func(state, _, output any) (bool, any) {
			pr, se := state.(progress), output.(seen)
			switch se.verdict {
			case ResultWon:
				return !pr.won, progress{won: true}
			case verdictFinish:
				return pr.won && !pr.done, progress{won: true, done: true, answer: se.answer}
			case ResultAnswered:
				return pr.done && pr.answer == se.answer, pr
			case ResultRunning, ResultUnknown:
				return !pr.done, pr
			}
			return true, pr
		},
	}
}

// history records operations by key.
type history struct {
	mu         sync.Mutex
	operations map[string][]porcupine.Operation
	begin      time.Time
}

func (hi *history) add(client int, key string, called time.Time, se seen) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.operations[key] = append(hi.operations[key], porcupine.Operation{
		ClientId: client, Input: key, Output: se,
		Call: called.Sub(hi.begin).Nanoseconds(), Return: time.Since(hi.begin).Nanoseconds(),
	})
}

// attempt claims and, when it wins, runs and finishes; crashed instances stop half way.
func (hi *history) attempt(fl *fleet, client int, name, key string, run time.Duration) {
	cl := fl.claimers[name]
	rq := order(fmt.Sprintf("rq-%d", client), key, "one scooter")
	called := time.Now()
	de, err := cl.Claim(context.Background(), rq)
	if _, gone := fl.gone.Load(name); gone {
		return
	}
	se := seen{verdict: de.Result(), answer: string(de.Answer().GetBody())}
	if err != nil {
		se.verdict = verdictRefused
	}
	hi.add(client, key, called, se)
	if de.Result() != ResultWon {
		return
	}
	time.Sleep(run)
	if _, gone := fl.gone.Load(name); gone {
		return
	}
	called = time.Now()
	answer := fmt.Sprintf("order %d", client)
	if err := cl.Finish(context.Background(), rq, wire.ClaimState_CLAIM_STATE_DONE, &wire.Answer{Body: []byte(answer)}); err != nil {
		hi.add(client, key, called, seen{verdict: verdictRefused})
		return
	}
	hi.add(client, key, called, seen{verdictFinish, answer})
}

// Over resends, lost and late answers of the store and of instances, and crashes, each key is won at most once and
// every stored answer is the first one.
func TestHistoriesOfClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet(seed, 3, 0.2, 0.1)
			defer fl.cancel()
			random := rand.New(rand.NewPCG(seed, 3))
			hi := &history{operations: make(map[string][]porcupine.Operation), begin: time.Now()}
			var clients sync.WaitGroup
			for client := range 40 {
				name, key := fl.names[random.IntN(3)], fmt.Sprintf("key-%d", random.IntN(4))
				start := time.Duration(random.IntN(8000)) * time.Millisecond
				run := time.Duration(random.IntN(400)) * time.Millisecond
				clients.Go(func() {
					time.Sleep(start)
					if _, gone := fl.gone.Load(name); !gone {
						hi.attempt(fl, client, name, key, run)
					}
				})
			}
			time.AfterFunc(4*time.Second, func() { fl.gone.Store(fl.names[seed%3], true) })
			clients.Wait()
			for key, operations := range hi.operations {
				if !porcupine.CheckOperations(claimModel(), operations) {
					t.Errorf("seed %d: history of %s isn't that of one run: %+v", seed, key, operations)
				}
			}
			time.Sleep(2 * releasePatience)
		})
	}
}

// A table of what the second request with a key gets.
func TestResend(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789"), 60<<10)
	cases := map[string]struct {
		finish  wire.ClaimState
		answer  []byte
		body    string
		gone    bool
		later   time.Duration
		verdict Result
	}{
		"answered":     {finish: wire.ClaimState_CLAIM_STATE_DONE, answer: []byte("order 1"), verdict: ResultAnswered},
		"large answer": {finish: wire.ClaimState_CLAIM_STATE_DONE, answer: large, verdict: ResultAnswered},
		"too large":    {finish: wire.ClaimState_CLAIM_STATE_DONE, answer: bytes.Repeat(large, 4), verdict: ResultUnknown},
		"running":      {verdict: ResultRunning},
		"ran too long": {later: DefaultMaxRunTime + DefaultMaxSkew, verdict: ResultUnknown},
		"claimer gone": {gone: true, verdict: ResultUnknown},
		"unknown":      {finish: wire.ClaimState_CLAIM_STATE_UNKNOWN, verdict: ResultUnknown},
		"other body":   {body: "two scooters", verdict: ResultConflict},
		"at window's end": {
			finish: wire.ClaimState_CLAIM_STATE_DONE, answer: []byte("order 1"),
			later: DefaultWindow - 2*DefaultMaxSkew, verdict: ResultAnswered,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fl := newFleet(1, 3, 0, 0)
				defer fl.cancel()
				// The window then ends in another epoch than it begins in.
				time.Sleep(DefaultWindow / 2)
				first := order("rq-1", "key", "one scooter")
				if de, err := fl.claimers["i0"].Claim(t.Context(), first); err != nil || de.Result() != ResultWon {
					t.Fatalf("first claim: %v, %v", de.Result(), err)
				}
				if tc.finish != 0 {
					if err := fl.claimers["i0"].Finish(t.Context(), first, tc.finish, &wire.Answer{Body: tc.answer}); err != nil {
						t.Fatal(err)
					}
				}
				if tc.gone {
					fl.gone.Store("i0", true)
				}
				if tc.body == "" {
					tc.body = "one scooter"
				}
				time.Sleep(tc.later)
				de, err := fl.claimers["i1"].Claim(t.Context(), order("rq-2", "key", tc.body))
				if err != nil || de.Result() != tc.verdict {
					t.Fatalf("resend: verdict %v, %v; want %v", de.Result(), err, tc.verdict)
				}
				if tc.verdict == ResultAnswered && !bytes.Equal(de.Answer().GetBody(), tc.answer) {
					t.Fatalf("resend got another answer of %d bytes", len(de.Answer().GetBody()))
				}
			})
		})
	}
}

// uuid7 makes a key that carries a time.
func uuid7(at time.Time) string {
	hex := fmt.Sprintf("%012x", at.UnixMilli())
	return hex[:8] + "-" + hex[8:12] + "-7000-8000-000000000000"
}

// A key that is older than the window is refused; while the store is away a claim is refused within its patience, and
// the refusal is true: the same key can run afterwards.
func TestRefusals(t *testing.T) {
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
			if _, err := cl.Claim(t.Context(), order("rq", key, "")); err != nil {
				got = requester.AsRefusal(err).Code()
			}
			if got != code {
				t.Errorf("key %s: %q, want %q", key, got, code)
			}
		}
		fl.faults.away.Store(true)
		begin := time.Now()
		_, err := cl.Claim(t.Context(), order("rq-1", "key", ""))
		rf := requester.AsRefusal(err)
		if rf == nil || rf.Code() != requester.CodeStoreUnavailable || rf.Outcome() != requester.OutcomeNotRun {
			t.Fatalf("claim with the store away: %v", err)
		}
		if took := time.Since(begin); took > DefaultMaxWait+time.Second/10 {
			t.Errorf("the refusal took %v", took)
		}
		fl.faults.away.Store(false)
		time.Sleep(releasePatience)
		if de, err := cl.Claim(t.Context(), order("rq-2", "key", "")); err != nil || de.Result() != ResultWon {
			t.Errorf("after the outage: %v, %v", de.Result(), err)
		}
	})
}

// Whatever two clocks within the skew show at one moment: an epoch that one of them lets an instance drop is not looked
// at, nor written, by an instance on the other.
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
		if cl.checkTime(claim, accepting) != nil {
			return
		}
		dropped := epochPrefix(cl.lastClosed(now.Add(skew("dropping"))))
		for _, place := range placesOf(claim, DefaultWindow).all() {
			if place[:len(dropped)] <= dropped {
				rt.Fatalf("%s is looked at and %s is dropped", place, dropped)
			}
		}
	})
}

// 500 claims and outcomes a second, over eight instances, fit in 150 writes a second.
func TestWritesPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, seconds, most = 500, 4, 150
		fl := newFleet(1, 8, 0, 0)
		defer fl.cancel()
		var clients sync.WaitGroup
		for index := range requests * seconds {
			clients.Go(func() {
				time.Sleep(time.Duration(index) * time.Second / requests)
				rq := order(fmt.Sprint(index), fmt.Sprintf("key-%d", index), "")
				cl := fl.claimers[fl.names[index%8]]
				if de, err := cl.Claim(t.Context(), rq); err != nil || de.Result() != ResultWon {
					t.Errorf("claim %d: %v, %v", index, de.Result(), err)
					return
				}
				if err := cl.Finish(t.Context(), rq, wire.ClaimState_CLAIM_STATE_DONE, &wire.Answer{Status: http.StatusOK}); err != nil {
					t.Errorf("finish %d: %v", index, err)
				}
			})
		}
		clients.Wait()
		perSecond := fl.faults.writes.Load() / seconds
		t.Logf("%d writes a second", perSecond)
		if perSecond > most {
			t.Errorf("%d writes a second", perSecond)
		}
	})
}
