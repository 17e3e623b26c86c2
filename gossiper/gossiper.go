// Package gossiper tracks the instances and the targets of the deployment with a gossip protocol. It starts from the
// platform's list, which lags; reports of peers and targets about themselves, and failed calls, take precedence over it.
//
// Every second an instance exchanges recent changes with one peer of its failure domain, and every few seconds with one
// of another domain; each exchange also serves as a heartbeat. A message carries recent changes only, and a digest of
// the whole table; parts of the tables are sent if the digests stay different.
package gossiper

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/storer"
	"lovagebank/wire"
)

const (
	// sameDomainPeriod is the time between exchanges with a peer of this failure domain, and the length of a tick.
	sameDomainPeriod = time.Second
	// otherDomainTicks is the number of ticks between exchanges with a peer of another failure domain.
	otherDomainTicks = 5
	// unknownPeerTicks is the number of ticks between exchanges with an address that no live member has.
	unknownPeerTicks = 2
	exchangeTimeout  = time.Second
	listTimeout      = 5 * time.Second
	// urgentInterval is the minimum time between two rounds of urgent exchanges.
	urgentInterval = 200 * time.Millisecond
	// urgentSameDomainPeers is the number of peers in this failure domain, and urgentOtherDomains the number of other
	// failure domains, that one urgent round reaches. With a single other domain per round, a domain of two instances
	// was often skipped.
	urgentSameDomainPeers = 3
	urgentOtherDomains    = 3
	// listPeriod is the mean time between two reads of the platform's list across all instances of the deployment.
	listPeriod = 500 * time.Millisecond
	// minListPeriod is the lower bound on the mean time between two reads by one instance.
	minListPeriod = time.Second
	// taskQueueSize bounds the queue of tasks on the state; a caller that finds it full waits until its context ends.
	taskQueueSize = 64
	// maxExchanges bounds the pending exchanges that this instance started.
	maxExchanges = 16
	// maxSyncRounds bounds the requests of one exchange, including those of a table comparison.
	maxSyncRounds = 32
)

// ErrClosed is returned by methods of a Gossiper whose Run has ended.
var ErrClosed = errors.New("the gossiper has ended")

// Options configures a Gossiper. Functions marked as optional may be nil.
type Options struct {
	// Self describes this instance; Run sets its state and heartbeat.
	Self *wire.Member
	// Seeds are peer addresses to try in addition to those on the platform's list.
	Seeds []string
	// Exchange sends a request to the instance at a peer address and returns its response.
	Exchange func(ctx context.Context, address string, rq *wire.ExchangeRequest) (*wire.ExchangeResponse, error)
	// Registrations reads the registrations of one service on the platform's list, as the method of storer.Client does.
	Registrations func(ctx context.Context, service string) ([]storer.Registration, error)
	// Revision returns the revision of the configuration in force at this instance. Optional.
	Revision func() uint64
	// ObserveRevision is called with the revision of the configuration in force at a peer. Optional; must not block.
	ObserveRevision func(address string, revision uint64)
	// Quarantines and Hints return the quarantines and holder hints to spread; the first 4 of each are sent. Optional.
	Quarantines func() []*wire.Quarantine
	Hints       func() []*wire.HolderHint
	// ObserveQuarantines and ObserveHints are called with the data that a peer sends. Optional; must not block.
	ObserveQuarantines func([]*wire.Quarantine)
	ObserveHints       func([]*wire.HolderHint)
	Logger             *log.Logger
}

// Gossiper tracks members and targets. The goroutine of Run owns its state; all methods are safe for concurrent use.
type Gossiper struct {
	options       Options
	tasks         chan task
	stopped       chan struct{}
	done          chan struct{}
	calls         sync.WaitGroup
	exchangeSlots chan struct{}

	members atomic.Pointer[[]*wire.Member]
	targets atomic.Pointer[[]*wire.Target]
	self    atomic.Pointer[wire.Member]
}

// task is a function that Run calls on the state, with the context of Run. done is closed when it has returned.
type task struct {
	run  func(ctx context.Context, st *state)
	done chan struct{}
}

// New returns a gossiper. Members and Targets are empty until Run starts.
func New(options Options) *Gossiper {
	gs := &Gossiper{
		options:       options,
		tasks:         make(chan task, taskQueueSize),
		stopped:       make(chan struct{}),
		done:          make(chan struct{}),
		exchangeSlots: make(chan struct{}, maxExchanges),
	}
	gs.self.Store(options.Self)
	gs.members.Store(&[]*wire.Member{})
	gs.targets.Store(&[]*wire.Target{})
	return gs
}

// Members returns the instances that are live or leaving, this one included, sorted by id. The caller must not modify
// the result.
func (gs *Gossiper) Members() []*wire.Member { return *gs.members.Load() }

// Targets returns the targets that are live or leaving, sorted by id. The caller must not modify the result.
func (gs *Gossiper) Targets() []*wire.Target { return *gs.targets.Load() }

// Self returns the member record that this instance publishes about itself.
func (gs *Gossiper) Self() *wire.Member { return gs.self.Load() }

// Addresses returns the peer addresses of all other members that are live or leaving, then the seeds.
func (gs *Gossiper) Addresses() []string {
	var addresses []string
	for _, me := range gs.Members() {
		if me.Id != gs.options.Self.Id {
			addresses = append(addresses, me.PeerAddress)
		}
	}
	return append(addresses, gs.options.Seeds...)
}

// HasDuty reports whether this instance is live and among the count instances of its failure domain that have a duty.
func (gs *Gossiper) HasDuty(duty string, count int) bool {
	self := gs.Self()
	return self.State == wire.MemberState_MEMBER_STATE_LIVE && hasDuty(self, gs.Members(), duty, count)
}

// Done is closed when Run has returned.
func (gs *Gossiper) Done() <-chan struct{} { return gs.done }

// Leave announces to peers that this instance accepts no new work. It returns once the change is queued for sending, and
// fails with the error of the context or with ErrClosed.
func (gs *Gossiper) Leave(ctx context.Context) error {
	return gs.withState(ctx, func(_ context.Context, st *state) { st.setOwnState(wire.MemberState_MEMBER_STATE_LEAVING, time.Now()) })
}

// ObserveTarget records whether a target reports that it is leaving. It fails with the error of the context or with
// ErrClosed.
func (gs *Gossiper) ObserveTarget(ctx context.Context, id string, leaving bool) error {
	return gs.withState(ctx, func(_ context.Context, st *state) { st.observeTarget(id, leaving, time.Now()) })
}

// ObserveFailure is called when a call to a member failed; an exchange with the member then probes whether it is alive.
// It fails with the error of the context or with ErrClosed.
func (gs *Gossiper) ObserveFailure(ctx context.Context, id string) error {
	return gs.withState(ctx, func(runCtx context.Context, st *state) {
		if me := st.table.member(id); me != nil && id != st.self.Id {
			gs.startExchange(runCtx, st, peer{id: id, address: me.PeerAddress})
		}
	})
}

// Announce starts a round of urgent exchanges, so that peers learn at once that the configuration in force at this
// instance changed. It does nothing if the task queue is full.
func (gs *Gossiper) Announce() {
	select {
	case gs.tasks <- task{run: func(_ context.Context, st *state) { st.urgent = true }, done: make(chan struct{})}:
	default:
	}
}

// ServeExchange handles the request of a peer's exchange. It fails with the error of the context or with ErrClosed.
func (gs *Gossiper) ServeExchange(ctx context.Context, rq *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	pb := gs.piggyback()
	var rs *wire.ExchangeResponse
	if err := gs.withState(ctx, func(_ context.Context, st *state) { rs = st.serve(rq, pb, time.Now()) }); err != nil {
		return nil, err
	}
	gs.notifyObservers(rq.Sender, rq.Quarantines, rq.Holders)
	return rs, nil
}

// withState calls a function in the goroutine that owns the state, and waits until it has returned.
func (gs *Gossiper) withState(ctx context.Context, run func(ctx context.Context, st *state)) error {
	tk := task{run: run, done: make(chan struct{})}
	select {
	case gs.tasks <- tk:
	case <-ctx.Done():
		return ctx.Err()
	case <-gs.stopped:
		return ErrClosed
	}
	select {
	case <-tk.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-gs.stopped:
		return ErrClosed
	}
}

func (gs *Gossiper) piggyback() piggyback {
	var pb piggyback
	if gs.options.Quarantines != nil {
		pb.quarantines = gs.options.Quarantines()
		pb.quarantines = pb.quarantines[:min(len(pb.quarantines), maxQuarantines)]
	}
	if gs.options.Hints != nil {
		pb.hints = gs.options.Hints()
		pb.hints = pb.hints[:min(len(pb.hints), maxHints)]
	}
	return pb
}

// notifyObservers passes the revision, quarantines and hints of a message to the observers in the options.
func (gs *Gossiper) notifyObservers(owner *wire.Member, quarantines []*wire.Quarantine, hints []*wire.HolderHint) {
	if gs.options.ObserveRevision != nil && owner != nil {
		gs.options.ObserveRevision(owner.PeerAddress, owner.ConfigurationRevision)
	}
	if gs.options.ObserveQuarantines != nil && len(quarantines) > 0 {
		gs.options.ObserveQuarantines(quarantines)
	}
	if gs.options.ObserveHints != nil && len(hints) > 0 {
		gs.options.ObserveHints(hints)
	}
}
