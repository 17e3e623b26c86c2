// Package deferrer keeps and runs work that outlives its connection.
//
// An accepted request is a job in the store: a small record under its shard, and its body in a key of its own. A hint
// sends each shard to one live instance, which lists it every few seconds and claims jobs by compare-and-swap with a
// lease. When an instance ends, its leases run out and the jobs go to another. A job may so run twice; the first stored
// outcome stands. One that may not be repeated has its own claim, made when it is sent.
//
// A job that may wait runs when there is room. From its latest start on, the deadline less the estimated run time, it
// is urgent.
package deferrer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"lovagebank/archiver"
	"lovagebank/pauser"
	"lovagebank/requester"
	"lovagebank/storer"
	"lovagebank/wire"
)

// Defaults, sizes and times.
const (
	// DefaultParallel is how many jobs an instance runs at once.
	DefaultParallel = 16
	// DefaultMaxDelay is the longest time between a job's acceptance and its deadline.
	DefaultMaxDelay = 24 * time.Hour
	// DefaultRetention is how long an outcome is kept, at least, after the longest possible deadline.
	DefaultRetention = 24 * time.Hour
	// MaxBodyBytes is the largest body of a job, in bytes.
	MaxBodyBytes = 256 << 10
	// shardCount is the number of listings that the fleet makes in each scanInterval.
	shardCount   = 16
	scanInterval = 10 * time.Second
	// maxQueue bounds the jobs taken from the listings of one scan.
	maxQueue = 1024
	// leaseTime is how long a claimed job is an instance's own; it renews at half of it.
	leaseTime = time.Minute
	// maxSkew is the most that an instance's clock may be off.
	maxSkew = time.Minute
	// acceptPatience is how long Accept waits for the store.
	acceptPatience = time.Second
	storeRetry     = 2 * time.Second
	// pollRetry is how long a caller should wait before it looks again.
	pollRetry = 5 * time.Second
	// retryBackoff and retryBackoffMax space the runs of a job that failed without an outcome.
	retryBackoff    = 5 * time.Second
	retryBackoffMax = 2 * time.Minute
	// storePatience bounds the attempts to store an outcome.
	storePatience = 10 * time.Minute
	retryPause    = 200 * time.Millisecond
)

// Options configures a Deferrer.
type Options struct {
	// Instance is this instance's identity.
	Instance string
	// Get and List read the store, as storer.Client does.
	Get  func(ctx context.Context, key string) (storer.Entry, error)
	List func(ctx context.Context, prefix string) (storer.Listing, error)
	// Commit makes all steps or none, as batcher.Batcher does; jobs can wait, so its interval may be long.
	Commit func(ctx context.Context, steps ...storer.Step) ([]storer.Entry, error)
	// DeletePrefix deletes all keys that begin with a prefix.
	DeletePrefix func(ctx context.Context, prefix string) error
	// Members lists the live instances. It is a hint; nil means that this instance is alone.
	Members func() []string
	// Departed tells whether an instance is known to have ended.
	Departed func(instance string) bool
	// Invoke runs a request to its end. An error is a *requester.Refusal.
	Invoke func(ctx context.Context, rq *requester.Request) (*wire.Answer, error)
	// HasCapacity tells whether there is room for work that may wait; nil means always.
	HasCapacity func() bool
	// EstimateRunTime tells how long a request will take to run; nil means no time.
	EstimateRunTime func(rq *requester.Request) time.Duration
	// Nonce makes an identifier that can't be guessed.
	Nonce     func() string
	Parallel  int
	MaxDelay  time.Duration
	Retention time.Duration
}

func (op Options) withDefaults() Options {
	if op.Members == nil {
		op.Members = func() []string { return nil }
	}
	if op.Departed == nil {
		op.Departed = func(string) bool { return false }
	}
	if op.HasCapacity == nil {
		op.HasCapacity = func() bool { return true }
	}
	if op.EstimateRunTime == nil {
		op.EstimateRunTime = func(*requester.Request) time.Duration { return 0 }
	}
	if op.Parallel == 0 {
		op.Parallel = DefaultParallel
	}
	if op.MaxDelay == 0 {
		op.MaxDelay = DefaultMaxDelay
	}
	if op.Retention == 0 {
		op.Retention = DefaultRetention
	}
	return op
}

// Deferrer keeps and runs jobs. One goroutine, Run, starts them; each job runs on its own.
type Deferrer struct {
	options Options
	archive *archiver.Archiver
	done    chan struct{}
	// finished tells Run that a job of this instance has ended.
	finished chan string
	running  sync.WaitGroup
	// runs is the context of the jobs that run; abort ends it.
	runs  context.Context
	abort context.CancelFunc
}

// New makes a deferrer.
func New(options Options) *Deferrer {
	options = options.withDefaults()
	runs, abort := context.WithCancel(context.Background())
	return &Deferrer{
		runs: runs, abort: abort, options: options, archive: archiver.New(archiver.Options{Get: options.Get, Commit: options.Commit}),
		done: make(chan struct{}), finished: make(chan string, options.Parallel),
	}
}

// Close cuts off the jobs that still run and gives them back, and waits for Run to end.
func (df *Deferrer) Close() {
	df.abort()
	<-df.done
}

// Done is closed when Run has ended.
func (df *Deferrer) Done() <-chan struct{} { return df.done }

// Accept stores a request to be run by its deadline and returns its identifier. An error is a *requester.Refusal.
func (df *Deferrer) Accept(ctx context.Context, rq *requester.Request) (id string, err error) {
	now := time.Now()
	latest := rq.Deadline().Add(-df.options.EstimateRunTime(rq))
	switch {
	case latest.Before(now):
		return "", requester.Refuse(requester.CodeDeadline, "the work can't be done by its deadline", 0)
	case rq.Deadline().Sub(now) > df.options.MaxDelay:
		return "", requester.Refuse(requester.CodeBadRequest, "the deadline is too far away", 0)
	case len(rq.Body()) > MaxBodyBytes:
		return "", requester.Refuse(requester.CodeTooLarge, "the body is too large to be kept", 0)
	}
	id = newID(df.options.Nonce(), now, df.epochLength())
	job := newJob(rq, id, latest)
	value, err := proto.Marshal(job)
	if err != nil {
		return "", requester.Refuse(requester.CodeInternal, err.Error(), 0)
	}
	ctx, cancel := context.WithTimeout(ctx, acceptPatience)
	defer cancel()
	if err := df.create(ctx, id, value, rq.Body()); err != nil {
		return "", err
	}
	return id, nil
}

// create writes a job and its body. An unknown write is resolved by reading the job back.
func (df *Deferrer) create(ctx context.Context, id string, job, body []byte) error {
	sent := false
	for {
		_, err := df.options.Commit(ctx, storer.Swap(jobKey(id), job, 0), storer.Swap(bodyKey(id), body, 0))
		if err == nil {
			return nil
		}
		if !errors.Is(err, storer.ErrUnavailable) {
			sent = true
			if _, gerr := df.options.Get(ctx, jobKey(id)); gerr == nil {
				return nil
			}
		}
		if pauser.For(ctx, retryPause) {
			continue
		}
		if sent {
			return requester.RefuseUnknown(requester.CodeStoreUnavailable, "the work may have been accepted", storeRetry)
		}
		return requester.Refuse(requester.CodeStoreUnavailable, "the work could not be stored", storeRetry)
	}
}

// Status is the state of a job.
type Status struct {
	answer  *wire.Answer
	refusal *requester.Refusal
	retry   time.Duration
}

// Answer returns the answer of a job that has one.
func (st Status) Answer() *wire.Answer { return st.answer }

// Refusal returns how a job without an answer ended; nil while it has not.
func (st Status) Refusal() *requester.Refusal { return st.refusal }

// RetryAfter returns when to look again at a job that hasn't ended; zero for one that has.
func (st Status) RetryAfter() time.Duration { return st.retry }

// Lookup returns the state of an organisation's job. An error is a *requester.Refusal; a job of another organisation is
// not found.
func (df *Deferrer) Lookup(ctx context.Context, organisation, id string) (Status, error) {
	notFound := requester.Refuse(requester.CodeNotFound, "there is no such work", 0)
	if !validID(id) {
		return Status{}, notFound
	}
	// The job is looked at first: it goes away in the transaction that writes the outcome.
	job, _, err := df.readJob(ctx, id)
	if err == nil {
		if job.GetRequest().GetOrganisation() != organisation {
			return Status{}, notFound
		}
		return Status{retry: pollRetry}, nil
	}
	if !errors.Is(err, storer.ErrNotFound) {
		return Status{}, unreadable()
	}
	status, err := df.readResult(ctx, organisation, id)
	if errors.Is(err, storer.ErrNotFound) {
		return Status{}, notFound
	}
	if err != nil {
		return Status{}, unreadable()
	}
	return status, nil
}

func unreadable() *requester.Refusal {
	return requester.Refuse(requester.CodeStoreUnavailable, "the work can't be looked up", storeRetry)
}

// owns tells whether this instance lists a shard: the live instance with the highest hash does.
func (df *Deferrer) owns(shard int) bool {
	name := shardPrefix(shard)
	mine := xxhash.Sum64String(name + df.options.Instance)
	for _, member := range df.options.Members() {
		if xxhash.Sum64String(name+member) > mine {
			return false
		}
	}
	return true
}
