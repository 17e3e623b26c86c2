package balancer_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"lovagebank/balancer"
)

// documentPrompts simulates instances that send long prompts to engines that all hold the adapter. A prompt consists of a
// template that all prompts share, one of a few documents, and a part of its own.
type documentPrompts struct {
	random    *rand.Rand
	load      func(*rand.Rand) int
	instances []*balancer.Balancer
}

const documentEngines = 6

func newDocumentPrompts(load func(*rand.Rand) int) *documentPrompts {
	const instances = 8
	dp := &documentPrompts{random: rand.New(rand.NewPCG(5, 6)), load: load}
	for range instances {
		dp.instances = append(dp.instances, newInstance(documentEngines, dp.random.Float64))
	}
	return dp
}

// prefills sends requests about random documents from random instances. It returns the number of different pairs of a
// document and the engine that was chosen for it, that is, the number of full prefills of a document.
func (dp *documentPrompts) prefills(t *testing.T, documents, requests int) int {
	t.Helper()
	seen := make(map[string]bool)
	for request := range requests {
		document := "doc" + strconv.Itoa(dp.random.IntN(documents))
		ne := requestFor(7)
		ne.PromptTokens = 8000
		ne.Parts = []balancer.PromptPart{
			{ID: "template", Tokens: 2500}, {ID: document, Tokens: 3700}, {ID: strconv.Itoa(request), Tokens: 1800},
		}
		ba := dp.instances[dp.random.IntN(len(dp.instances))]
		for number := range documentEngines {
			update(ba, number, dp.load(dp.random), 7)
		}
		ch, ok := ba.Choose(ne)
		if !ok {
			t.Fatal("no engine was chosen")
		}
		seen[document+" at "+ch.Target().ID()] = true
	}
	return len(seen)
}

// Guards against repeated prefills of the same document, as in ipva-hq quiet-1 and, under load, in ipva-hq-grown trouble-1.
// Long prompts with the same document go from all instances to the same engine, which caches it, unless that engine is busy.
func TestLongPromptsThatShareParts(t *testing.T) {
	const documents, requests = 9, 400
	tests := map[string]struct {
		load        func(*rand.Rand) int
		maxPrefills int
	}{
		"idle engines":              {load: func(*rand.Rand) int { return 0 }, maxPrefills: documents},
		"engines up to half loaded": {load: func(random *rand.Rand) int { return random.IntN(slots/2 + 1) }, maxPrefills: documents},
		"fully loaded engines":      {load: func(*rand.Rand) int { return slots }, maxPrefills: documents * documentEngines},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if prefills := newDocumentPrompts(tt.load).prefills(t, documents, requests); prefills > tt.maxPrefills {
				t.Errorf("%d documents were prefilled %d times, more than %d", documents, prefills, tt.maxPrefills)
			}
		})
	}
}
