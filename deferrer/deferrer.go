// Package deferrer stores deferred requests as jobs and runs them independently of the client's connection.
//
// An accepted request is a job in the store: a small record under its shard, and its body under a separate key. Each
// shard is assigned to one live instance by hashing; the assignment is only a hint. This instance lists the shard every
// few seconds and claims jobs by compare-and-swap with a lease. When an instance stops, its leases expire and other
// instances claim its jobs. A job can therefore run twice; the first stored outcome is final. A non-repeatable request
// is protected by a claim of its own, which is made when it is sent.
//
// A job waits until there is free capacity. It becomes urgent at its latest start, which is its deadline minus its
// estimated run time.
package deferrer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"lovagebank/archiver"
	"lovagebank/requester"
	"lovagebank/sleeper"
	"lovagebank/storer"
	"lovagebank/wire"
)

// Defaults, sizes, intervals and timeouts.
const (
	// DefaultParallel is the maximum number of jobs that an instance runs concurrently.
	DefaultParallel = 16
	// DefaultMaxDelay is the maximum time between a job's acceptance and its deadline.
	DefaultMaxDelay = 24 * time.Hour
	// DefaultRetention is the minimum time that an outcome is kept after the latest possible deadline.
	DefaultRetention = 24 * time.Hour
	// MaxBodyBytes is the maximum size of a job's body, in bytes.
	MaxBodyBytes = 256 << 10
	// shardCount is the number of shards, and thus of listings that the fleet makes per scanInterval.
	shardCount   = 16
	scanInterval = 10 * time.Second
	// maxQueuedJobs limits the jobs queued from the listings of one scan.
	maxQueuedJobs = 1024
	// leaseDuration is how long a claimed job belongs to an instance, which renews the lease at half of that time.
	leaseDuration = time.Minute
	// maxSkew is the maximum clock error of an instance.
	maxSkew = time.Minute
	// acceptTimeout is the maximum time that Accept waits for the store.
	acceptTimeout = time.Second
	// storeRetryAfter is the retry delay returned to the caller while the store is unavailable.
	storeRetryAfter = 2 * time.Second
	// pollRetryAfter is the recommended interval at which a caller polls an unfinished job.
	pollRetryAfter = 5 * time.Second
	// retryBackoff is the base, and retryBackoffMax the limit, of the delay before a job without an outcome runs again.
	retryBackoff    = 5 * time.Second
	retryBackoffMax = 2 * time.Minute
	// storeTimeout is the maximum time spent on storing an outcome.
	storeTimeout = 10 * time.Minute
	// retryInterval is the pause between attempts of one write.
	retryInterval = 200 * time.Millisecond
)

// Options configures a Deferrer.
type Options struct {
	// Instance is the ID of this instance.
	Instance string
	// Get and List read the store, like the methods of storer.Client.
	Get  func(ctx context.Context, key string) (storer.Entry, error)
	List func(ctx context.Context, prefix string) (storer.Listing, error)
	// Commit applies all steps atomically, like batcher.Batcher.Commit. Its batching interval may be long, since jobs
	// can wait.
	Commit func(ctx context.Context, steps ...storer.Step) ([]storer.Entry, error)
	// DeletePrefix deletes all keys with the given prefix; nil disables the deletion of old epochs.
	DeletePrefix func(ctx context.Context, prefix string) error
	// Members lists the live instances, as a hint for the assignment of shards; nil means that this is the only instance.
	Members func() []string
	// Departed reports whether an instance is known to have stopped.
	Departed func(instance string) bool
	// Invoke runs a request to completion. An error is a *requester.Refusal.
	Invoke func(ctx context.Context, rq *requester.Request) (*wire.Answer, error)
	// HasCapacity reports whether there is free capacity for jobs that are not urgent; nil means always.
	HasCapacity func() bool
	// EstimateRunTime returns the estimated run time of a request; nil means zero.
	EstimateRunTime func(rq *requester.Request) time.Duration
	// Nonce returns an identifier that can't be guessed.
	Nonce func() string
	// Parallel is the maximum number of jobs that the instance runs concurrently.
	Parallel int
	// MaxDelay is the maximum time between a job's acceptance and its deadline.
	MaxDelay time.Duration
	// Retention is the minimum time that an outcome is kept after the latest possible deadline.
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

// Deferrer stores and runs jobs. Run starts the jobs from one goroutine; each job runs in its own goroutine.
type Deferrer struct {
	options Options
	archive *archiver.Archiver
	done    chan struct{}
	// finished passes the IDs of this instance's finished jobs to Run.
	finished chan string
	running  sync.WaitGroup
	// jobContext is the context of the running jobs; cancelJobs cancels it.
	jobContext context.Context
	cancelJobs context.CancelFunc
}

// New returns a Deferrer. Unset optional fields of the options take their defaults.
func New(options Options) *Deferrer {
	options = options.withDefaults()
	jobContext, cancelJobs := context.WithCancel(context.Background())
	return &Deferrer{
		jobContext: jobContext, cancelJobs: cancelJobs, options: options,
		archive: archiver.New(archiver.Options{Get: options.Get, Commit: options.Commit}),
		done:    make(chan struct{}), finished: make(chan string, options.Parallel),
	}
}

// Close cancels the running jobs, releases them, and waits for Run to return.
func (df *Deferrer) Close() {
	df.cancelJobs()
	<-df.done
}

// Done returns a channel that is closed when Run has returned.
func (df *Deferrer) Done() <-chan struct{} { return df.done }

// Accept stores a request to be run by its deadline and returns the job's ID. An error is a *requester.Refusal.
func (df *Deferrer) Accept(ctx context.Context, rq *requester.Request) (id string, err error) {
	now := time.Now()
	latestStart := rq.Deadline().Add(-df.options.EstimateRunTime(rq))
	switch {
	case latestStart.Before(now):
		return "", requester.Refuse(requester.CodeDeadline, "the work can't be done by its deadline", 0)
	case rq.Deadline().Sub(now) > df.options.MaxDelay:
		return "", requester.Refuse(requester.CodeBadRequest, "the deadline is too far away", 0)
	case len(rq.Body()) > MaxBodyBytes:
		return "", requester.Refuse(requester.CodeTooLarge, "the body is too large to be kept", 0)
	}
	id = newID(df.options.Nonce(), now, df.epochLength())
	job := newJob(rq, id, latestStart)
	value, err := proto.Marshal(job)
	if err != nil {
		return "", requester.Refuse(requester.CodeInternal, err.Error(), 0)
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if err := df.create(ctx, id, value, rq.Body()); err != nil {
		return "", err
	}
	return id, nil
}

// create writes a job and its body. If the result of a write is unknown, it reads the job back.
func (df *Deferrer) create(ctx context.Context, id string, job, body []byte) error {
	maybeWritten := false
	for {
		_, err := df.options.Commit(ctx, storer.Swap(jobKey(id), job, 0), storer.Swap(bodyKey(id), body, 0))
		if err == nil {
			return nil
		}
		if !errors.Is(err, storer.ErrUnavailable) {
			maybeWritten = true
			if _, gerr := df.options.Get(ctx, jobKey(id)); gerr == nil {
				return nil
			}
		}
		if sleeper.For(ctx, retryInterval) {
			continue
		}
		if maybeWritten {
			return requester.RefuseUnknown(requester.CodeStoreUnavailable, "the work may have been accepted", storeRetryAfter)
		}
		return requester.Refuse(requester.CodeStoreUnavailable, "the work could not be stored", storeRetryAfter)
	}
}

// Status is the state of a job: its answer, its refusal, or the time after which to poll again.
type Status struct {
	answer  *wire.Answer
	refusal *requester.Refusal
	retry   time.Duration
}

// Answer returns the answer of a job that has one, otherwise nil.
func (st Status) Answer() *wire.Answer { return st.answer }

// Refusal returns the refusal that a job without an answer ended with; nil while the job is unfinished.
func (st Status) Refusal() *requester.Refusal { return st.refusal }

// RetryAfter returns the delay before the next poll of an unfinished job; zero if the job has finished.
func (st Status) RetryAfter() time.Duration { return st.retry }

// Lookup returns the state of an organisation's job. An error is a *requester.Refusal. A job of another organisation is
// reported as not found.
func (df *Deferrer) Lookup(ctx context.Context, organisation, id string) (Status, error) {
	notFound := requester.Refuse(requester.CodeNotFound, "there is no such work", 0)
	if !validID(id) {
		return Status{}, notFound
	}
	// The job is read before the outcome, since the transaction that writes the outcome deletes the job.
	job, _, err := df.readJob(ctx, id)
	if err == nil {
		if job.GetRequest().GetOrganisation() != organisation {
			return Status{}, notFound
		}
		return Status{retry: pollRetryAfter}, nil
	}
	if !errors.Is(err, storer.ErrNotFound) {
		return Status{}, lookupFailed()
	}
	status, err := df.readResult(ctx, organisation, id)
	if errors.Is(err, storer.ErrNotFound) {
		return Status{}, notFound
	}
	if err != nil {
		return Status{}, lookupFailed()
	}
	return status, nil
}

func lookupFailed() *requester.Refusal {
	return requester.Refuse(requester.CodeStoreUnavailable, "the work can't be looked up", storeRetryAfter)
}

// ownsShard reports whether this instance has the highest hash for a shard among the live instances, and so lists it.
func (df *Deferrer) ownsShard(shard int) bool {
	name := shardPrefix(shard)
	ownHash := xxhash.Sum64String(name + df.options.Instance)
	for _, member := range df.options.Members() {
		if xxhash.Sum64String(name+member) > ownHash {
			return false
		}
	}
	return true
}
