// Package claimer makes a request that may not be repeated run at most once.
//
// Such a request is claimed just before it is sent: a record under its organisation and Idempotency-Key is written to
// the store on the condition that none is there. The condition alone decides; all else saves calls. Claims and outcomes
// that come within a few milliseconds share one transaction, and a hint sends the claims of a shard to one instance,
// so that the fleet's transactions stay few. A lost answer of the store is resolved by reading back the claim's nonce.
//
// A key is remembered for a window. Its record lies in the epoch of its time, and an epoch is dropped when no clock
// within the allowed skew can still accept a key of it. A key that carries a time (a UUID of version 7) is refused when
// it is older than the window. One that carries none is remembered for at least the window less twice the skew, counted
// from its first claim.
package claimer

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagebank/archiver"
	"lovagebank/requester"
	"lovagebank/storer"
	"lovagebank/wire"
)

// Defaults and times.
const (
	DefaultWindow = time.Hour
	// DefaultMaxSkew is the most that an instance's clock may be off.
	DefaultMaxSkew = time.Minute
	// DefaultMaxWait is how long a claim waits for the store.
	DefaultMaxWait = time.Second
	// DefaultMaxRunTime is the time after which a claim without an outcome counts as unknown.
	DefaultMaxRunTime = 10 * time.Minute
	// storeRetry is the retry time told while the store is away.
	storeRetry = 2 * time.Second
	// runningRetry is the retry time told while the first request runs.
	runningRetry = time.Second
	// retryPause spaces the attempts of one write.
	retryPause = 50 * time.Millisecond
	// forwardTimeout bounds a call to the instance that batches a shard.
	forwardTimeout = 400 * time.Millisecond
	// finishPatience is how long an outcome is kept for a store that is away.
	finishPatience = 10 * time.Minute
	// releasePatience is how long a claim that was given up is looked for, since it may arrive late.
	releasePatience = time.Minute
	// shards is the number of instances that batch claims: each makes at most 1 s / batcher.DefaultInterval
	// transactions a second, 133 together.
	shards = 4
)

// Options configures a Claimer.
type Options struct {
	// Instance is this instance's identity.
	Instance string
	// Get reads one key of the store, as storer.Client does.
	Get func(ctx context.Context, key string) (storer.Entry, error)
	// Commit makes all steps or none, as batcher.Batcher does.
	Commit func(ctx context.Context, steps ...storer.Step) ([]storer.Entry, error)
	// DeletePrefix deletes all keys that begin with a prefix.
	DeletePrefix func(ctx context.Context, prefix string) error
	// Members lists the live instances. It is a hint; nil means that this instance is alone.
	Members func() []string
	// Departed tells whether an instance is known to have ended.
	Departed func(instance string) bool
	// ForwardClaim and ForwardFinish call ServeClaim and ServeFinish on another instance.
	ForwardClaim  func(ctx context.Context, instance string, rq *wire.ClaimRequest) (*wire.ClaimResponse, error)
	ForwardFinish func(ctx context.Context, instance string, rq *wire.FinishRequest) (*wire.FinishResponse, error)
	// Nonce makes a unique string.
	Nonce func() string
	// Window is how long a key is remembered; it must exceed 4 * MaxSkew.
	Window     time.Duration
	MaxSkew    time.Duration
	MaxWait    time.Duration
	MaxRunTime time.Duration
}

func (op Options) withDefaults() Options {
	for field, fallback := range map[*time.Duration]time.Duration{
		&op.Window: DefaultWindow, &op.MaxSkew: DefaultMaxSkew,
		&op.MaxWait: DefaultMaxWait, &op.MaxRunTime: DefaultMaxRunTime,
	} {
		if *field == 0 {
			*field = fallback
		}
	}
	if op.Members == nil {
		op.Members = func() []string { return nil }
	}
	if op.Departed == nil {
		op.Departed = func(string) bool { return false }
	}
	return op
}

// Claimer claims requests and stores their outcomes.
type Claimer struct {
	options Options
	archive *archiver.Archiver
	mu      sync.Mutex
	// won holds the claims that this instance won and whose outcome isn't stored yet, by request.
	won     map[string]*held
	done    chan struct{}
	pending sync.WaitGroup
}

// held is a claim that this instance won.
type held struct {
	record *wire.ClaimRecord
	places places
	index  uint64
}

// New makes a claimer.
func New(options Options) *Claimer {
	options = options.withDefaults()
	return &Claimer{
		options: options, archive: archiver.New(archiver.Options{Get: options.Get, Commit: options.Commit}),
		won: make(map[string]*held), done: make(chan struct{}),
	}
}

// Claim claims a request just before it is sent. Only when the decision is ResultWon may the request be sent, once,
// and then Finish must be called, or Release if nothing was sent. An error is a *requester.Refusal: the request was not
// run, and this call of it never will be.
func (cl *Claimer) Claim(ctx context.Context, rq *requester.Request) (Decision, error) {
	now := time.Now()
	claim := newClaim(rq, cl.options.Instance, cl.options.Nonce(), now)
	if err := cl.checkTime(claim, now); err != nil {
		return Decision{}, err
	}
	until := now.Add(cl.options.MaxWait)
	if !rq.Deadline().IsZero() && rq.Deadline().Before(until) {
		until = rq.Deadline()
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	response, err := cl.forwardClaim(ctx, claim)
	if err != nil {
		response, err = cl.commit(ctx, claim)
	}
	if err != nil {
		cl.pending.Go(func() { cl.release(claim) })
		return Decision{}, requester.Refuse(requester.CodeStoreUnavailable, "the claim could not be stored", storeRetry)
	}
	if response.GetWon() {
		cl.keep(rq.ID(), &held{response.GetRecord(), placesOf(claim, cl.options.Window), response.GetIndex()})
		return Decision{verdict: ResultWon}, nil
	}
	return cl.decide(ctx, claim, response.GetRecord())
}

// checkTime refuses a key that is older than the window, or newer than any clock can be.
func (cl *Claimer) checkTime(claim *wire.Claim, now time.Time) error {
	at, timed := keyTime(claim.GetKey())
	if !timed {
		return nil
	}
	if now.Sub(at) > cl.options.Window-cl.options.MaxSkew {
		return requester.Refuse(requester.CodeKeyExpired, "the Idempotency-Key is too old to be remembered", 0)
	}
	if at.Sub(now) > cl.options.MaxSkew {
		return requester.Refuse(requester.CodeBadRequest, "the Idempotency-Key carries a time in the future", 0)
	}
	return nil
}

func (cl *Claimer) keep(id string, he *held) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.won[id] = he
}

func (cl *Claimer) take(id string) *held {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	he := cl.won[id]
	delete(cl.won, id)
	return he
}

// owner returns the instance that batches a claim's shard: the highest by rendezvous hashing.
func (cl *Claimer) owner(claim *wire.Claim) string {
	shard := xxhash.Sum64String(claim.GetOrganisation()+"\x00"+claim.GetKey()) % shards
	return cl.rendezvous("shard-" + strconv.FormatUint(shard, 10))
}

// rendezvous picks the live instance with the highest hash for a name.
func (cl *Claimer) rendezvous(name string) string {
	best := cl.options.Instance
	most := xxhash.Sum64String(name + "/" + best)
	for _, member := range cl.options.Members() {
		if weight := xxhash.Sum64String(name + "/" + member); weight > most {
			best, most = member, weight
		}
	}
	return best
}

// Run drops old epochs until the context ends, and then waits for outcomes that are being stored.
func (cl *Claimer) Run(ctx context.Context) {
	defer close(cl.done)
	ticker := time.NewTicker(cl.options.Window / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			cl.pending.Wait()
			return
		case <-ticker.C:
			cl.dropOld(ctx, time.Now())
		}
	}
}

// Done is closed when Run has ended.
func (cl *Claimer) Done() <-chan struct{} { return cl.done }

// dropOld deletes the epochs that no instance can accept a key of any more. One instance does it.
func (cl *Claimer) dropOld(ctx context.Context, now time.Time) {
	if cl.rendezvous("drop") != cl.options.Instance {
		return
	}
	last := cl.lastClosed(now)
	for epoch := last; epoch > last-droppedEpochs; epoch-- {
		if err := cl.options.DeletePrefix(ctx, epochPrefix(epoch)); err != nil {
			return
		}
	}
}

// lastClosed returns the last epoch that no instance looks at any more: a key is accepted, or an epoch beside the
// present one looked at, until the epoch's end plus the window, by a clock that may be MaxSkew off, as may be this one.
func (cl *Claimer) lastClosed(now time.Time) int64 {
	return now.Add(-cl.options.Window-2*cl.options.MaxSkew).UnixMilli()/cl.options.Window.Milliseconds() - 1
}

// droppedEpochs is how many epochs back are deleted, in case an earlier deletion failed.
const droppedEpochs = 3
