// Package watcher keeps a copy of the store's keys below a prefix up to date: it lists them once, follows their
// changes, and lists them again when the store has dropped the history in between. A key that disappears around an
// outage of the store is kept for a while, as its writer may only have lost its lease.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/pauser"
	"lovagebank/platform"
)

const (
	// firstBackoff and maxBackoff bound the pause after a failed call.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	// recheck is the time between two looks at keys whose removal waits.
	recheck = 50 * time.Millisecond
	// keepAfterRegain is how long after the store answers again a key that disappears is kept at least: writers that live
	// come back within two seconds of its return, which is before that answer.
	keepAfterRegain = 2 * time.Second
	// keepAfterStep is how long after the store came back from an older copy a key that disappears is kept: its writer writes
	// it again.
	keepAfterStep = 5 * time.Second
	// tryWait is how long a store that is lost is asked to wait for changes: it would tell of its return only with them.
	tryWait = time.Millisecond
	// lateness is how much later than due an answer of the store may come.
	lateness = 400 * time.Millisecond
)

// errRenewed tells that a call was ended so that another begins.
var errRenewed = errors.New("the call is begun anew")

// Pace bounds the calls of the store.
type Pace struct {
	// Wait is how long the store is asked to wait for changes.
	Wait time.Duration
	// Pause is the time after an answer with changes before the next call, so that changes in quick succession come in
	// one answer.
	Pause time.Duration
}

// Options set a Watcher up.
type Options struct {
	// Prefix begins the keys.
	Prefix string
	// List and Watch read the store.
	List  func(ctx context.Context, prefix string, stale bool) (platform.Page, error)
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) (platform.Page, error)
	// Pace bounds the calls.
	Pace Pace
	// Failures keeps when the store last failed a call; List and Watch are noted there by whoever makes the calls.
	Failures *FailureTracker
	// KeepAfterFailure is how long after a failure of the store a key that disappears is kept: its writer may only have lost its
	// lease, and needs time to come back.
	KeepAfterFailure time.Duration
	// Await returns once no peer's copy is followed in place of the store, or the context has ended; nil means at once.
	Await func(ctx context.Context)
	// Changed is told of each change, in order; an item that is Deleted is gone.
	Changed func(platform.Item)
	// Recovered is told when the store answers again; nil tells nobody.
	Recovered func()
	// Listed is told after each reading of all keys, once Changed has been told of them; nil tells nobody.
	Listed func()
	// Logger takes a line when the store is lost or regained.
	Logger *log.Logger
}

// Watcher follows one prefix.
type Watcher struct {
	op   Options
	done chan struct{}

	telling sync.Mutex

	mu       sync.Mutex
	items    map[string]platform.Item
	removals map[string]platform.Item
	history  history
	revision int64
	listed   bool
	// relist tells that the keys have to be read anew, as changes after the revision cannot be had.
	relist bool
	// steppedBackAt is when the store was found to have come back from an older copy.
	steppedBackAt time.Time
	// regained is closed when the store answers again; it is not nil while the store is lost.
	regained   chan struct{}
	regainedAt time.Time
	// heardAt is when the store last answered.
	heardAt time.Time
	// renew ends the call that waits for changes; it is not nil while one does.
	renew context.CancelFunc
}

// New makes a watcher; Run does its work.
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
		op:       op,
		done:     make(chan struct{}),
		items:    make(map[string]platform.Item),
		removals: make(map[string]platform.Item),
		history:  newHistory(),
	}
}

// Done is closed when Run has ended.
func (wa *Watcher) Done() <-chan struct{} { return wa.done }

// Revision is the store's revision up to which the copy is known to be complete.
func (wa *Watcher) Revision() int64 {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	return wa.revision
}

// Current tells whether the store itself keeps this copy up to date: it has answered as often as it was asked to.
func (wa *Watcher) Current() bool { return wa.CurrentFor() > 0 }

// CurrentFor is how long the store may still be silent for this copy to count as kept up to date by it.
func (wa *Watcher) CurrentFor() time.Duration {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if !wa.listed || wa.regained != nil {
		return 0
	}
	return max(wa.op.Pace.Wait+wa.op.Pace.Pause+lateness-time.Since(wa.heardAt), 0)
}

// Listed tells whether all keys have been read at least once.
func (wa *Watcher) Listed() bool {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	return wa.listed
}

// AwaitRecovery waits while this watcher has lost the store, at most for a time. Other watchers of the same store need not
// try it meanwhile.
func (wa *Watcher) AwaitRecovery(ctx context.Context, most time.Duration) {
	wa.mu.Lock()
	regained := wa.regained
	wa.mu.Unlock()
	if regained == nil {
		return
	}
	pauser.Until(ctx, regained, most)
}

// Items returns the copy.
func (wa *Watcher) Items() []platform.Item {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	items := make([]platform.Item, 0, len(wa.items))
	for _, it := range wa.items {
		items = append(items, it)
	}
	return items
}

// Run works until the context ends.
func (wa *Watcher) Run(ctx context.Context) {
	defer close(wa.done)
	go wa.expire(ctx)
	backoff := firstBackoff
	for ctx.Err() == nil {
		wa.op.Await(ctx)
		began := time.Now()
		err := wa.once(ctx)
		if err == nil {
			backoff = firstBackoff
			continue
		}
		if errors.Is(err, errRenewed) {
			continue
		}
		if wa.op.Failures.AnsweredSince(began) {
			// The store is there, only this call was lost.
			wa.op.Logger.Info("call of the store lost, asking again", "prefix", wa.op.Prefix, "error", err)
			pauser.For(ctx, firstBackoff)
			continue
		}
		wa.lose(ctx, err)
		pause := time.Duration((0.5 + rand.Float64()) * float64(backoff))
		pauser.For(ctx, pause)
		backoff = min(2*backoff, maxBackoff)
	}
}

// once lists the keys, or waits for changes after the last known revision.
func (wa *Watcher) once(ctx context.Context) error {
	wa.mu.Lock()
	after, listed, wait := wa.revision, wa.listed && !wa.relist, wa.op.Pace.Wait
	if wa.regained != nil {
		wait = tryWait
	}
	wa.mu.Unlock()
	if !listed {
		pa, err := wa.op.List(ctx, wa.op.Prefix, false)
		if err != nil {
			return err
		}
		wa.regain()
		wa.takeListing(pa, false)
		return nil
	}
	pa, err := wa.wait(ctx, after, wait)
	if errors.Is(err, platform.ErrCompacted) {
		wa.op.Logger.Warn("history dropped, listing again", "prefix", wa.op.Prefix, "after", after)
		wa.mu.Lock()
		wa.relist = true
		wa.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	wa.regain()
	wa.takeEvents(pa)
	if len(pa.Items) > 0 {
		pauser.For(ctx, wa.op.Pace.Pause)
	}
	return nil
}

// wait waits for changes. Renew ends it.
func (wa *Watcher) wait(ctx context.Context, after int64, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wa.mu.Lock()
	wa.renew = cancel
	wa.mu.Unlock()
	pa, err := wa.op.Watch(ctx, wa.op.Prefix, after, wait)
	wa.mu.Lock()
	wa.renew = nil
	wa.mu.Unlock()
	if ctx.Err() != nil {
		return platform.Page{}, errRenewed
	}
	return pa, err
}

// RestartWatch ends a call that waits for changes and begins another. A call that was begun before the store was away may wait on
// a connection that has gone silent.
func (wa *Watcher) RestartWatch() {
	wa.mu.Lock()
	renew := wa.renew
	wa.mu.Unlock()
	if renew != nil {
		renew()
	}
}

func (wa *Watcher) lose(ctx context.Context, err error) {
	wa.mu.Lock()
	first := wa.regained == nil
	if first {
		wa.regained = make(chan struct{})
	}
	wa.mu.Unlock()
	if first && ctx.Err() == nil {
		wa.op.Logger.Warn("store lost", "prefix", wa.op.Prefix, "revision", wa.Revision(), "error", err)
	}
}

func (wa *Watcher) regain() {
	wa.mu.Lock()
	was := wa.regained != nil
	wa.heardAt = time.Now()
	if was {
		wa.endLoss()
	}
	wa.mu.Unlock()
	if was {
		wa.op.Logger.Info("store regained", "prefix", wa.op.Prefix, "revision", wa.Revision())
		wa.op.Recovered()
	}
}

// MarkReachable notes that a reader keeps this copy up to date, so that the store is there. What is read of it later does not tell of
// its return.
func (wa *Watcher) MarkReachable() {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if wa.regained != nil {
		wa.endLoss()
	}
}

// StoreRolledBack notes that the store has come back from an older copy. All keys are read again; none that the copy lacks is
// taken for removed at once.
func (wa *Watcher) StoreRolledBack() {
	wa.mu.Lock()
	wa.steppedBackAt = time.Now()
	wa.mu.Unlock()
	wa.RestartWatch()
}

// endLoss notes that the store is there again; the lock is held.
func (wa *Watcher) endLoss() {
	close(wa.regained)
	wa.regained, wa.regainedAt = nil, time.Now()
}

func (wa *Watcher) takeListing(pa platform.Page, certain bool) {
	there := make(map[string]bool, len(pa.Items))
	for _, it := range pa.Items {
		there[it.Key] = true
		wa.take(it, certain)
	}
	for _, it := range wa.Items() {
		if !there[it.Key] {
			wa.take(platform.Item{Key: it.Key, Revision: max(it.Revision, pa.Revision), Deleted: true}, certain)
		}
	}
	wa.mu.Lock()
	wa.listed, wa.relist, wa.revision = true, false, max(wa.revision, pa.Revision)
	wa.mu.Unlock()
	wa.op.Listed()
}

func (wa *Watcher) takeEvents(pa platform.Page) {
	for _, it := range pa.Items {
		wa.take(it, false)
	}
	wa.mu.Lock()
	wa.revision = max(wa.revision, pa.Revision)
	wa.mu.Unlock()
}

// mayReturn tells whether a key that disappears now may only be a lapsed lease; the lock is held.
func (wa *Watcher) mayReturn() bool {
	if !wa.regainedAt.IsZero() && time.Since(wa.regainedAt) < keepAfterRegain {
		return true
	}
	if !wa.steppedBackAt.IsZero() && time.Since(wa.steppedBackAt) < keepAfterStep {
		return true
	}
	return wa.op.Failures.FailedWithin(wa.op.KeepAfterFailure)
}

// take takes in one change, unless a newer one is known. A removal that is not certain waits around an outage.
func (wa *Watcher) take(it platform.Item, certain bool) {
	// Changes come from the store and from peers; they are told in the order in which they were noted.
	wa.telling.Lock()
	defer wa.telling.Unlock()
	wa.mu.Lock()
	news := wa.note(it, certain)
	wa.mu.Unlock()
	if news {
		wa.op.Changed(it)
	}
}

// note changes the copy; false where nothing has changed yet.
func (wa *Watcher) note(it platform.Item, certain bool) bool {
	known, ok := wa.items[it.Key]
	switch {
	case it.Deleted && (!ok || it.Revision < known.Revision):
		return false
	case it.Deleted && !certain && wa.mayReturn():
		wa.removals[it.Key] = it
		return false
	case it.Deleted:
		delete(wa.items, it.Key)
	case ok && it.Revision < known.Revision:
		return false
	case ok && it.Revision == known.Revision:
		delete(wa.removals, it.Key)
		return false
	default:
		wa.items[it.Key] = it
	}
	delete(wa.removals, it.Key)
	wa.history.note(it)
	return true
}

// expire removes keys whose writers have not come back.
func (wa *Watcher) expire(ctx context.Context) {
	for pauser.For(ctx, recheck) {
		wa.mu.Lock()
		if wa.mayReturn() {
			wa.mu.Unlock()
			continue
		}
		gone := wa.removals
		wa.removals = make(map[string]platform.Item)
		wa.mu.Unlock()
		for _, it := range gone {
			wa.op.Logger.Warn("entry gone after an outage of the store", "key", it.Key, "revision", it.Revision)
			wa.take(it, true)
		}
	}
}
