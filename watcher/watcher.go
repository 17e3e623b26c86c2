// Package watcher keeps a copy of the store's keys under a prefix up to date. It lists the keys once, watches for changes,
// and lists the keys again when the store has dropped the history in between. A key that disappears around an outage of
// the store is kept for a while, as its writer may only have lost its lease.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/platform"
	"lovagebank/sleeper"
)

const (
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	// ProbeWait is how long an unreachable store, or one that has cut a watch, is asked to wait for changes. With a longer
	// wait its answer, and so the recovery, would be seen only once something changes.
	ProbeWait = time.Millisecond
	// maxAnswerDelay is how late an answer of the store may be.
	maxAnswerDelay = 400 * time.Millisecond
)

// errRestarted means that a watch call was cancelled so that a new one begins.
var errRestarted = errors.New("the watch call is restarted")

// Pace sets the timing of the calls to the store.
type Pace struct {
	// Wait is how long the store is asked to wait for changes.
	Wait time.Duration
	// Pause is the time between an answer with changes and the next call. It lets one answer carry several changes in quick
	// succession.
	Pause time.Duration
}

// Options configures a Watcher.
type Options struct {
	// Prefix is the prefix of the watched keys.
	Prefix string
	// List returns the keys under a prefix. Watch returns the changes after a revision and waits for one if there is none.
	List  func(ctx context.Context, prefix string, stale bool) (platform.Page, error)
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Page, error)
	// Pace sets the timing of these calls.
	Pace Pace
	// Failures records the results of store calls. The functions List and Watch must update it, the watcher only reads it.
	// A watch that is cut while it waits for longer than ProbeWait is no failure: the store may do so, and the next call,
	// which does not wait, tells whether it fails.
	Failures *FailureTracker
	// KeepAfterFailure is how long after a failure of the store a key that disappears is kept. Its writer may only have
	// lost its lease and needs time to come back.
	KeepAfterFailure time.Duration
	// Await returns once this watcher may call the store, for example because no peer's copy is followed in its place, or
	// once the context has ended. Nil means without waiting.
	Await func(ctx context.Context)
	// Changed is called with each change, in order; an item that is Deleted was removed.
	Changed func(platform.Item)
	// Recovered is called when the store answers again after it was unreachable; it may be nil.
	Recovered func()
	// Listed is called after each listing of all keys, once Changed has been called for its changes; it may be nil.
	Listed func()
	// Logger receives a line when the store becomes unreachable or reachable again.
	Logger *log.Logger
}

// Watcher keeps a copy of the keys under one prefix.
type Watcher struct {
	op   Options
	done chan struct{}

	// notifyMu serializes the calls of Changed.
	notifyMu sync.Mutex

	mu               sync.Mutex
	items            map[string]platform.Item
	deferredRemovals map[string]deferredRemoval
	history          history
	revision         int64
	listed           bool
	// relist means that all keys have to be listed again, because the changes after the revision are not available.
	relist bool
	// rolledBackAt is when a store rollback was last detected.
	rolledBackAt time.Time
	// recovered is closed when the store answers again; it is non-nil while the store is unreachable.
	recovered   chan struct{}
	recoveredAt time.Time
	// answeredAt is when the store last answered.
	answeredAt time.Time
	// wasCut is true after a call that waited for changes was cut, until the store answers. Only Run uses it.
	wasCut bool
	// cancelWatch cancels the call that waits for changes; it is non-nil while there is one.
	cancelWatch context.CancelFunc
}

// New returns a watcher, which starts its work in Run.
func New(op Options) *Watcher {
	if op.Await == nil {
		op.Await = func(context.Context) {}
	}
	if op.Listed == nil {
		op.Listed = func() {}
	}
	if op.Recovered == nil {
		op.Recovered = func() {}
	}
	return &Watcher{
		op:               op,
		done:             make(chan struct{}),
		items:            make(map[string]platform.Item),
		deferredRemovals: make(map[string]deferredRemoval),
		history:          newHistory(),
	}
}

// Done returns a channel that is closed when Run has ended.
func (wa *Watcher) Done() <-chan struct{} { return wa.done }

// Revision returns the store revision up to which the copy is known to be complete.
func (wa *Watcher) Revision() int64 {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	return wa.revision
}

// Current reports whether the store itself keeps this copy up to date, that is whether its answers arrive on time.
func (wa *Watcher) Current() bool { return wa.CurrentFor() > 0 }

// CurrentFor returns how much longer this copy counts as kept up to date by the store if no further answer arrives.
func (wa *Watcher) CurrentFor() time.Duration {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if !wa.listed || wa.recovered != nil {
		return 0
	}
	return max(wa.op.Pace.Wait+wa.op.Pace.Pause+maxAnswerDelay-time.Since(wa.answeredAt), 0)
}

// Listed reports whether all keys have been read at least once.
func (wa *Watcher) Listed() bool {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	return wa.listed
}

// AwaitRecovery waits while the store is unreachable for this watcher, but at most for the given time. Other watchers of the
// same store need not probe it meanwhile.
func (wa *Watcher) AwaitRecovery(ctx context.Context, maxWait time.Duration) {
	wa.mu.Lock()
	recovered := wa.recovered
	wa.mu.Unlock()
	if recovered == nil {
		return
	}
	sleeper.Until(ctx, recovered, maxWait)
}

// Items returns all items of the copy, in no particular order.
func (wa *Watcher) Items() []platform.Item {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	items := make([]platform.Item, 0, len(wa.items))
	for _, it := range wa.items {
		items = append(items, it)
	}
	return items
}

// Run keeps the copy up to date until the context ends.
func (wa *Watcher) Run(ctx context.Context) {
	defer close(wa.done)
	go wa.applyDeferredRemovals(ctx)
	backoff := firstBackoff
	for ctx.Err() == nil {
		wa.op.Await(ctx)
		began := time.Now()
		err := wa.listOrWatch(ctx)
		if err == nil {
			backoff = firstBackoff
			continue
		}
		if errors.Is(err, errRestarted) {
			continue
		}
		if errors.Is(err, platform.ErrWatchCut) && !wa.wasCut {
			wa.wasCut = true
			if time.Since(began) < firstBackoff {
				sleeper.For(ctx, firstBackoff)
			}
			continue
		}
		if wa.op.Failures.AnsweredSince(began) {
			// The store is reachable, only this call failed.
			wa.op.Logger.Info("store call failed, retrying", "prefix", wa.op.Prefix, "error", err)
			sleeper.For(ctx, firstBackoff)
			continue
		}
		wa.markUnreachable(ctx, err)
		pause := time.Duration((0.5 + rand.Float64()) * float64(backoff))
		sleeper.For(ctx, pause)
		backoff = min(2*backoff, maxBackoff)
	}
}

// listOrWatch lists all keys or waits for changes after the last known revision, and applies the result.
func (wa *Watcher) listOrWatch(ctx context.Context) error {
	wa.mu.Lock()
	after, listed, wait := wa.revision, wa.listed && !wa.relist, wa.op.Pace.Wait
	if wa.recovered != nil || wa.wasCut {
		wait = ProbeWait
	}
	wa.mu.Unlock()
	if !listed {
		pa, err := wa.op.List(ctx, wa.op.Prefix, false)
		if err != nil {
			return err
		}
		wa.recordAnswer()
		wa.applyListing(pa)
		return nil
	}
	pa, err := wa.waitForChanges(ctx, after, wait)
	if errors.Is(err, platform.ErrCompacted) {
		wa.op.Logger.Warn("store history dropped, listing again", "prefix", wa.op.Prefix, "after", after)
		wa.mu.Lock()
		wa.relist = true
		wa.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	wa.wasCut = false
	wa.recordAnswer()
	wa.applyEvents(pa)
	if len(pa.Items) > 0 {
		sleeper.For(ctx, wa.op.Pace.Pause)
	}
	return nil
}

// waitForChanges waits for changes after a revision. RestartWatch cancels the wait.
func (wa *Watcher) waitForChanges(ctx context.Context, after int64, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wa.mu.Lock()
	wa.cancelWatch = cancel
	wa.mu.Unlock()
	pa, err := wa.op.Watch(ctx, wa.op.Prefix, after, wait)
	wa.mu.Lock()
	wa.cancelWatch = nil
	wa.mu.Unlock()
	if ctx.Err() != nil {
		return platform.Page{}, errRestarted
	}
	return pa, err
}

// RestartWatch cancels a call that waits for changes, so that Run begins a new one. A call that began before an outage of the
// store may wait on a connection that has gone silent.
func (wa *Watcher) RestartWatch() {
	wa.mu.Lock()
	cancel := wa.cancelWatch
	wa.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (wa *Watcher) markUnreachable(ctx context.Context, err error) {
	wa.mu.Lock()
	first := wa.recovered == nil
	if first {
		wa.recovered = make(chan struct{})
	}
	wa.mu.Unlock()
	if first && ctx.Err() == nil {
		wa.op.Logger.Warn("store unreachable", "prefix", wa.op.Prefix, "revision", wa.Revision(), "error", err)
	}
}

func (wa *Watcher) recordAnswer() {
	wa.mu.Lock()
	wasUnreachable := wa.recovered != nil
	wa.answeredAt = time.Now()
	if wasUnreachable {
		wa.markRecovered()
	}
	wa.mu.Unlock()
	if wasUnreachable {
		wa.op.Logger.Info("store reachable again", "prefix", wa.op.Prefix, "revision", wa.Revision())
		wa.op.Recovered()
	}
}

// MarkReachable records that a reader, a peer that reads the store, keeps this copy up to date, which means that the store is
// reachable. A later answer of the store to this watcher does not count as its recovery.
func (wa *Watcher) MarkReachable() {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if wa.recovered != nil {
		wa.markRecovered()
	}
}

// StoreRolledBack records a store rollback: the store has come back from an older copy of its data. All keys are listed
// again, and keys that the older copy lacks are not removed at once.
func (wa *Watcher) StoreRolledBack() {
	wa.mu.Lock()
	wa.rolledBackAt = time.Now()
	wa.mu.Unlock()
	wa.RestartWatch()
}

// markRecovered records that the store is reachable again; the lock is held.
func (wa *Watcher) markRecovered() {
	close(wa.recovered)
	wa.recovered, wa.recoveredAt = nil, time.Now()
}

// source says how far a change may be believed.
type source struct {
	// complete is the revision up to which the change's sender knew all keys, if it told all of them; 0 for single changes.
	complete int64
	// certain means that removals are not deferred.
	certain bool
}

// applyListing applies a listing of all keys by the store.
func (wa *Watcher) applyListing(pa platform.Page) {
	wa.applyAll(pa, source{complete: pa.Revision})
	wa.completeTo(pa.Revision, true)
	wa.op.Listed()
}

// applyAll applies all keys of a listing or a peer's copy, and removes those that it lacks.
func (wa *Watcher) applyAll(pa platform.Page, so source) {
	present := make(map[string]bool, len(pa.Items))
	for _, it := range pa.Items {
		present[it.Key] = true
		wa.apply(it, so)
	}
	for _, it := range wa.Items() {
		if !present[it.Key] && it.Revision <= pa.Revision {
			wa.apply(platform.Item{Key: it.Key, Revision: pa.Revision, Deleted: true}, so)
		}
	}
}

func (wa *Watcher) applyEvents(pa platform.Page) {
	for _, it := range pa.Items {
		wa.apply(it, source{})
	}
	wa.completeTo(pa.Revision, false)
}

// completeTo records that all changes up to a revision have been applied; listed means that they were of all keys.
func (wa *Watcher) completeTo(revision int64, listed bool) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.revision = max(wa.revision, revision)
	if listed {
		wa.listed, wa.relist = true, false
	}
}

// apply applies one change unless a newer one is known. A removal that is not certain is deferred around an outage.
func (wa *Watcher) apply(it platform.Item, so source) {
	// Changes come from the store and from peers. Changed must be called in the order in which they were recorded.
	wa.notifyMu.Lock()
	defer wa.notifyMu.Unlock()
	wa.mu.Lock()
	changed := wa.record(it, so)
	wa.mu.Unlock()
	if changed {
		wa.op.Changed(it)
	}
}

// record updates the copy and reports whether it changed. A deferred removal changes nothing yet. It is given up only for
// a later state of its key.
func (wa *Watcher) record(it platform.Item, so source) bool {
	current, ok := wa.items[it.Key]
	switch {
	case it.Deleted && (!ok || it.Revision < current.Revision):
		return false
	case it.Deleted && !so.certain && wa.deferRemoval(it):
		return false
	case it.Deleted:
		delete(wa.items, it.Key)
	case !ok && wa.removedSince(it, so):
		return false
	case ok && it.Revision < current.Revision:
		return false
	case ok && it.Revision == current.Revision:
		wa.confirm(it, so)
		return false
	default:
		wa.items[it.Key] = it
	}
	delete(wa.deferredRemovals, it.Key)
	wa.history.record(it)
	return true
}
