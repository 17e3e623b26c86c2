package teller_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"lovagebank/teller"
	"lovagebank/wire"
)

// instance is one side of a pair, with what it holds and has admitted.
type instance struct {
	name     string
	starts   int
	teller   *teller.Teller
	admitted map[string]int64
	adapters map[string]map[string]int32
	// heard is what it knows of the other.
	heard *wire.FleetState
}

func (in *instance) start() string { return fmt.Sprint(in.name, " ", in.starts) }

func (in *instance) restart() {
	in.starts++
	in.teller = teller.New(in.start())
	in.admitted, in.heard = make(map[string]int64), nil
	in.adapters = map[string]map[string]int32{"t1": {"a1": 10}}
}

// work changes what there is to tell.
func (in *instance) work(rd *rand.Rand) {
	in.admitted[fmt.Sprint("org", rd.IntN(16))] += rd.Int64N(1000)
	target := fmt.Sprint("t", rd.IntN(3))
	switch held, ok := in.adapters[target]; {
	case !ok:
		in.adapters[target] = make(map[string]int32)
	case rd.IntN(40) == 0:
		delete(in.adapters, target)
	case rd.IntN(3) == 0 && len(held) > 0:
		delete(held, slices.Sorted(maps.Keys(held))[0])
	default:
		held[fmt.Sprint("a", rd.IntN(12))] = rd.Int32N(100)
	}
}

func (in *instance) state() *wire.FleetState {
	fs := &wire.FleetState{Instance: in.name, Start: in.start()}
	for _, name := range slices.Sorted(maps.Keys(in.admitted)) {
		fs.Tallies = append(fs.Tallies, &wire.OrganisationTally{Organisation: name, Admitted: in.admitted[name]})
	}
	for _, target := range slices.Sorted(maps.Keys(in.adapters)) {
		model := &wire.HeldModel{Name: "m", Version: 1}
		for _, name := range slices.Sorted(maps.Keys(in.adapters[target])) {
			model.Adapters = append(model.Adapters, &wire.HeldAdapter{Name: name, Version: 1, RequestsTenths: in.adapters[target][name]})
		}
		fs.Held = append(fs.Held, &wire.HeldTarget{Target: target, Active: true, Models: []*wire.HeldModel{model}})
	}
	return fs
}

// carry takes a telling over the wire.
func carry(t *testing.T, fs *wire.FleetState) *wire.FleetState {
	t.Helper()
	text, err := proto.Marshal(fs)
	if err != nil {
		t.Fatal(err)
	}
	other := &wire.FleetState{}
	if err := proto.Unmarshal(text, other); err != nil {
		t.Fatal(err)
	}
	return other
}

// expect compares what an instance knows of the other with what is.
func (in *instance) expect(t *testing.T, other *instance) {
	t.Helper()
	admitted := make(map[string]int64)
	for _, ta := range in.heard.GetTallies() {
		admitted[ta.GetOrganisation()] = ta.GetAdmitted()
	}
	if !maps.Equal(admitted, other.admitted) {
		t.Fatalf("%s knows %v of %s, want %v", in.name, admitted, other.name, other.admitted)
	}
	if len(in.heard.GetHeld()) != len(other.adapters) {
		t.Fatalf("%s knows of %d targets of %s, want %d", in.name, len(in.heard.GetHeld()), other.name, len(other.adapters))
	}
	for _, ht := range in.heard.GetHeld() {
		held := make(map[string]int32)
		for _, ad := range ht.GetModels()[0].GetAdapters() {
			held[ad.GetName()] = ad.GetRequestsTenths()
		}
		want := other.adapters[ht.GetTarget()]
		if !slices.Equal(slices.Sorted(maps.Keys(held)), slices.Sorted(maps.Keys(want))) {
			t.Fatalf("%s knows %v on %s, want %v", in.name, held, ht.GetTarget(), want)
		}
		for name, told := range held {
			if off := math.Abs(float64(told - want[name])); off > 0.25*math.Max(float64(told), 1) {
				t.Fatalf("%s knows a demand of %d for %s, want %d", in.name, told, name, want[name])
			}
		}
	}
}

// TestTellingsAreWhole has two instances tell each other while calls and answers are lost or come late, and processes start
// again: whoever hears a telling in order knows all that there is to know.
func TestTellingsAreWhole(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rd := rand.New(rand.NewPCG(seed, 1))
			one, two := &instance{name: "one"}, &instance{name: "two"}
			one.restart()
			two.restart()
			var late []*wire.FleetState
			for range 400 {
				one.work(rd)
				two.work(rd)
				if rd.IntN(60) == 0 {
					two.restart()
				}
				call := carry(t, one.teller.Encode("two", one.state()))
				switch rd.IntN(10) {
				case 0:
					// The call is lost.
					continue
				case 1:
					late = append(late, call)
					continue
				}
				two.heard = two.teller.Decode(call)
				whole := call.GetBase() == 0 || two.heard != call
				if whole {
					two.expect(t, one)
				}
				answer := carry(t, two.teller.Encode("one", two.state()))
				if rd.IntN(10) == 0 {
					// The answer is lost.
					continue
				}
				one.heard = one.teller.Decode(answer)
				if answer.GetBase() == 0 || one.heard != answer {
					one.expect(t, two)
				}
				if len(late) > 0 && rd.IntN(3) == 0 {
					// A call that was overtaken arrives: it changes nothing that is known.
					two.heard = two.teller.Decode(late[0])
					late = late[1:]
					if whole {
						two.expect(t, one)
					}
				}
			}
		})
	}
}

// TestTellingsAreShort tells of the load that salas-lima-grown shows: 16 organisations, a target with 12 adapters, a few
// requests between two tellings. A telling in which little has changed is a third of the whole state at most.
func TestTellingsAreShort(t *testing.T) {
	one, two := &instance{name: "10.1.0.1"}, &instance{name: "10.2.0.1"}
	one.restart()
	two.restart()
	for number := range 16 {
		one.admitted[fmt.Sprint("org", number)] = 1_000_000
	}
	for number := range 12 {
		one.adapters["t1"][fmt.Sprint("a", number)] = 20
	}
	whole, short := 0, 0
	for number := range 20 {
		one.admitted[fmt.Sprint("org", number%3)] += 1460
		one.adapters["t1"][fmt.Sprint("a", number%2)] += 10
		state := one.state()
		whole += proto.Size(state)
		call := carry(t, one.teller.Encode(two.name, state))
		short += proto.Size(call)
		two.teller.Decode(call)
		one.teller.Decode(carry(t, two.teller.Encode(one.name, two.state())))
	}
	if short > whole/3 {
		t.Errorf("%d bytes were told of %d", short, whole)
	}
}

// TestPeersThatConfirmNothing hears of a peer that numbers nothing, as an earlier version of the program does: it is told
// all each time, and what it tells counts as it is.
func TestPeersThatConfirmNothing(t *testing.T) {
	one := &instance{name: "one"}
	one.restart()
	for range 3 {
		if short := one.teller.Encode("old", one.state()); short.GetBase() != 0 || len(short.GetHeld()) != 1 {
			t.Errorf("told %v", short)
		}
		told := &wire.FleetState{Instance: "old", Start: "s", Tallies: []*wire.OrganisationTally{{Organisation: "org"}}}
		if whole := one.teller.Decode(told); len(whole.GetTallies()) != 1 {
			t.Errorf("heard %v", whole)
		}
	}
}
