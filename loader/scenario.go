// Package loader generates load on a fleet through the interface for callers. It sends seeded arrivals in an open loop,
// checks every answer and reports what users experience. It can check answers because it knows the tokens that the
// stand-in engines generate.
package loader

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/samber/oops"
	"gopkg.in/ini.v1"

	"lovagebank/faker"
)

// KindName is the name of a kind of request.
type KindName string

// The kinds of request.
const (
	KindChat    KindName = "chat"
	KindSummary KindName = "summary"
	KindStock   KindName = "stock"
	KindOrder   KindName = "order"
)

var kindNames = []KindName{KindChat, KindSummary, KindStock, KindOrder}

// Kind describes one kind of request. A kind with a service goes to that plain service, any other to an adapter.
type Kind struct {
	Name KindName `ini:"-"`
	// PromptTokens and MaxTokens are the size of the prompt and the maximum of generated tokens of a model request.
	PromptTokens int `ini:"prompt-tokens"`
	MaxTokens    int `ini:"max-tokens"`
	Stream       bool
	// Deadline is the time from the arrival after which an answer is late.
	Deadline time.Duration
	// Weight is the weight of a request in Measures.Service and Measures.Served.
	Weight float64
	// Service is the name of the plain service. Organisation.OrderService replaces it for orders.
	Service string
	// Duplicates is the share of requests that are sent twice at the same time, from 0 to 1.
	Duplicates float64
}

// defaultKinds returns the kinds with the values that apply unless a scenario overrides them.
func defaultKinds() map[KindName]*Kind {
	return map[KindName]*Kind{
		KindChat:    {Name: KindChat, PromptTokens: 64, MaxTokens: 24, Stream: true, Deadline: 5 * time.Second, Weight: 2},
		KindSummary: {Name: KindSummary, PromptTokens: 400, MaxTokens: 64, Deadline: 30 * time.Second, Weight: 1},
		KindStock:   {Name: KindStock, Deadline: 2 * time.Second, Weight: 1, Service: "stock"},
		KindOrder:   {Name: KindOrder, Deadline: 10 * time.Second, Weight: 4, Service: "orders", Duplicates: 0.1},
	}
}

// Organisation is a caller and the load that it generates.
type Organisation struct {
	Name string `ini:"-"`
	// Key is the API key of the caller. $NAME is replaced by the value of an environment variable.
	Key string
	// Share is the organisation's share of all arrivals, relative to the shares of the other organisations.
	Share float64
	// Adapters is the format string of adapter names, for a number from 1 to Count. Skew is the Zipf exponent of their
	// popularity; it must be above 1.
	Adapters string
	Count    int
	Skew     float64
	// The relative frequencies of the kinds.
	Chat, Summary, Inventory, Order float64
	// OrderService is the name of the plain service that processes orders.
	OrderService string `ini:"order-service"`
	// Deadline, if set, takes precedence over the deadlines of the kinds.
	Deadline time.Duration
	// Rate and Burst are the rate in tokens per second and the burst in tokens of the organisation's plan. If Rate is
	// 0, no refusal counts as wrongful.
	Rate, Burst float64
}

func (og *Organisation) kindShare(kind KindName) float64 {
	switch kind {
	case KindChat:
		return og.Chat
	case KindSummary:
		return og.Summary
	case KindStock:
		return og.Inventory
	default:
		return og.Order
	}
}

// Burst multiplies the arrival rate of an organisation by Factor, from At on for the duration For.
type Burst struct {
	At, For      time.Duration
	Organisation string
	Factor       float64
}

// Shift moves the popularity ranking of an organisation's adapters by a number of ranks, from At on.
type Shift struct {
	At           time.Duration
	Organisation string
	By           int
}

// FaultEvent applies a fault to a stand-in at a time, and switches it off after For if that is not 0.
type FaultEvent struct {
	At, For time.Duration
	Standin string
	Kind    string
	On      bool
	Number  float64
	Text    string
	Time    time.Duration
}

// fault returns the event in the format of the control interface.
func (fe FaultEvent) fault() faker.Fault {
	return faker.Fault{
		Kind: faker.FaultKind(fe.Kind), On: fe.On, Number: fe.Number, Text: fe.Text, DurationMs: fe.Time.Milliseconds(),
	}
}

// Scenario describes the load and the faults of a run.
type Scenario struct {
	Duration time.Duration
	// Rate is the number of arrivals per second over all organisations, excluding bursts.
	Rate float64
	Seed uint64
	// StallAfter is the time from the arrival after which a missing first token counts as a stall.
	StallAfter    time.Duration      `ini:"stall-after"`
	Kinds         map[KindName]*Kind `ini:"-"`
	Organisations []*Organisation    `ini:"-"`
	Bursts        []Burst            `ini:"-"`
	Shifts        []Shift            `ini:"-"`
	Faults        []FaultEvent       `ini:"-"`
}

// ReadScenario reads a scenario from an INI file with the sections [scenario], [kind NAME], [organisation NAME],
// [burst NAME], [shift NAME] and [fault NAME]. INI keys are in kebab case. API keys may refer to variables of the
// environment. ReadScenario fails if the file cannot be read or the scenario is not valid.
func ReadScenario(path string, en Environment) (*Scenario, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("loader").Wrapf(err, "read scenario")
	}
	sc, err := ParseScenario(content, en)
	if err != nil {
		return nil, oops.In("loader").Wrapf(err, "scenario %s", path)
	}
	return sc, nil
}

// ParseScenario parses the content of an INI file as described at ReadScenario. It fails on unknown sections and kinds,
// on values that cannot be parsed, and if the scenario is not valid.
func ParseScenario(content []byte, en Environment) (*Scenario, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, content)
	if err != nil {
		return nil, err
	}
	file.NameMapper = strings.ToLower
	sc := &Scenario{
		Duration: 10 * time.Second, Rate: 20, Seed: 1, StallAfter: 500 * time.Millisecond, Kinds: defaultKinds(),
	}
	for _, section := range file.Sections() {
		if err := sc.readSection(section, en); err != nil {
			return nil, fmt.Errorf("section [%s]: %w", section.Name(), err)
		}
	}
	return sc, sc.validate()
}

// readSection applies one section to the scenario.
func (sc *Scenario) readSection(section *ini.Section, en Environment) error {
	sectionType, name, _ := strings.Cut(section.Name(), " ")
	switch sectionType {
	case ini.DefaultSection:
		return nil
	case "scenario":
		return section.StrictMapTo(sc)
	case "kind":
		kind := sc.Kinds[KindName(name)]
		if kind == nil {
			return fmt.Errorf("unknown kind, expected one of %v", kindNames)
		}
		return section.StrictMapTo(kind)
	case "organisation":
		og := &Organisation{Name: name, Share: 1, Count: 1, Skew: 1.2, OrderService: sc.Kinds[KindOrder].Service}
		sc.Organisations = append(sc.Organisations, og)
		err := section.StrictMapTo(og)
		og.Key = os.Expand(og.Key, en.Get)
		return err
	case "burst":
		var burst Burst
		err := section.StrictMapTo(&burst)
		sc.Bursts = append(sc.Bursts, burst)
		return err
	case "shift":
		var shift Shift
		err := section.StrictMapTo(&shift)
		sc.Shifts = append(sc.Shifts, shift)
		return err
	case "fault":
		var event FaultEvent
		err := section.StrictMapTo(&event)
		sc.Faults = append(sc.Faults, event)
		return err
	default:
		return fmt.Errorf("unknown section")
	}
}

// validate returns an error if no arrivals can be generated from the scenario.
func (sc *Scenario) validate() error {
	if len(sc.Organisations) == 0 || sc.Rate <= 0 || sc.Duration <= 0 {
		return fmt.Errorf("scenario needs an organisation, a rate above 0 and a duration above 0")
	}
	for _, og := range sc.Organisations {
		if og.Skew <= 1 || og.Count < 1 || og.Share <= 0 || og.Chat+og.Summary+og.Inventory+og.Order <= 0 {
			return fmt.Errorf("organisation %s: skew must be above 1; count, share and at least one kind must be above 0", og.Name)
		}
	}
	return nil
}
