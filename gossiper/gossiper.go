// Package gossiper knows the instances and the targets of the deployment. The platform's list, which lags, is the base;
// what a peer or target says of itself, and calls that fail, go before it.
//
// Every second an instance exchanges news with one peer of its failure domain, and every few seconds with one
// elsewhere; each exchange is a heartbeat too. Messages carry news only, with a digest of the whole table; parts of the
// tables are sent when the digests stay different.
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
	nearPeriod      = time.Second
	farTicks        = 5
	strangerTicks   = 2
	exchangeTimeout = time.Second
	listTimeout     = 5 * time.Second
	// urgentPause is the least time between two rounds of exchanges out of turn.
	urgentPause = 200 * time.Millisecond
	// urgentNear and urgentFar are how many peers of this failure domain, and how many other failure domains, one round
	// reaches. With one other domain alone, a domain of two instances was often passed over.
	urgentNear = 3
	urgentFar  = 3
	// listPeriod is the mean time between two readings of the platform's list by the whole deployment.
	listPeriod = 500 * time.Millisecond
	// leastListPeriod is the least time between two readings by one instance.
	leastListPeriod = time.Second
	// askRing bounds the calls that wait for the state; a caller that finds it full waits as long as its context lets.
	askRing = 64
	// mostExchanges bounds the exchanges under way.
	mostExchanges = 16
	// syncRounds bounds the messages of one comparison of tables.
	syncRounds = 32
)

// ErrClosed means that the gossiper no longer runs.
var ErrClosed = errors.New("the gossiper has ended")

// Options are the seams of a Gossiper. Functions marked as optional may be nil.
type Options struct {
	// Self is this instance; state and heartbeat are filled in.
	Self *wire.Member
	// Seeds are peer addresses to try when the platform's list does not help.
	Seeds []string
	// Exchange calls the instance at a peer address.
	Exchange func(ctx context.Context, address string, rq *wire.ExchangeRequest) (*wire.ExchangeResponse, error)
	// Registrations reads the platform's list; shaped as storer.Client's method.
	Registrations func(ctx context.Context, service string) ([]storer.Registration, error)
	// Revision returns the configuration in force here. Optional.
	Revision func() uint64
	// ObserveRevision is told the configuration in force at a peer. Optional; must not block.
	ObserveRevision func(address string, revision uint64)
	// Quarantines and Hints return what to spread along; the first 4 of each are sent. Optional.
	Quarantines func() []*wire.Quarantine
	Hints       func() []*wire.HolderHint
	// ObserveQuarantines and ObserveHints take what peers spread. Optional; must not block.
	ObserveQuarantines func([]*wire.Quarantine)
	ObserveHints       func([]*wire.HolderHint)
	Logger             *log.Logger
}

// Gossiper knows members and targets. Its state is owned by the goroutine of Run; all methods may be called by many.
type Gossiper struct {
	options Options
	asks    chan ask
	ended   chan struct{}
	done    chan struct{}
	calls   sync.WaitGroup
	running chan struct{}

	members atomic.Pointer[[]*wire.Member]
	targets atomic.Pointer[[]*wire.Target]
	self    atomic.Pointer[wire.Member]
}

// ask is work on the state. The context is that of Run.
type ask struct {
	run  func(ctx context.Context, st *state)
	done chan struct{}
}

// New makes a gossiper that knows itself alone.
func New(options Options) *Gossiper {
	gs := &Gossiper{
		options: options,
		asks:    make(chan ask, askRing),
		ended:   make(chan struct{}),
		done:    make(chan struct{}),
		running: make(chan struct{}, mostExchanges),
	}
	gs.self.Store(options.Self)
	gs.members.Store(&[]*wire.Member{})
	gs.targets.Store(&[]*wire.Target{})
	return gs
}

// Members returns the instances that live or are leaving, this one included, sorted by id. The caller must not change
// them.
func (gs *Gossiper) Members() []*wire.Member { return *gs.members.Load() }

// Targets returns the targets that live or are leaving, sorted by id. The caller must not change them.
func (gs *Gossiper) Targets() []*wire.Target { return *gs.targets.Load() }

// Self returns this instance's word about itself.
func (gs *Gossiper) Self() *wire.Member { return gs.self.Load() }

// Addresses returns the peer addresses of all other members.
func (gs *Gossiper) Addresses() []string {
	var addresses []string
	for _, me := range gs.Members() {
		if me.Id != gs.options.Self.Id {
			addresses = append(addresses, me.PeerAddress)
		}
	}
	return append(addresses, gs.options.Seeds...)
}

// HasDuty tells whether this instance is among the given number that its failure domain picks for a duty.
func (gs *Gossiper) HasDuty(duty string, count int) bool {
	self := gs.Self()
	return self.State == wire.MemberState_MEMBER_STATE_LIVE && isOneOf(self, gs.Members(), duty, count)
}

// Done is closed when Run has returned.
func (gs *Gossiper) Done() <-chan struct{} { return gs.done }

// Leave tells peers that this instance takes no new work. It returns once the news is under way.
func (gs *Gossiper) Leave(ctx context.Context) error {
	return gs.do(ctx, func(_ context.Context, st *state) { st.say(wire.MemberState_MEMBER_STATE_LEAVING, time.Now()) })
}

// ObserveTarget takes over a target's own word on whether it is leaving.
func (gs *Gossiper) ObserveTarget(ctx context.Context, id string, leaving bool) error {
	return gs.do(ctx, func(_ context.Context, st *state) { st.observeTarget(id, leaving, time.Now()) })
}

// ObserveFailure tells that a call to a member failed; the member is asked whether it lives.
func (gs *Gossiper) ObserveFailure(ctx context.Context, id string) error {
	return gs.do(ctx, func(running context.Context, st *state) {
		if me := st.table.member(id); me != nil && id != st.self.Id {
			gs.start(running, st, peer{id: id, address: me.PeerAddress})
		}
	})
}

// Announce has peers know at once that the configuration in force here changed.
func (gs *Gossiper) Announce() {
	select {
	case gs.asks <- ask{run: func(_ context.Context, st *state) { st.urgent = true }, done: make(chan struct{})}:
	default:
	}
}

// ServeExchange answers a peer's exchange.
func (gs *Gossiper) ServeExchange(ctx context.Context, rq *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	ex := gs.extras()
	var rs *wire.ExchangeResponse
	if err := gs.do(ctx, func(_ context.Context, st *state) { rs = st.serve(rq, ex, time.Now()) }); err != nil {
		return nil, err
	}
	gs.tell(rq.Sender, rq.Quarantines, rq.Holders)
	return rs, nil
}

// do has the owner of the state run a function, and waits for it.
func (gs *Gossiper) do(ctx context.Context, run func(ctx context.Context, st *state)) error {
	as := ask{run: run, done: make(chan struct{})}
	select {
	case gs.asks <- as:
	case <-ctx.Done():
		return ctx.Err()
	case <-gs.ended:
		return ErrClosed
	}
	select {
	case <-as.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-gs.ended:
		return ErrClosed
	}
}

func (gs *Gossiper) extras() extras {
	var ex extras
	if gs.options.Quarantines != nil {
		ex.quarantines = gs.options.Quarantines()
		ex.quarantines = ex.quarantines[:min(len(ex.quarantines), mostQuarantines)]
	}
	if gs.options.Hints != nil {
		ex.hints = gs.options.Hints()
		ex.hints = ex.hints[:min(len(ex.hints), mostHints)]
	}
	return ex
}

// tell passes on what a message holds for other parts.
func (gs *Gossiper) tell(owner *wire.Member, quarantines []*wire.Quarantine, hints []*wire.HolderHint) {
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
