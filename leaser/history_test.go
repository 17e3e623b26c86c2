package leaser

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// takeoverResult is how a takeover looked to the instance that made it.
type takeoverResult int

const (
	// takeoverUnknown covers those that lost and those whose answer was lost.
	takeoverUnknown takeoverResult = iota
	takeoverWon
)

// takeoverModel is a record whose state is the fencing number: a takeover to f wins only on f-1.
var takeoverModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		current, wanted := state.(uint64), input.(uint64)
		wins := current+1 == wanted
		switch {
		case output.(takeoverResult) == takeoverWon && wins:
			return []any{wanted}
		case output.(takeoverResult) == takeoverWon:
			return nil
		case wins:
			return []any{current, wanted}
		default:
			return []any{current}
		}
	},
}

// history collects the takeovers of a world.
type history struct {
	ticks      int64
	operations []porcupine.Operation
	byNonce    map[string]int
	byGain     map[string]map[uint64]int
}

func newHistory() *history {
	return &history{byNonce: make(map[string]int), byGain: make(map[string]map[uint64]int)}
}

// sent notes a takeover when it is sent first.
func (hs *history) sent(instance string, wr write) {
	hs.ticks++
	nonce := wr.record.GetNonce()
	if _, known := hs.byNonce[nonce]; known || wr.kind != takeOver {
		return
	}
	hs.byNonce[nonce] = len(hs.operations)
	if hs.byGain[instance] == nil {
		hs.byGain[instance] = make(map[uint64]int)
	}
	hs.byGain[instance][wr.record.GetFencing()] = len(hs.operations)
	hs.operations = append(hs.operations, porcupine.Operation{
		Input: wr.record.GetFencing(), Call: hs.ticks, Output: takeoverUnknown, Return: math.MaxInt64,
	})
}

// gained notes that an instance acts as the holder.
func (hs *history) gained(instance string, ev Event) {
	hs.ticks++
	if ev.kind != Created && ev.kind != TakenOver && ev.kind != HandedOver {
		return
	}
	op := &hs.operations[hs.byGain[instance][ev.fencing]]
	op.Output, op.Return = takeoverWon, hs.ticks
}

func TestTakeoversAreLinearizable(t *testing.T) {
	const (
		runs  = 150
		steps = 40
	)
	won := 0
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, seed))
		wd := newWorld(3)
		for range steps {
			losses, delays := []float64{0, 0, 0.2, 0.5}, []float64{0, 0, 0.5, 0.98}
			wr := weather{losses[random.IntN(len(losses))], delays[random.IntN(len(delays))]}
			wd.pass(t, nil, random, time.Duration(1+random.IntN(20))*time.Second, wr)
			name := wd.names()[random.IntN(len(wd.nodes))]
			switch random.IntN(6) {
			case 0:
				wd.nodes[name].cut = !wd.nodes[name].cut
			case 1:
				wd.nodes[name].inbox = append(wd.nodes[name].inbox, wd.nodes[name].machine.handOver)
			case 2:
				wd.crash(name)
				wd.start()
			case 3:
				wd.store.away = !wd.store.away
			}
		}
		if !porcupine.CheckOperations(takeoverModel.ToModel(), wd.history.operations) {
			t.Fatalf("seed %d: not linearizable: %+v", seed, wd.history.operations)
		}
		for _, op := range wd.history.operations {
			won += int(op.Output.(takeoverResult))
		}
	}
	if won < 2*runs {
		t.Errorf("only %d takeovers in %d runs", won, runs)
	}
}
