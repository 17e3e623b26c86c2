package leaser

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// takeoverResult is the result of a takeover as seen by the instance that made it.
type takeoverResult int

const (
	// takeoverUnknown covers takeovers that lost and those whose answer was lost.
	takeoverUnknown takeoverResult = iota
	takeoverWon
)

// takeoverModel models a record whose state is the fencing number: a takeover to f succeeds only on f-1.
var takeoverModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		current, proposed := state.(uint64), input.(uint64)
		wins := current+1 == proposed
		switch {
		case output.(takeoverResult) == takeoverWon && wins:
			return []any{proposed}
		case output.(takeoverResult) == takeoverWon:
			return nil
		case wins:
			return []any{current, proposed}
		default:
			return []any{current}
		}
	},
}

// history collects the takeovers of a simulation.
type history struct {
	clock      int64
	operations []porcupine.Operation
	byNonce    map[string]int
	byFencing  map[string]map[uint64]int
}

func newHistory() *history {
	return &history{byNonce: make(map[string]int), byFencing: make(map[string]map[uint64]int)}
}

// sent records a takeover when it is first sent.
func (hs *history) sent(instance string, wr write) {
	hs.clock++
	nonce := wr.record.GetNonce()
	if _, known := hs.byNonce[nonce]; known || wr.kind != takeOver {
		return
	}
	hs.byNonce[nonce] = len(hs.operations)
	if hs.byFencing[instance] == nil {
		hs.byFencing[instance] = make(map[uint64]int)
	}
	hs.byFencing[instance][wr.record.GetFencing()] = len(hs.operations)
	hs.operations = append(hs.operations, porcupine.Operation{
		Input: wr.record.GetFencing(), Call: hs.clock, Output: takeoverUnknown, Return: math.MaxInt64,
	})
}

// gained records that an instance acts as the holder.
func (hs *history) gained(instance string, ev Event) {
	hs.clock++
	if ev.kind != Created && ev.kind != TakenOver && ev.kind != HandedOver {
		return
	}
	op := &hs.operations[hs.byFencing[instance][ev.fencing]]
	op.Output, op.Return = takeoverWon, hs.clock
}

func TestTakeoversAreLinearizable(t *testing.T) {
	const (
		runs  = 150
		steps = 40
	)
	won := 0
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, seed))
		sm := newSimulation(3)
		for range steps {
			losses, delays := []float64{0, 0, 0.2, 0.5}, []float64{0, 0, 0.5, 0.98}
			nf := networkFaults{losses[random.IntN(len(losses))], delays[random.IntN(len(delays))]}
			sm.runFor(t, nil, random, time.Duration(1+random.IntN(20))*time.Second, nf)
			name := sm.names()[random.IntN(len(sm.nodes))]
			switch random.IntN(6) {
			case 0:
				sm.nodes[name].cut = !sm.nodes[name].cut
			case 1:
				sm.nodes[name].inbox = append(sm.nodes[name].inbox, sm.nodes[name].machine.handOver)
			case 2:
				sm.crash(name)
				sm.start()
			case 3:
				sm.store.unreachable = !sm.store.unreachable
			}
		}
		if !porcupine.CheckOperations(takeoverModel.ToModel(), sm.history.operations) {
			t.Fatalf("seed %d: not linearizable: %+v", seed, sm.history.operations)
		}
		for _, op := range sm.history.operations {
			won += int(op.Output.(takeoverResult))
		}
	}
	if won < 2*runs {
		t.Errorf("only %d takeovers in %d runs", won, runs)
	}
}
