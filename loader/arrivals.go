package loader

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"lovagebank/faker"
)

// sharedPrompt is the part of a prompt, in tokens, that the requests for an adapter share.
const sharedPrompt = 48

// bytesPerToken is the length of a token of a prompt.
const bytesPerToken = 4

// Arrival is one request to come.
type Arrival struct {
	// Number counts the arrivals of a run from 0, in order of time.
	Number       int
	At           time.Duration
	Organisation *Organisation
	Kind         *Kind
	// Adapter is empty for a plain service.
	Adapter string
	// ID is unique in the run; it is part of a prompt and an order's idempotency key.
	ID     string
	Prompt string
	// SentTwice tells that the caller sends it twice at once.
	SentTwice bool
	// WithinRate tells whether the organisation's plan pays for it.
	WithinRate bool
}

// Deadline returns when an answer is late, from the arrival on.
func (ar *Arrival) Deadline() time.Duration {
	if ar.Organisation.Deadline > 0 {
		return ar.Organisation.Deadline
	}
	return ar.Kind.Deadline
}

// Cost returns the tokens that the arrival is charged.
func (ar *Arrival) Cost() float64 {
	if ar.Adapter == "" {
		return 0
	}
	return float64(faker.CountTokens(ar.Prompt) + ar.Kind.MaxTokens)
}

// Arrivals makes a run's arrivals. The same scenario gives the same arrivals, and what happens to one organisation in
// it does not move another's.
func (sc *Scenario) Arrivals() []*Arrival {
	all := make([]*Arrival, 0, int(sc.Rate*sc.Duration.Seconds()))
	shares := 0.0
	for _, og := range sc.Organisations {
		shares += og.Share
	}
	for index, og := range sc.Organisations {
		maker := newArrivalMaker(sc, og, uint64(index))
		all = append(all, maker.make(sc.Rate*og.Share/shares)...)
	}
	slices.SortStableFunc(all, func(a, b *Arrival) int { return cmp.Compare(a.At, b.At) })
	for number, ar := range all {
		ar.Number = number
	}
	return all
}

// arrivalMaker makes the arrivals of one organisation.
type arrivalMaker struct {
	sc     *Scenario
	og     *Organisation
	random *rand.Rand
	zipf   *rand.Zipf
	tokens float64
	filled time.Duration
}

func newArrivalMaker(sc *Scenario, og *Organisation, index uint64) *arrivalMaker {
	random := rand.New(rand.NewPCG(sc.Seed, index))
	return &arrivalMaker{
		sc: sc, og: og, random: random, tokens: og.Burst,
		zipf: rand.NewZipf(random, og.Skew, 1, uint64(og.Count-1)),
	}
}

// make draws a Poisson process at the highest rate and drops the arrivals that the rate of their moment lacks.
func (am *arrivalMaker) make(rate float64) []*Arrival {
	highest := 1.0
	for _, burst := range am.sc.Bursts {
		if burst.Organisation == am.og.Name {
			highest = max(highest, burst.Factor)
		}
	}
	var made []*Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(am.random.ExpFloat64() / (rate * highest) * float64(time.Second))
		if at >= am.sc.Duration {
			return made
		}
		if am.random.Float64()*highest < am.factor(at) {
			made = append(made, am.arrival(at, len(made)))
		}
	}
}

// factor returns what a burst multiplies the rate with at a time.
func (am *arrivalMaker) factor(at time.Duration) float64 {
	for _, burst := range am.sc.Bursts {
		if burst.Organisation == am.og.Name && at >= burst.At && at < burst.At+burst.For {
			return burst.Factor
		}
	}
	return 1
}

func (am *arrivalMaker) arrival(at time.Duration, count int) *Arrival {
	ar := &Arrival{At: at, Organisation: am.og, Kind: am.kind()}
	ar.ID = fmt.Sprintf("%s-%d-%d", am.og.Name, am.sc.Seed, count)
	ar.SentTwice = am.random.Float64() < ar.Kind.Duplicates
	if ar.Kind.Service == "" {
		ar.Adapter = fmt.Sprintf(am.og.Adapters, am.rank(at)+1)
		ar.Prompt = prompt(ar)
	}
	ar.WithinRate = am.pays(ar)
	return ar
}

func (am *arrivalMaker) kind() *Kind {
	total := 0.0
	for _, name := range kindNames {
		total += am.og.share(name)
	}
	draw := am.random.Float64() * total
	for _, name := range kindNames {
		if draw -= am.og.share(name); draw < 0 {
			return am.sc.Kinds[name]
		}
	}
	return am.sc.Kinds[KindChat]
}

// rank draws an adapter, moved along by the shifts so far.
func (am *arrivalMaker) rank(at time.Duration) int {
	rank := int(am.zipf.Uint64())
	for _, shift := range am.sc.Shifts {
		if shift.Organisation == am.og.Name && at >= shift.At {
			rank += shift.By
		}
	}
	return rank % am.og.Count
}

// pays charges an arrival to a bucket of the plan's rate and burst.
func (am *arrivalMaker) pays(ar *Arrival) bool {
	am.tokens = min(am.og.Burst, am.tokens+am.og.Rate*(ar.At-am.filled).Seconds())
	am.filled = ar.At
	if am.tokens < ar.Cost() {
		return false
	}
	am.tokens -= ar.Cost()
	return true
}

// prompt returns a prompt of about the kind's size, which ends in the arrival's ID. Requests for an adapter share its
// first part.
func prompt(ar *Arrival) string {
	var text strings.Builder
	for text.Len() < sharedPrompt*bytesPerToken && text.Len() < ar.Kind.PromptTokens*bytesPerToken {
		text.WriteString(ar.Adapter + " ")
	}
	for text.Len()+len(ar.ID) < ar.Kind.PromptTokens*bytesPerToken {
		text.WriteString("and ")
	}
	text.WriteString(ar.ID)
	return text.String()
}
