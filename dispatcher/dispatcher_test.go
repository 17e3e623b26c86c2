package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lovagebank/requester"
	"lovagebank/wire"
)

// caller collects what a request's caller gets.
type caller struct {
	heads int
	body  strings.Builder
	gone  bool
}

func (ca *caller) sink() requester.Sink {
	return requester.Sink{
		Head: func(int, http.Header) error {
			ca.heads++
			return ca.err()
		},
		Data: func(chunk []byte) error {
			ca.body.Write(chunk)
			return ca.err()
		},
	}
}

func (ca *caller) err() error {
	if ca.gone {
		return context.Canceled
	}
	return nil
}

// attempts is what targets did, in order: one function for each time that a request is sent.
type attempts struct {
	steps []func(rq *requester.Request, sink requester.Sink) error
	sent  []string
	// finished is the states recorded of claimed requests.
	finished []wire.ClaimState
	released int
	answer   *wire.Answer
}

func (at *attempts) send(_ context.Context, tg *wire.Target, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	step := at.steps[len(at.sent)]
	at.sent = append(at.sent, tg.GetId())
	return requester.Usage{}, step(rq, sink)
}

func (at *attempts) choose(_ *requester.Request, exclude []string) (*wire.Target, error) {
	for index := range 9 {
		id := fmt.Sprint("t", index)
		if !strings.Contains(strings.Join(exclude, " "), id) {
			return &wire.Target{Id: id}, nil
		}
	}
	return nil, requester.Refuse(requester.CodeNoTarget, "none", time.Second)
}

func (at *attempts) dispatcher() *Dispatcher {
	return New(Options{
		Choose: at.choose, Execute: at.send, Invoke: at.send, MaxAttempts: testAttempts,
		ServiceTargets: func(string) []*wire.Target { return []*wire.Target{{Id: "s0"}, {Id: "s1"}} },
		Claim:          func(context.Context, *requester.Request) (*wire.Answer, error) { return nil, nil },
		FinishClaim: func(_ context.Context, _ *requester.Request, state wire.ClaimState, answer *wire.Answer) error {
			at.finished = append(at.finished, state)
			at.answer = answer
			return nil
		},
		ReleaseClaim: func(context.Context, *requester.Request) error { at.released++; return nil },
	})
}

func event(id string, index int) string {
	return fmt.Sprintf("data: {\"id\":%q,\"created\":1,\"model\":\"a@1\",\"choices\":[{\"delta\":{\"content\":\"%d \"}}],"+
		"\"usage\":{\"completion_tokens\":%d}}\n\n", id, index, index+1)
}

const testAttempts = 5

const done = "data: [DONE]\n\n"

func wholeStream(length int) string {
	var all strings.Builder
	for index := range length {
		all.WriteString(event("first", index))
	}
	return all.String() + done
}

func streamRequest() *requester.Request {
	return requester.New(requester.Fields{
		Kind: requester.KindChat, Adapter: "a", Version: "1", Stream: true, Repeatable: true, Fingerprint: "f",
		Deadline: time.Now().Add(time.Hour),
	})
}

// TestResume cuts streams at random bytes, and lets engines repeat tokens that the caller has: the caller gets each
// token once, in order, under one name.
func TestResume(t *testing.T) {
	const length = 12
	rapid.Check(t, func(rt *rapid.T) {
		at := &attempts{}
		cuts := rapid.IntRange(0, testAttempts-1).Draw(rt, "cuts")
		for index := range cuts + 1 {
			at.steps = append(at.steps, func(rq *requester.Request, sink requester.Sink) error {
				name := "first"
				if index > 0 {
					name = "later"
				}
				from := max(int(rq.ResumeFrom())-rapid.IntRange(0, 2).Draw(rt, "repeated"), 0)
				var all strings.Builder
				for token := from; token < length; token++ {
					all.WriteString(event(name, token))
				}
				text := all.String() + done
				if index < cuts {
					text = text[:rapid.IntRange(0, len(text)-1).Draw(rt, "cut")]
				}
				_ = sink.Head(http.StatusOK, http.Header{})
				for len(text) > 0 {
					size := rapid.IntRange(1, len(text)).Draw(rt, "piece")
					if err := sink.Data([]byte(text[:size])); err != nil {
						return err
					}
					text = text[size:]
				}
				if index < cuts {
					return requester.RefuseUnknown(requester.CodeTargetLost, "lost", 0)
				}
				return nil
			})
		}
		ca := &caller{}
		_, err := at.dispatcher().Dispatch(t.Context(), streamRequest(), ca.sink())
		got := strings.ReplaceAll(ca.body.String(), `"later"`, `"first"`)
		if err != nil || ca.heads != 1 || got != wholeStream(length) {
			rt.Fatalf("error %v, %d heads, got %q", err, ca.heads, got)
		}
		if strings.Contains(ca.body.String(), "later") && strings.Contains(ca.body.String(), "first") {
			rt.Fatalf("two names in one answer: %q", ca.body.String())
		}
	})
}

func refuses(rf *requester.Refusal) func(*requester.Request, requester.Sink) error {
	return func(*requester.Request, requester.Sink) error { return rf }
}

func answers(body string) func(*requester.Request, requester.Sink) error {
	return func(_ *requester.Request, sink requester.Sink) error {
		_ = sink.Head(http.StatusOK, http.Header{})
		return sink.Data([]byte(body))
	}
}

// TestOnce checks that a request that may not be repeated is sent again only while no byte can have left, and that its
// end is recorded.
func TestOnce(t *testing.T) {
	notRun := requester.Refuse(requester.CodeTargetLost, "refused connection", 0)
	unknown := requester.RefuseTargetLost("lost")
	tests := map[string]struct {
		steps    []func(*requester.Request, requester.Sink) error
		gone     bool
		sent     int
		state    wire.ClaimState
		released int
		outcome  requester.Outcome
	}{
		"answered":           {steps: steps(answers("ok")), sent: 1, state: wire.ClaimState_CLAIM_STATE_DONE},
		"caller gone":        {steps: steps(answers("ok")), gone: true, sent: 1, state: wire.ClaimState_CLAIM_STATE_DONE},
		"refused connection": {steps: steps(refuses(notRun), answers("ok")), sent: 2, state: wire.ClaimState_CLAIM_STATE_DONE},
		"lost": {
			steps: steps(refuses(unknown)), sent: 1, state: wire.ClaimState_CLAIM_STATE_UNKNOWN,
			outcome: requester.OutcomeUnknown,
		},
		"refused, then lost": {
			steps: steps(refuses(notRun), refuses(unknown)), sent: 2, state: wire.ClaimState_CLAIM_STATE_UNKNOWN,
			outcome: requester.OutcomeUnknown,
		},
		"refused by all": {
			steps: steps(refuses(notRun), refuses(notRun)), sent: 2, released: 1, outcome: requester.OutcomeNotRun,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			at := &attempts{steps: test.steps}
			ca := &caller{gone: test.gone}
			_, err := at.dispatcher().Dispatch(t.Context(), requester.New(requester.Fields{
				Kind: requester.KindService, Service: "orders", Fingerprint: "f",
			}), ca.sink())
			if rf := requester.AsRefusal(err); (rf == nil) != (test.outcome == "") || rf != nil && rf.Outcome() != test.outcome {
				t.Errorf("error %v", err)
			}
			if len(at.sent) != test.sent || at.released != test.released {
				t.Errorf("sent to %v, released %d", at.sent, at.released)
			}
			if test.state != 0 && (len(at.finished) != 1 || at.finished[0] != test.state) {
				t.Errorf("recorded %v", at.finished)
			}
			if test.state == wire.ClaimState_CLAIM_STATE_DONE && string(at.answer.GetBody()) != "ok" {
				t.Errorf("recorded answer %v", at.answer)
			}
		})
	}
}

func steps(list ...func(*requester.Request, requester.Sink) error) []func(*requester.Request, requester.Sink) error {
	return list
}

// TestAllRefuse has the only targets refuse for a passing reason: they are asked again within the deadline.
func TestAllRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy := requester.Refuse(requester.CodeNoTarget, "making room", 0)
		at := &attempts{steps: steps(refuses(busy), refuses(busy), answers("{}"))}
		di := at.dispatcher()
		di.options.Choose = func(_ *requester.Request, exclude []string) (*wire.Target, error) {
			if len(exclude) == 2 {
				return nil, requester.Refuse(requester.CodeNoTarget, "none", time.Second)
			}
			return &wire.Target{Id: fmt.Sprint("t", len(exclude))}, nil
		}
		ca := &caller{}
		_, err := di.Dispatch(t.Context(), requester.New(requester.Fields{
			Kind: requester.KindChat, Adapter: "a", Version: "1", Repeatable: true, Deadline: time.Now().Add(time.Second),
		}), ca.sink())
		if err != nil || ca.body.String() != "{}" || len(at.sent) != 3 {
			t.Errorf("error %v, sent to %v", err, at.sent)
		}
	})
}

// TestHandOver has both targets without a holder for a second, as while leases are handed over.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		di := (&attempts{}).dispatcher()
		di.options.Choose = func(_ *requester.Request, exclude []string) (*wire.Target, error) {
			if len(exclude) == 2 {
				return nil, requester.Refuse(requester.CodeNoTarget, "none", time.Second)
			}
			return &wire.Target{Id: fmt.Sprint("t", len(exclude))}, nil
		}
		di.options.Execute = func(_ context.Context, _ *wire.Target, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
			if time.Since(started) < time.Second {
				return requester.Usage{}, requester.Refuse(requester.CodeWrongHolder, "handed over", 0)
			}
			return requester.Usage{}, answers("{}")(rq, sink)
		}
		ca := &caller{}
		_, err := di.Dispatch(t.Context(), requester.New(requester.Fields{
			Kind: requester.KindChat, Adapter: "a", Version: "1", Repeatable: true, Deadline: time.Now().Add(10 * time.Second),
		}), ca.sink())
		if err != nil || ca.body.String() != "{}" {
			t.Errorf("error %v, answer %q", err, ca.body.String())
		}
	})
}

func TestGivingUp(t *testing.T) {
	loadFailed := requester.Refuse(requester.CodeLoadFailed, "failed", 0)
	lost := requester.RefuseUnknown(requester.CodeTargetLost, "lost", 0)
	tests := map[string]struct {
		steps    []func(*requester.Request, requester.Sink) error
		deadline time.Duration
		budget   float64
		sent     int
		outcome  requester.Outcome
	}{
		"a refusal after a lost attempt is not called not-run": {
			steps: steps(refuses(lost), refuses(loadFailed), refuses(loadFailed), refuses(loadFailed), refuses(loadFailed)),
			sent:  5, outcome: requester.OutcomeUnknown,
		},
		"refusals alone are not-run": {
			steps: steps(refuses(loadFailed), refuses(loadFailed), refuses(loadFailed), refuses(loadFailed), refuses(loadFailed)),
			sent:  5, outcome: requester.OutcomeNotRun,
		},
		"a spent retry budget ends it":      {steps: steps(refuses(lost)), budget: 0.5, sent: 1, outcome: requester.OutcomeUnknown},
		"a passed deadline ends it":         {steps: steps(refuses(lost)), deadline: -time.Second, sent: 1, outcome: requester.OutcomeUnknown},
		"a bad request is not sent again":   {steps: steps(refuses(requester.RefuseUnknown(requester.CodeBadRequest, "", 0))), sent: 1, outcome: requester.OutcomeUnknown},
		"part of a whole answer is dropped": {steps: steps(cutWhole, answers("{}")), sent: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			at := &attempts{steps: test.steps}
			di := at.dispatcher()
			if test.budget > 0 {
				di.budget.tokens = test.budget
			}
			if test.deadline == 0 {
				test.deadline = time.Hour
			}
			ca := &caller{}
			_, err := di.Dispatch(t.Context(), requester.New(requester.Fields{
				Kind: requester.KindChat, Adapter: "a", Version: "1", Repeatable: true, Deadline: time.Now().Add(test.deadline),
			}), ca.sink())
			rf := requester.AsRefusal(err)
			if len(at.sent) != test.sent || (rf == nil) != (test.outcome == "") || rf != nil && rf.Outcome() != test.outcome {
				t.Errorf("sent to %v, error %v", at.sent, err)
			}
			if rf != nil && rf.Code() != requester.CodeBadRequest && rf.RetryAfter() == 0 {
				t.Error("no time to come back")
			}
			if rf == nil && ca.body.String() != "{}" {
				t.Errorf("got %q", ca.body.String())
			}
		})
	}
}

func cutWhole(_ *requester.Request, sink requester.Sink) error {
	_ = sink.Head(http.StatusOK, http.Header{})
	_ = sink.Data([]byte(`{"cut`))
	return requester.RefuseUnknown(requester.CodeTargetLost, "lost", 0)
}
