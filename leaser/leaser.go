package leaser

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"
	"github.com/samber/oops"

	"lovagebank/storer"
	"lovagebank/wire"
)

const (
	// inboxSize bounds the messages that wait for the leaser; a sender waits while it is full.
	inboxSize = 256
	// eventsSize bounds the events that wait for their reader; the leaser waits while it is full.
	eventsSize = 4096
	// callTimeout bounds a call to a peer.
	callTimeout = 2 * time.Second
)

// Prefix is the prefix of the records' keys in the store.
const Prefix = "lovagebank/holders/"

// ErrNotHandedOver means that some resources could not be handed over in time. They lapse.
var ErrNotHandedOver = errors.New("resources not handed over")

// Options join a Leaser to the store and to its peers.
type Options struct {
	// Self is this instance's identity, which must be new at each start.
	Self   string
	Timing Timing

	CreateSession  func(ctx context.Context, name string, ttl time.Duration) (string, error)
	RenewSession   func(ctx context.Context, session string) error
	DestroySession func(ctx context.Context, session string) error
	List           func(ctx context.Context, prefix string) (storer.Listing, error)
	Transact       func(ctx context.Context, steps []storer.Step) ([]storer.Entry, error)

	// RequestPromise sends a request to the successor that it names.
	RequestPromise func(ctx context.Context, request *wire.PromiseRequest) (*wire.PromiseResponse, error)
	// Notify tells a peer that records changed; it may be lost.
	Notify func(ctx context.Context, instance string, resources []string)
	// StopOwner is called when this instance gives a resource up. It returns once the owner has stopped to act, with
	// the state for the next holder. By then Holds is already false. Nil means that there is no state.
	StopOwner func(resource string) []byte
	Logger    *log.Logger
}

// Leaser keeps this instance's holder leases. One goroutine, Run, owns its state.
type Leaser struct {
	options Options
	machine *machine
	view    view
	inbox   chan func(now time.Time)
	events  chan Event
	left    chan struct{}
	done    chan struct{}
}

// New makes a Leaser; Run starts it.
func New(options Options) *Leaser {
	if options.Logger == nil {
		options.Logger = log.Default()
	}
	options.Logger = options.Logger.WithPrefix("leaser")
	return &Leaser{
		options: options,
		machine: newMachine(options.Self, options.Timing),
		view:    view{records: make(map[string]viewed)},
		inbox:   make(chan func(now time.Time), inboxSize),
		events:  make(chan Event, eventsSize),
		left:    make(chan struct{}),
		done:    make(chan struct{}),
	}
}

// Run keeps the leases until the context ends. It does not hand over; HandOver comes before.
func (le *Leaser) Run(ctx context.Context) {
	defer close(le.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-le.inbox:
			message(time.Now())
		case <-ticker.C:
			le.machine.step(time.Now())
		}
		le.view.publish(le.machine)
		for _, ef := range le.machine.takeEffects() {
			le.perform(ctx, ef)
		}
	}
}

// post sends a message to the goroutine that owns the state; it is false when that has ended.
func (le *Leaser) post(ctx context.Context, message func(now time.Time)) bool {
	select {
	case le.inbox <- message:
		return true
	case <-le.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// SetResources replaces the resources that this instance may hold or asks for the holder of.
func (le *Leaser) SetResources(ctx context.Context, resources []Resource) {
	le.post(ctx, func(now time.Time) { le.machine.want(now, resources) })
}

// Holds tells whether this instance may act as the resource's holder now, with the fencing number for its orders and
// the time at which it must stop unless Holds then gives a later one.
func (le *Leaser) Holds(resource string) (fencing uint64, until time.Time, ok bool) {
	return le.view.holds(resource, time.Now())
}

// Holder returns the likely holder of a wanted resource. It is a hint.
func (le *Leaser) Holder(resource string) (instance string, ok bool) { return le.view.holder(resource) }

// Events returns the ring of gains and losses, which must be read.
func (le *Leaser) Events() <-chan Event { return le.events }

// Hints returns what this instance holds, for its peers.
func (le *Leaser) Hints() []*wire.HolderHint {
	held := le.view.held()
	hints := make([]*wire.HolderHint, 0, len(held))
	for name, fencing := range held {
		hints = append(hints, &wire.HolderHint{Resource: name, Holder: le.options.Self, Fencing: fencing})
	}
	return hints
}

// ApplyHints takes hints from peers.
func (le *Leaser) ApplyHints(ctx context.Context, hints []*wire.HolderHint) {
	le.post(ctx, func(now time.Time) {
		for _, hn := range hints {
			le.machine.hint(now, hn.GetResource(), hn.GetHolder(), hn.GetFencing())
		}
	})
}

// Refresh reads records that a peer says have changed.
func (le *Leaser) Refresh(ctx context.Context, resources []string) {
	le.post(ctx, func(now time.Time) { le.machine.notified(now, resources) })
}

// Promise answers a holder's request to this instance as a successor. Without an answer in time it promises nothing.
func (le *Leaser) Promise(ctx context.Context, request *wire.PromiseRequest) *wire.PromiseResponse {
	answer := make(chan *wire.PromiseResponse, 1)
	if le.post(ctx, func(now time.Time) { answer <- le.machine.promise(now, request) }) {
		select {
		case response := <-answer:
			return response
		case <-ctx.Done():
		case <-le.done:
		}
	}
	return &wire.PromiseResponse{}
}

// HandOver gives up all that this instance holds and ends its session. Nothing is taken over any more.
func (le *Leaser) HandOver(ctx context.Context) error {
	le.post(ctx, le.machine.handOver)
	select {
	case <-le.left:
		return nil
	case <-le.done:
	case <-ctx.Done():
	}
	return oops.In("leaser").Wrapf(ErrNotHandedOver, "hand over %d resources", len(le.Hints()))
}

// Close waits until Run has ended.
func (le *Leaser) Close() { <-le.done }
