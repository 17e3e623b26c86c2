// Package follower limits the calls to the platform's store in a large fleet: in each failure domain a few instances, the
// readers, read the store, and each other instance follows the copies of one reader. An instance reads the store itself as
// soon as its reader does not answer, is behind, or has lost the store.
package follower

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"lovagebank/exchanger"
	"lovagebank/sleeper"
)

const (
	// instancesPerReader is the number of instances of a failure domain per reader.
	instancesPerReader = 16
	// requestWait is how long a reader may wait for a change before it answers.
	requestWait = time.Second
	// requestPause is the time between an answer and the next request, so that changes in quick succession arrive together.
	requestPause = 100 * time.Millisecond
	// behindPause is the time before the next request to a reader whose copy is older than the local one.
	behindPause = 500 * time.Millisecond
	// unknownPause is the time between two checks whether the other instances are known.
	unknownPause = 20 * time.Millisecond
	// idlePause is the time between two attempts to choose a reader.
	idlePause = 500 * time.Millisecond
	// answerTimeout is how long after its last answer a reader counts as followed: one call with its timeout.
	answerTimeout = 1700 * time.Millisecond
	// distrustTime is how long a failed reader is not followed. withoutStoreTime is the same for a reader that has lost the
	// store; it is shorter because such a reader reports when the store is back.
	distrustTime     = 5 * time.Second
	withoutStoreTime = time.Second
)

var (
	errWithoutStore = errors.New("the reader has lost the store")
	errBehind       = errors.New("another instance knows a newer change")
)

// Instance is another instance of this failure domain.
type Instance struct {
	Name    string
	Address string
}

// Options configures a Follower.
type Options struct {
	// Self is this instance's name.
	Self string
	// Domain returns the other instances of this failure domain.
	Domain func() []Instance
	// PeersKnown reports whether the other instances are known; nil means that they are known from the start.
	PeersKnown func() bool
	// Fetch requests a reader's changes.
	Fetch func(ctx context.Context, address string, rq exchanger.MirrorRequest) (exchanger.MirrorResponse, error)
	// Apply applies a reader's answer; it reports for each copy whether it was applied.
	Apply func(exchanger.MirrorResponse) [exchanger.CopyCount]bool
	// Logger receives a line when a reader is first followed and when it is lost.
	Logger *log.Logger
}

// Follower follows at most one reader at a time.
type Follower struct {
	op   Options
	done chan struct{}
	// decided is closed once a reader has answered or failed, or once it is known that this instance reads the store.
	decided chan struct{}
	decide  sync.Once

	mu sync.Mutex
	// reader is the reader followed now; its name is empty while this instance reads the store.
	reader     Instance
	start      string
	cursors    exchanger.Cursors
	answeredAt time.Time
	// distrustedUntil is the time until which a reader is not followed.
	distrustedUntil map[string]time.Time
	// lapsed is closed when a copy stops being followed before answerTimeout has passed.
	lapsed chan struct{}
}

// New returns a Follower; Run does its work.
func New(op Options) *Follower {
	if op.PeersKnown == nil {
		op.PeersKnown = func() bool { return true }
	}
	return &Follower{
		op: op, done: make(chan struct{}), decided: make(chan struct{}), distrustedUntil: make(map[string]time.Time), lapsed: make(chan struct{}),
	}
}

// Done is closed when Run has ended.
func (fo *Follower) Done() <-chan struct{} { return fo.done }

// Follows reports whether a reader keeps a copy up to date, so that this instance need not read the store for it.
func (fo *Follower) Follows(index int) bool {
	remaining, _ := fo.followedFor(index)
	return remaining > 0
}

// Wait returns once no reader keeps a copy up to date, or the context has ended.
func (fo *Follower) Wait(ctx context.Context, index int) {
	for {
		remaining, lapsed := fo.followedFor(index)
		if remaining <= 0 {
			return
		}
		sleeper.Until(ctx, lapsed, remaining)
		if ctx.Err() != nil {
			return
		}
	}
}

// AwaitDecision returns once this instance knows whether a reader keeps its copies up to date, or after the given time. An
// instance that starts need not read the store before then.
func (fo *Follower) AwaitDecision(ctx context.Context, timeout time.Duration) {
	sleeper.Until(ctx, fo.decided, timeout)
}

// followedFor returns how long a copy stays followed without another answer, and a channel that is closed if it stops sooner.
func (fo *Follower) followedFor(index int) (time.Duration, <-chan struct{}) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.cursors[index] == 0 {
		return 0, fo.lapsed
	}
	return answerTimeout - time.Since(fo.answeredAt), fo.lapsed
}

// Reader returns the name of the reader that is followed; false if this instance reads the store itself.
func (fo *Follower) Reader() (string, bool) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	return fo.reader.Name, fo.start != ""
}

// DropReader drops the reader for a while, as another instance knows a change that the reader has not sent. This instance then
// reads the store itself.
func (fo *Follower) DropReader() {
	fo.mu.Lock()
	reader := fo.reader
	fo.mu.Unlock()
	if reader.Name != "" {
		fo.lose(reader, errBehind)
	}
}

// Run chooses and follows readers until the context ends.
func (fo *Follower) Run(ctx context.Context) {
	defer close(fo.done)
	for ctx.Err() == nil && !fo.op.PeersKnown() {
		sleeper.For(ctx, unknownPause)
	}
	for ctx.Err() == nil {
		reader, ok := fo.choose()
		if !ok {
			fo.unfollow()
			fo.decide.Do(func() { close(fo.decided) })
			sleeper.For(ctx, idlePause)
			continue
		}
		pause, err := fo.follow(ctx, reader)
		fo.decide.Do(func() { close(fo.decided) })
		if err != nil && ctx.Err() == nil {
			fo.lose(reader, err)
		}
		sleeper.For(ctx, pause)
	}
}

// choose returns the reader to follow; false if this instance reads the store itself.
func (fo *Follower) choose() (Instance, bool) {
	members := append(fo.op.Domain(), Instance{Name: fo.op.Self})
	slices.SortFunc(members, func(a, b Instance) int { return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)) })
	readers := members[:1+(len(members)-1)/instancesPerReader]
	if slices.ContainsFunc(readers, func(in Instance) bool { return in.Name == fo.op.Self }) {
		return Instance{}, false
	}
	fo.mu.Lock()
	defer fo.mu.Unlock()
	trusted := slices.DeleteFunc(slices.Clone(readers), func(in Instance) bool {
		return time.Now().Before(fo.distrustedUntil[in.Name])
	})
	if len(trusted) == 0 {
		return Instance{}, false
	}
	return trusted[xxhash.Sum64String(fo.op.Self)%uint64(len(trusted))], true
}

// follow requests a reader's changes once and returns the time until the next request.
func (fo *Follower) follow(ctx context.Context, reader Instance) (time.Duration, error) {
	mi, err := fo.op.Fetch(ctx, reader.Address, fo.request(reader))
	if err != nil {
		return 0, err
	}
	if !mi.Current {
		return 0, errWithoutStore
	}
	applied := fo.op.Apply(mi)
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.reader != reader {
		// DropReader was called in the meantime.
		return requestPause, nil
	}
	if fo.start != mi.Start {
		fo.op.Logger.Info("store followed through reader", "peer", reader.Name, "peer-start", mi.Start)
	}
	fo.start, fo.answeredAt = mi.Start, time.Now()
	pause := requestPause
	for index := range fo.cursors {
		fo.cursors[index] = 0
		if applied[index] {
			fo.cursors[index] = mi.Changes[index].Cursor
			continue
		}
		pause = behindPause
	}
	if pause == behindPause {
		fo.wakeWaiters()
	}
	return pause, nil
}

// request returns the next request to a reader, with this instance's cursors. For a reader that it did not follow before, the
// cursors are zero.
func (fo *Follower) request(reader Instance) exchanger.MirrorRequest {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.reader != reader {
		fo.reader, fo.start, fo.cursors = reader, "", exchanger.Cursors{}
	}
	return exchanger.MirrorRequest{Start: fo.start, Cursors: fo.cursors, Wait: requestWait}
}

// lose stops following a reader for a while.
func (fo *Follower) lose(reader Instance, err error) {
	fo.mu.Lock()
	followed := fo.reader == reader && fo.start != ""
	duration := distrustTime
	if errors.Is(err, errWithoutStore) {
		duration = withoutStoreTime
	}
	fo.distrustedUntil[reader.Name] = time.Now().Add(duration)
	fo.reset()
	fo.mu.Unlock()
	if followed {
		fo.op.Logger.Warn("reader lost, reading the store", "peer", reader.Name, "error", err)
	}
}

// unfollow stops following, as this instance is a reader itself or has no reader to follow.
func (fo *Follower) unfollow() {
	fo.mu.Lock()
	followed := fo.start != ""
	fo.reset()
	fo.mu.Unlock()
	if followed {
		fo.op.Logger.Info("reading the store")
	}
}

// reset drops the reader; the caller holds the lock.
func (fo *Follower) reset() {
	fo.reader, fo.start, fo.cursors, fo.answeredAt = Instance{}, "", exchanger.Cursors{}, time.Time{}
	fo.wakeWaiters()
}

// wakeWaiters wakes all waiters; the caller holds the lock.
func (fo *Follower) wakeWaiters() {
	close(fo.lapsed)
	fo.lapsed = make(chan struct{})
}
