package profiler_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/profiler"
)

const (
	service  = "engines"
	promised = 250 * time.Millisecond
)

// engine is how the test's engines work.
type engine struct {
	// perToken is the time to read a token, step that of a step without prompts, and queue the mean wait behind other prompts.
	perToken time.Duration
	step     time.Duration
	queue    time.Duration
	// lengths are the mean lengths of prompts by kind of request.
	lengths []int
}

// answer draws a prompt and the time until its answer begins.
func (en engine) answer(rd *rand.Rand) (int, time.Duration) {
	mean := en.lengths[rd.IntN(len(en.lengths))]
	tokens := int(float64(mean) * (0.5 + rd.ExpFloat64()/2))
	behind := time.Duration(rd.ExpFloat64() * float64(en.queue))
	return tokens, 2*time.Millisecond + en.step + behind + time.Duration(tokens)*en.perToken
}

// feed has a profiler see answers and late streams.
func feed(pr *profiler.Profiler, en engine, answers int, late bool, rd *rand.Rand) {
	for range answers {
		tokens, took := en.answer(rd)
		pr.RecordFirstAnswer(service, tokens, took)
		for range 20 {
			pr.RecordGap(service, 3*en.step+time.Duration(rd.ExpFloat64()*float64(en.step)))
		}
		longest := promised / 2
		if late {
			longest = promised + promised/10
		}
		pr.RecordStream(service, longest, promised)
	}
}

// TestLearnsReadingTime has answers of the pages' kinds of deployment pass, and others.
func TestLearnsReadingTime(t *testing.T) {
	tests := map[string]engine{
		"short and long questions": {38800 * time.Nanosecond, 8 * time.Millisecond, 80 * time.Millisecond, []int{1460, 646}},
		"questions and digests":    {26200 * time.Nanosecond, 4 * time.Millisecond, 60 * time.Millisecond, []int{646, 646, 646, 9190}},
		"engines that read slowly": {200 * time.Microsecond, 20 * time.Millisecond, 300 * time.Millisecond, []int{1460, 646}},
		"engines that read fast":   {10 * time.Microsecond, 2 * time.Millisecond, 10 * time.Millisecond, []int{1460, 646}},
	}
	for name, en := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pr := profiler.New()
				feed(pr, en, 1000, true, rand.New(rand.NewPCG(1, 2)))
				pa, ok := pr.Pace(service, 1000, promised)
				if !ok {
					t.Fatal("no pace is known")
				}
				want := 1000 * en.perToken
				if off := math.Abs(float64(pa.Prefill-want)) / float64(want); off > 0.3 {
					t.Errorf("1,000 tokens take %v to read, believed %v", want, pa.Prefill)
				}
				if pa.Window != promised || pa.Budget >= promised-3*en.step || pa.Budget < promised/5 {
					t.Errorf("within %v the engine may read for %v", pa.Window, pa.Budget)
				}
			})
		})
	}
}

// TestHoldsNothingOff asks for a pace where prompts have not to be held back.
func TestHoldsNothingOff(t *testing.T) {
	en := engine{40 * time.Microsecond, 8 * time.Millisecond, 80 * time.Millisecond, []int{1460, 646}}
	tests := map[string]struct {
		answers int
		late    bool
		gap     time.Duration
	}{
		"while little is known":        {10, true, promised},
		"where pauses are short":       {1000, false, promised},
		"where no pause is promised":   {1000, true, 0},
		"where nothing has been heard": {0, true, promised},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pr := profiler.New()
				feed(pr, en, tt.answers, tt.late, rand.New(rand.NewPCG(3, 4)))
				if pa, ok := pr.Pace(service, 1000, tt.gap); ok {
					t.Errorf("prompts are held back: %+v", pa)
				}
			})
		})
	}
}

// TestPausesOfTrouble has streams stand still for far longer than prompts can make them: nothing is held back for that.
func TestPausesOfTrouble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pr := profiler.New()
		feed(pr, engine{40 * time.Microsecond, 8 * time.Millisecond, 80 * time.Millisecond, []int{1460}}, 1000, false, rand.New(rand.NewPCG(5, 6)))
		for range 500 {
			pr.RecordStream(service, 5*promised, promised)
		}
		if _, ok := pr.Pace(service, 1000, promised); ok {
			t.Error("prompts are held back")
		}
	})
}

// TestPeersKnowMore has an instance that saw nothing go by what a peer told, until that one is gone.
func TestPeersKnowMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen, fresh := profiler.New(), profiler.New()
		feed(seen, engine{40 * time.Microsecond, 8 * time.Millisecond, 80 * time.Millisecond, []int{1460, 646}}, 1000, true, rand.New(rand.NewPCG(7, 8)))
		for range 3 {
			// A telling replaces the one before.
			for name, su := range seen.LocalSums() {
				fresh.SetPeerSums("peer", name, su)
			}
		}
		want, _ := seen.Pace(service, 1000, promised)
		got, ok := fresh.Pace(service, 1000, promised)
		if !ok || (got.Prefill-want.Prefill).Abs() > time.Microsecond {
			t.Errorf("got %v, %v, want %v", got.Prefill, ok, want.Prefill)
		}
		fresh.Remove("peer")
		if _, ok := fresh.Pace(service, 1000, promised); ok {
			t.Error("what a peer told that has left still counts")
		}
	})
}

// TestForgets has engines read at another pace later.
func TestForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pr, rd := profiler.New(), rand.New(rand.NewPCG(9, 10))
		slow := engine{100 * time.Microsecond, 8 * time.Millisecond, 80 * time.Millisecond, []int{1460, 646}}
		feed(pr, slow, 1000, true, rd)
		time.Sleep(20 * time.Minute)
		fast := slow
		fast.perToken = 30 * time.Microsecond
		feed(pr, fast, 1000, true, rd)
		pa, ok := pr.Pace(service, 1000, promised)
		if !ok || pa.Prefill > 40*time.Millisecond {
			t.Errorf("1,000 tokens take 30ms to read, believed %v, %v", pa.Prefill, ok)
		}
	})
}
