package acceptor_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"lovagebank/balancer"
	"lovagebank/sequencer"
)

// threaten has the world's instance know that prompts make streams pause for too long.
func (wo *world) threaten() {
	for tokens := 100; tokens < 5000; tokens += 10 {
		wo.profiler.RecordFirstAnswer("engines", tokens, time.Duration(tokens)*20*time.Microsecond)
		wo.profiler.RecordStream("engines", gap+gap/10, gap)
	}
}

func withPrompt(r *http.Request) { r.Header.Set("Token-Counts", "1000,10") }

// A prompt goes to its target when it has its turn, and at once where the holder gives none.
func TestPromptsTakeTurns(t *testing.T) {
	tests := map[string]struct {
		answers []sequencer.Turn
		err     error
		path    string
		asked   int64
	}{
		"its turn is now":       {[]sequencer.Turn{{Granted: true}}, nil, "/stream/1", 1},
		"its turn is soon":      {[]sequencer.Turn{{Granted: true, Wait: 20 * time.Millisecond}}, nil, "/stream/1", 1},
		"it asks again":         {[]sequencer.Turn{{Wait: 20 * time.Millisecond}, {Granted: true}}, nil, "/stream/1", 2},
		"the holder is silent":  {[]sequencer.Turn{{}}, errors.New("no answer"), "/stream/1", 1},
		"a plain service":       {nil, nil, "/safe/1", 0},
		"a stream that goes on": {[]sequencer.Turn{{Granted: true}}, nil, "/resume/1", 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			wo := newWorld(t)
			wo.threaten()
			wo.target("t1", "plain", ok)
			wo.target("e1", "engines", ok)
			var asked atomic.Int64
			wo.turn = func(rq sequencer.Request) (sequencer.Turn, error) {
				if rq.Pace.Window != gap || rq.Pace.Prefill <= 0 || rq.Pace.Budget <= 0 {
					t.Errorf("asked with %+v", rq.Pace)
				}
				return tt.answers[asked.Add(1)-1], tt.err
			}
			wo.expect(tt.path, withPrompt, http.StatusOK)
			if asked.Load() != tt.asked {
				t.Errorf("asked %d times, want %d", asked.Load(), tt.asked)
			}
		})
	}
}

// The pattern of salas-lima-grown scale-2: a prompt would wait for its turn at one engine while another that holds its adapter
// reads none.
func TestPromptLooksForATurnElsewhere(t *testing.T) {
	tests := map[string]struct {
		engines int
		asked   int64
	}{
		"the only engine":                     {1, 2},
		"another engine has a turn":           {2, 2},
		"a third one, when two have none now": {3, 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			wo := newWorld(t)
			wo.threaten()
			for number := range tt.engines {
				wo.target(fmt.Sprint("e", number), "engines", ok)
			}
			var asked atomic.Int64
			wo.turn = func(rq sequencer.Request) (sequencer.Turn, error) {
				number := asked.Add(1)
				if number == tt.asked {
					return sequencer.Turn{Granted: true}, nil
				}
				if tt.engines > 1 && rq.MaxWait > 100*time.Millisecond {
					t.Errorf("the prompt would wait for %v although others could take it", rq.MaxWait)
				}
				return sequencer.Turn{Wait: 200 * time.Millisecond}, nil
			}
			wo.expect("/stream/1", withPrompt, http.StatusOK)
			if ou := <-wo.outcomes; asked.Load() != tt.asked || ou.Tries() != 1 {
				t.Errorf("asked %d times, want %d; %d sends", asked.Load(), tt.asked, ou.Tries())
			}
		})
	}
}

// A prompt without a turn is sent in the end: its caller would leave.
func TestPromptWithoutTurn(t *testing.T) {
	wo := newWorld(t)
	wo.threaten()
	wo.target("e1", "engines", ok)
	var lasts atomic.Int64
	wo.turn = func(rq sequencer.Request) (sequencer.Turn, error) {
		lasts.Store(int64(rq.MaxWait))
		return sequencer.Turn{Wait: 100 * time.Millisecond}, nil
	}
	wo.expect("/stream/1", withPrompt, http.StatusOK)
	ou := <-wo.outcomes
	if ou.TurnWait() <= 0 || ou.Tries() != 1 {
		t.Errorf("waited %v, %d sends", ou.TurnWait(), ou.Tries())
	}
	if last := time.Duration(lasts.Load()); last > 50*time.Millisecond {
		t.Errorf("a prompt that is late wants turns up to %v away, before others that are not", last)
	}
}

// While a prompt waits for its turn its target may leave, or its caller: then it is not sent there.
func TestWhileWaitingForATurn(t *testing.T) {
	wo := newWorld(t)
	wo.threaten()
	var sent atomic.Int64
	wo.target("e1", "engines", counted(&sent, ok))
	asked := make(chan struct{}, 1)
	wo.turn = func(sequencer.Request) (sequencer.Turn, error) {
		select {
		case asked <- struct{}{}:
		default:
		}
		return sequencer.Turn{Granted: true, Wait: 50 * time.Millisecond}, nil
	}
	t.Run("the target leaves", func(t *testing.T) {
		go func() {
			<-asked
			wo.balancer.MarkLeaving(balancer.Leaver{Target: "e1"})
		}()
		wo.expect("/stream/1", withPrompt, http.StatusServiceUnavailable)
	})
	t.Run("the caller leaves", func(t *testing.T) {
		wo.target("e2", "engines", counted(&sent, ok))
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-asked
			cancel()
		}()
		if _, _, err := wo.ask("/stream/1", func(r *http.Request) {
			withPrompt(r)
			*r = *r.WithContext(ctx)
		}); !errors.Is(err, context.Canceled) {
			t.Errorf("the caller got %v", err)
		}
		<-wo.outcomes
		<-wo.outcomes
	})
	if sent.Load() != 0 {
		t.Errorf("%d requests were sent", sent.Load())
	}
}
