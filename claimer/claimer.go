// Package claimer ensures that a non-repeatable request runs at most once.
//
// Such a request is claimed just before it is sent: a record under its organisation and Idempotency-Key is written to
// the store on the condition that no record exists yet. This condition alone guarantees correctness; everything else
// only reduces the number of store calls. Claims and outcomes that arrive within a few milliseconds share one
// transaction, and rendezvous hashing over the live instances routes the claims of a shard to one instance, which keeps
// the number of transactions of the fleet low. If the store's response is lost, the claim's nonce is read back.
//
// A key is remembered for a window. Its record belongs to the epoch of the key's time, and an epoch is deleted when no
// clock within the allowed skew can still accept a key of that epoch. A key that contains a timestamp (a version 7
// UUID) is refused when it is older than the window. A key without a timestamp is remembered for at least the window
// minus twice the skew, counted from its first claim.
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

// Defaults, retry intervals and timeouts.
const (
	// DefaultWindow is how long a key is remembered.
	DefaultWindow = time.Hour
	// DefaultMaxSkew is the maximum clock error of an instance.
	DefaultMaxSkew = time.Minute
	// DefaultMaxWait is the maximum time that a claim waits for the store.
	DefaultMaxWait = time.Second
	// DefaultMaxRunTime is the time after which the outcome of an unfinished claim is treated as unknown.
	DefaultMaxRunTime = 10 * time.Minute
	// storeRetryAfter is the retry delay returned to the caller while the store is unavailable.
	storeRetryAfter = 2 * time.Second
	// runningRetryAfter is the retry delay returned to the caller while the first request is running.
	runningRetryAfter = time.Second
	// retryInterval is the pause between attempts of one write.
	retryInterval = 50 * time.Millisecond
	// forwardTimeout limits a call to the instance that batches a shard.
	forwardTimeout = 400 * time.Millisecond
	// finishTimeout is how long writing an outcome is retried while the store is unavailable.
	finishTimeout = 10 * time.Minute
	// releaseTimeout is how long release looks for an abandoned claim, since its write may arrive late.
	releaseTimeout = time.Minute
	// shardCount is the maximum number of instances that batch claims. Each makes at most
	// 1 s / batcher.DefaultInterval transactions per second, 133 in total.
	shardCount = 4
)

// Options configures a Claimer.
type Options struct {
	// Instance is the ID of this instance.
	Instance string
	// Get reads one key from the store, like storer.Client.Get.
	Get func(ctx context.Context, key string) (storer.Entry, error)
	// Commit applies all steps atomically, like batcher.Batcher.Commit.
	Commit func(ctx context.Context, steps ...storer.Step) ([]storer.Entry, error)
	// DeletePrefix deletes all keys with the given prefix.
	DeletePrefix func(ctx context.Context, prefix string) error
	// Members lists the live instances, as a hint for routing; nil means that this is the only instance.
	Members func() []string
	// Departed reports whether an instance is known to have stopped.
	Departed func(instance string) bool
	// ForwardClaim and ForwardFinish call ServeClaim and ServeFinish on another instance.
	ForwardClaim  func(ctx context.Context, instance string, rq *wire.ClaimRequest) (*wire.ClaimResponse, error)
	ForwardFinish func(ctx context.Context, instance string, rq *wire.FinishRequest) (*wire.FinishResponse, error)
	// Nonce returns a unique string.
	Nonce func() string
	// Window is how long a key is remembered; it must exceed 4 * MaxSkew.
	Window time.Duration
	// MaxSkew is the maximum clock error of an instance.
	MaxSkew time.Duration
	// MaxWait is the maximum time that a claim waits for the store.
	MaxWait time.Duration
	// MaxRunTime is the time after which the outcome of an unfinished claim is treated as unknown.
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

// Claimer claims requests in the store and records their outcomes.
type Claimer struct {
	options Options
	archive *archiver.Archiver
	mu      sync.Mutex
	// won holds the claims won by this instance whose outcome is not stored yet, by request ID.
	won     map[string]*wonClaim
	done    chan struct{}
	pending sync.WaitGroup
}

// wonClaim is a claim won by this instance, with its store keys and the index of its record.
type wonClaim struct {
	record *wire.ClaimRecord
	keys   claimKeys
	index  uint64
}

// New returns a Claimer. Zero durations take their defaults.
func New(options Options) *Claimer {
	options = options.withDefaults()
	return &Claimer{
		options: options, archive: archiver.New(archiver.Options{Get: options.Get, Commit: options.Commit}),
		won: make(map[string]*wonClaim), done: make(chan struct{}),
	}
}

// Claim claims a request just before it is sent. The request may be sent only if the decision is ResultWon, and only
// once; the caller must then call Finish, or Release if nothing was sent. An error is a *requester.Refusal and means
// that this call has not run the request and never will.
func (cl *Claimer) Claim(ctx context.Context, rq *requester.Request) (Decision, error) {
	now := time.Now()
	claim := newClaim(rq, cl.options.Instance, cl.options.Nonce(), now)
	if err := cl.checkKeyTime(claim, now); err != nil {
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
		return Decision{}, requester.Refuse(requester.CodeStoreUnavailable, "the claim could not be stored", storeRetryAfter)
	}
	if response.GetWon() {
		cl.addWon(rq.ID(), &wonClaim{response.GetRecord(), claimKeysOf(claim, cl.options.Window), response.GetIndex()})
		return Decision{result: ResultWon}, nil
	}
	return cl.decide(ctx, claim, response.GetRecord())
}

// checkKeyTime refuses a key whose timestamp is older than the window or ahead of any clock within the allowed skew.
func (cl *Claimer) checkKeyTime(claim *wire.Claim, now time.Time) error {
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

func (cl *Claimer) addWon(id string, wc *wonClaim) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.won[id] = wc
}

func (cl *Claimer) removeWon(id string) *wonClaim {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	wc := cl.won[id]
	delete(cl.won, id)
	return wc
}

// shardOwner returns the instance that batches the claims of a claim's shard, chosen by rendezvous hashing.
func (cl *Claimer) shardOwner(claim *wire.Claim) string {
	shard := xxhash.Sum64String(claim.GetOrganisation()+"\x00"+claim.GetKey()) % shardCount
	return cl.rendezvous("shard-" + strconv.FormatUint(shard, 10))
}

// rendezvous returns the live instance with the highest hash for a name.
func (cl *Claimer) rendezvous(name string) string {
	best := cl.options.Instance
	highest := xxhash.Sum64String(name + "/" + best)
	for _, member := range cl.options.Members() {
		if weight := xxhash.Sum64String(name + "/" + member); weight > highest {
			best, highest = member, weight
		}
	}
	return best
}

// Run deletes old epochs until the context ends, and then waits for the outcomes that are being stored.
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
			cl.dropOldEpochs(ctx, time.Now())
		}
	}
}

// Done returns a channel that is closed when Run has returned.
func (cl *Claimer) Done() <-chan struct{} { return cl.done }

// dropOldEpochs deletes the epochs whose keys no instance can accept any more. Only one instance of the fleet does it.
func (cl *Claimer) dropOldEpochs(ctx context.Context, now time.Time) {
	if cl.rendezvous("drop") != cl.options.Instance {
		return
	}
	last := cl.lastClosedEpoch(now)
	for epoch := last; epoch > last-epochsPerDrop; epoch-- {
		if err := cl.options.DeletePrefix(ctx, epochPrefix(epoch)); err != nil {
			return
		}
	}
}

// lastClosedEpoch returns the newest epoch that no instance reads or writes any more. An instance accepts keys of an
// epoch, or reads the epoch as a neighbour of the current one, until the epoch's end plus the window. Both that
// instance's clock and the local clock may be off by MaxSkew.
func (cl *Claimer) lastClosedEpoch(now time.Time) int64 {
	return now.Add(-cl.options.Window-2*cl.options.MaxSkew).UnixMilli()/cl.options.Window.Milliseconds() - 1
}

// epochsPerDrop is the number of epochs deleted at a time: earlier ones are included in case a deletion failed.
const epochsPerDrop = 3
