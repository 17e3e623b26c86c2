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
	// inboxSize is the maximum number of messages queued for the leaser; senders block while the queue is full.
	inboxSize = 256
	// eventsSize is the maximum number of unread events; the leaser blocks while the queue is full.
	eventsSize = 4096
	// callTimeout is the timeout of a call to a peer.
	callTimeout = 2 * time.Second
)

// Prefix is the key prefix of the holder records in the store.
const Prefix = "lovagebank/holders/"

// ErrNotHandedOver means that some resources could not be handed over in time. Their leases lapse.
var ErrNotHandedOver = errors.New("resources not handed over")

// Options configures a Leaser and connects it to the store and to its peers.
type Options struct {
	// Self is the identity of this instance. It must be new at each start.
	Self   string
	Timing Timing

	CreateSession  func(ctx context.Context, name string, ttl time.Duration) (string, error)
	RenewSession   func(ctx context.Context, session string) error
	DestroySession func(ctx context.Context, session string) error
	List           func(ctx context.Context, prefix string) (storer.Listing, error)
	Transact       func(ctx context.Context, steps []storer.Step) ([]storer.Entry, error)

	// RequestPromise sends a request to the successor that it names.
	RequestPromise func(ctx context.Context, request *wire.PromiseRequest) (*wire.PromiseResponse, error)
	// Notify notifies a peer that records have changed. The notification may be lost.
	Notify func(ctx context.Context, instance string, resources []string)
	// StopOwner is called when this instance releases a resource. It returns the state for the next holder once the
	// owner has stopped acting. Holds is already false when it is called. If StopOwner is nil, there is no state.
	StopOwner func(resource string) []byte
	Logger    *log.Logger
}

// Leaser maintains the holder leases of this instance. A single goroutine, Run, owns its state.
type Leaser struct {
	options Options
	machine *machine
	view    view
	inbox   chan func(now time.Time)
	events  chan Event
	left    chan struct{}
	done    chan struct{}
}

// New returns a Leaser; Run starts it.
func New(options Options) *Leaser {
	if options.Logger == nil {
		options.Logger = log.Default()
	}
	options.Logger = options.Logger.WithPrefix("leaser")
	return &Leaser{
		options: options,
		machine: newMachine(options.Self, options.Timing),
		view:    view{records: make(map[string]viewEntry)},
		inbox:   make(chan func(now time.Time), inboxSize),
		events:  make(chan Event, eventsSize),
		left:    make(chan struct{}),
		done:    make(chan struct{}),
	}
}

// Run maintains the leases until ctx ends. It does not hand over resources: call HandOver before ending ctx.
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

// post sends a message to the goroutine that owns the state. It returns false if Run or ctx has ended.
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

// SetResources replaces the list of resources that this instance may hold or whose holder it looks up.
func (le *Leaser) SetResources(ctx context.Context, resources []Resource) {
	le.post(ctx, func(now time.Time) { le.machine.setResources(now, resources) })
}

// Holds reports whether this instance may act as the holder of the resource now. It also returns the fencing number for
// its orders and the time at which the instance must stop acting, unless a later call to Holds returns a later time.
func (le *Leaser) Holds(resource string) (fencing uint64, until time.Time, ok bool) {
	return le.view.holds(resource, time.Now())
}

// Holder returns the likely holder of a resource passed to SetResources. The result is a hint and may be wrong.
func (le *Leaser) Holder(resource string) (instance string, ok bool) { return le.view.holder(resource) }

// Events returns the channel of gains and losses. The caller must keep reading it.
func (le *Leaser) Events() <-chan Event { return le.events }

// Hints returns the resources that this instance holds, as hints for its peers.
func (le *Leaser) Hints() []*wire.HolderHint {
	held := le.view.held()
	hints := make([]*wire.HolderHint, 0, len(held))
	for name, fencing := range held {
		hints = append(hints, &wire.HolderHint{Resource: name, Holder: le.options.Self, Fencing: fencing})
	}
	return hints
}

// ApplyHints applies hints from peers about the holders of resources.
func (le *Leaser) ApplyHints(ctx context.Context, hints []*wire.HolderHint) {
	le.post(ctx, func(now time.Time) {
		for _, hn := range hints {
			le.machine.applyHint(now, hn.GetResource(), hn.GetHolder(), hn.GetFencing())
		}
	})
}

// Refresh reads records that a peer reports as changed.
func (le *Leaser) Refresh(ctx context.Context, resources []string) {
	le.post(ctx, func(now time.Time) { le.machine.refresh(now, resources) })
}

// Promise answers a holder's request to this instance as a successor. It returns an empty response, which promises
// nothing, if ctx or Run ends first.
func (le *Leaser) Promise(ctx context.Context, request *wire.PromiseRequest) *wire.PromiseResponse {
	answer := make(chan *wire.PromiseResponse, 1)
	if le.post(ctx, func(now time.Time) { answer <- le.machine.givePromises(now, request) }) {
		select {
		case response := <-answer:
			return response
		case <-ctx.Done():
		case <-le.done:
		}
	}
	return &wire.PromiseResponse{}
}

// HandOver releases everything that this instance holds and ends its session. From then on it takes nothing over. It
// returns ErrNotHandedOver if ctx or Run ends before everything is handed over.
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

// Close waits until Run has returned.
func (le *Leaser) Close() { <-le.done }
