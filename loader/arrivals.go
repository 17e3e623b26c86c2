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

// sharedPromptTokens is the length, in tokens, of the prompt prefix that all requests for an adapter share.
const sharedPromptTokens = 48

// bytesPerToken is the length of a prompt token in bytes.
const bytesPerToken = 4

// Arrival is one scheduled request of a run.
type Arrival struct {
	// Number is the index of the arrival in its run, from 0 and in order of time.
	Number       int
	At           time.Duration
	Organisation *Organisation
	Kind         *Kind
	// Adapter is empty for a plain service.
	Adapter string
	// ID is unique in the run. The prompt ends with it, and orders use it as their idempotency key.
	ID     string
	Prompt string
	// SentTwice reports whether the caller sends the request twice at the same time.
	SentTwice bool
	// WithinRate reports whether the rate and burst of the organisation's plan cover the request.
	WithinRate bool
}

// Deadline returns the time from the arrival after which an answer is late. The deadline of the organisation, if set,
// takes precedence over the deadline of the kind.
func (ar *Arrival) Deadline() time.Duration {
	if ar.Organisation.Deadline > 0 {
		return ar.Organisation.Deadline
	}
	return ar.Kind.Deadline
}

// Cost returns the number of tokens charged for the arrival: prompt tokens plus the maximum of generated tokens.
// Requests to plain services cost nothing.
func (ar *Arrival) Cost() float64 {
	if ar.Adapter == "" {
		return 0
	}
	return float64(faker.CountTokens(ar.Prompt) + ar.Kind.MaxTokens)
}

// Arrivals generates the arrivals of a run, in order of time. The same scenario always gives the same arrivals, and the
// bursts and shifts of one organisation do not change the arrivals of another.
func (sc *Scenario) Arrivals() []*Arrival {
	all := make([]*Arrival, 0, int(sc.Rate*sc.Duration.Seconds()))
	shares := 0.0
	for _, og := range sc.Organisations {
		shares += og.Share
	}
	for index, og := range sc.Organisations {
		generator := newArrivalGenerator(sc, og, uint64(index))
		all = append(all, generator.generate(sc.Rate*og.Share/shares)...)
	}
	slices.SortStableFunc(all, func(a, b *Arrival) int { return cmp.Compare(a.At, b.At) })
	for number, ar := range all {
		ar.Number = number
	}
	return all
}

// arrivalGenerator generates the arrivals of one organisation.
type arrivalGenerator struct {
	sc     *Scenario
	og     *Organisation
	random *rand.Rand
	zipf   *rand.Zipf
	// tokens is the level of the plan's token bucket at refilledAt.
	tokens     float64
	refilledAt time.Duration
}

func newArrivalGenerator(sc *Scenario, og *Organisation, index uint64) *arrivalGenerator {
	random := rand.New(rand.NewPCG(sc.Seed, index))
	return &arrivalGenerator{
		sc: sc, og: og, random: random, tokens: og.Burst,
		zipf: rand.NewZipf(random, og.Skew, 1, uint64(og.Count-1)),
	}
}

// generate draws a Poisson process at the organisation's peak rate and thins it out to the rate that applies at each
// time. The rate is in arrivals per second and excludes bursts.
func (ag *arrivalGenerator) generate(rate float64) []*Arrival {
	peak := 1.0
	for _, burst := range ag.sc.Bursts {
		if burst.Organisation == ag.og.Name {
			peak = max(peak, burst.Factor)
		}
	}
	var arrivals []*Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(ag.random.ExpFloat64() / (rate * peak) * float64(time.Second))
		if at >= ag.sc.Duration {
			return arrivals
		}
		if ag.random.Float64()*peak < ag.burstFactor(at) {
			arrivals = append(arrivals, ag.newArrival(at, len(arrivals)))
		}
	}
}

// burstFactor returns the factor by which bursts multiply the rate at a time; 1 outside bursts.
func (ag *arrivalGenerator) burstFactor(at time.Duration) float64 {
	for _, burst := range ag.sc.Bursts {
		if burst.Organisation == ag.og.Name && at >= burst.At && at < burst.At+burst.For {
			return burst.Factor
		}
	}
	return 1
}

func (ag *arrivalGenerator) newArrival(at time.Duration, count int) *Arrival {
	ar := &Arrival{At: at, Organisation: ag.og, Kind: ag.drawKind()}
	ar.ID = fmt.Sprintf("%s-%d-%d", ag.og.Name, ag.sc.Seed, count)
	ar.SentTwice = ag.random.Float64() < ar.Kind.Duplicates
	if ar.Kind.Service == "" {
		ar.Adapter = fmt.Sprintf(ag.og.Adapters, ag.drawRank(at)+1)
		ar.Prompt = newPrompt(ar)
	}
	ar.WithinRate = ag.charge(ar)
	return ar
}

func (ag *arrivalGenerator) drawKind() *Kind {
	total := 0.0
	for _, name := range kindNames {
		total += ag.og.kindShare(name)
	}
	draw := ag.random.Float64() * total
	for _, name := range kindNames {
		if draw -= ag.og.kindShare(name); draw < 0 {
			return ag.sc.Kinds[name]
		}
	}
	return ag.sc.Kinds[KindChat]
}

// drawRank draws the popularity rank of an adapter, from 0, and adds the offsets of the shifts so far.
func (ag *arrivalGenerator) drawRank(at time.Duration) int {
	rank := int(ag.zipf.Uint64())
	for _, shift := range ag.sc.Shifts {
		if shift.Organisation == ag.og.Name && at >= shift.At {
			rank += shift.By
		}
	}
	return rank % ag.og.Count
}

// charge takes the cost of an arrival from a token bucket with the plan's rate and burst. It reports false, and takes
// nothing, if the bucket holds too few tokens.
func (ag *arrivalGenerator) charge(ar *Arrival) bool {
	ag.tokens = min(ag.og.Burst, ag.tokens+ag.og.Rate*(ar.At-ag.refilledAt).Seconds())
	ag.refilledAt = ar.At
	if ag.tokens < ar.Cost() {
		return false
	}
	ag.tokens -= ar.Cost()
	return true
}

// newPrompt returns a prompt of about the size given by the kind. Its prefix is the same for all requests for an
// adapter, and it ends with the ID of the arrival.
func newPrompt(ar *Arrival) string {
	var text strings.Builder
	for text.Len() < sharedPromptTokens*bytesPerToken && text.Len() < ar.Kind.PromptTokens*bytesPerToken {
		text.WriteString(ar.Adapter + " ")
	}
	for text.Len()+len(ar.ID) < ar.Kind.PromptTokens*bytesPerToken {
		text.WriteString("and ")
	}
	text.WriteString(ar.ID)
	return text.String()
}
