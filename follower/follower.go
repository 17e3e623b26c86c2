// Package follower keeps the calls of the platform's store few in a large fleet: in each failure domain a few instances
// read the store, and the others follow the copy of one of them. An instance reads the store itself as soon as the one
// that it follows does not answer, is behind, or is itself without the store.
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
	"lovagebank/pauser"
)

const (
	// instancesPerReader is how many instances of a failure domain one reader more is for.
	instancesPerReader = 16
	// askWait is how long a reader may wait for a change.
	askWait = time.Second
	// askPause is the time between an answer and the next call, so that changes in quick succession come together.
	askPause = 100 * time.Millisecond
	// behindPause is the time before a reader whose copy is older than the one here is asked again.
	behindPause = 500 * time.Millisecond
	// unknownPause is the time between two looks at whether the other instances are known.
	unknownPause = 20 * time.Millisecond
	// idlePause is the time between two looks for a reader.
	idlePause = 500 * time.Millisecond
	// patience is how long after its last answer a reader counts as followed: one call with its time-out.
	patience = 1700 * time.Millisecond
	// distrustTime is how long a reader that failed is not followed, and withoutStoreTime how long one that has lost the
	// store itself: it tells when it is back.
	distrustTime     = 5 * time.Second
	withoutStoreTime = time.Second
)

var (
	errWithoutStore = errors.New("the reader is without the store itself")
	errBehind       = errors.New("another instance knows of a newer change")
)

// Instance is an instance of this failure domain.
type Instance struct {
	Name    string
	Address string
}

// Options set a Follower up.
type Options struct {
	// Self is this instance's name.
	Self string
	// Domain returns the other instances of this failure domain.
	Domain func() []Instance
	// PeersKnown tells whether the other instances are known; nil means that they are from the start.
	PeersKnown func() bool
	// Fetch gets a reader's changes.
	Fetch func(ctx context.Context, address string, rq exchanger.MirrorRequest) (exchanger.Mirror, error)
	// Apply takes in a reader's answer; it tells for each copy whether it was taken.
	Apply func(exchanger.Mirror) [exchanger.Copies]bool
	// Logger takes a line when a reader is found or lost.
	Logger *log.Logger
}

// Follower follows one reader at a time.
type Follower struct {
	op   Options
	done chan struct{}
	// decided is closed once a reader has been asked, or it is known that the store is read here.
	decided chan struct{}
	decide  sync.Once

	mu sync.Mutex
	// reader is followed now; its name is empty while the store is read here.
	reader  Instance
	start   string
	marks   exchanger.Marks
	heardAt time.Time
	// distrusted tells until when a reader is not followed.
	distrusted map[string]time.Time
	// lapsed is closed when a copy isn't led any more before the patience ends.
	lapsed chan struct{}
}

// New makes a follower; Run does its work.
func New(op Options) *Follower {
	if op.PeersKnown == nil {
		op.PeersKnown = func() bool { return true }
	}
	return &Follower{
		op: op, done: make(chan struct{}), decided: make(chan struct{}), distrusted: make(map[string]time.Time), lapsed: make(chan struct{}),
	}
}

// Done is closed when Run has ended.
func (fo *Follower) Done() <-chan struct{} { return fo.done }

// Follows tells whether a copy is kept up to date by a reader, so that the store need not be read for it.
func (fo *Follower) Follows(index int) bool {
	left, _ := fo.left(index)
	return left > 0
}

// Wait returns once a copy is not led, or the context has ended.
func (fo *Follower) Wait(ctx context.Context, index int) {
	for {
		left, lapsed := fo.left(index)
		if left <= 0 {
			return
		}
		pauser.Until(ctx, lapsed, left)
		if ctx.Err() != nil {
			return
		}
	}
}

// AwaitDecision returns once this instance knows whether a reader keeps its copies up to date, or after the given time. An
// instance that starts need not read the store before.
func (fo *Follower) AwaitDecision(ctx context.Context, most time.Duration) {
	pauser.Until(ctx, fo.decided, most)
}

// left is how long a copy stays led without another answer, and what is closed if that ends sooner.
func (fo *Follower) left(index int) (time.Duration, <-chan struct{}) {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.marks[index] == 0 {
		return 0, fo.lapsed
	}
	return patience - time.Since(fo.heardAt), fo.lapsed
}

// DropReader says that an instance knows of a change that the reader has not told: the store is read here for a while.
func (fo *Follower) DropReader() {
	fo.mu.Lock()
	reader := fo.reader
	fo.mu.Unlock()
	if reader.Name != "" {
		fo.lose(reader, errBehind)
	}
}

// Run works until the context ends.
func (fo *Follower) Run(ctx context.Context) {
	defer close(fo.done)
	for ctx.Err() == nil && !fo.op.PeersKnown() {
		pauser.For(ctx, unknownPause)
	}
	for ctx.Err() == nil {
		reader, ok := fo.choose()
		if !ok {
			fo.leave()
			fo.decide.Do(func() { close(fo.decided) })
			pauser.For(ctx, idlePause)
			continue
		}
		pause, err := fo.ask(ctx, reader)
		fo.decide.Do(func() { close(fo.decided) })
		if err != nil && ctx.Err() == nil {
			fo.lose(reader, err)
		}
		pauser.For(ctx, pause)
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
		return time.Now().Before(fo.distrusted[in.Name])
	})
	if len(trusted) == 0 {
		return Instance{}, false
	}
	return trusted[xxhash.Sum64String(fo.op.Self)%uint64(len(trusted))], true
}

// ask gets a reader's changes once, and returns the time until the next call.
func (fo *Follower) ask(ctx context.Context, reader Instance) (time.Duration, error) {
	mi, err := fo.op.Fetch(ctx, reader.Address, fo.request(reader))
	if err != nil {
		return 0, err
	}
	if !mi.Current {
		return 0, errWithoutStore
	}
	taken := fo.op.Apply(mi)
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.reader != reader {
		// Behind came in between.
		return askPause, nil
	}
	if fo.start != mi.Start {
		fo.op.Logger.Info("store followed through reader", "peer", reader.Name, "peer-start", mi.Start)
	}
	fo.start, fo.heardAt = mi.Start, time.Now()
	pause := askPause
	for index := range fo.marks {
		fo.marks[index] = 0
		if taken[index] {
			fo.marks[index] = mi.Changes[index].Mark
			continue
		}
		pause = behindPause
	}
	if pause == behindPause {
		fo.lapse()
	}
	return pause, nil
}

// request says where this instance stands, from the beginning with a reader that it did not follow before.
func (fo *Follower) request(reader Instance) exchanger.MirrorRequest {
	fo.mu.Lock()
	defer fo.mu.Unlock()
	if fo.reader != reader {
		fo.reader, fo.start, fo.marks = reader, "", exchanger.Marks{}
	}
	return exchanger.MirrorRequest{Start: fo.start, Marks: fo.marks, Wait: askWait}
}

// lose stops following a reader for a while.
func (fo *Follower) lose(reader Instance, err error) {
	fo.mu.Lock()
	followed := fo.reader == reader && fo.start != ""
	distrust := distrustTime
	if errors.Is(err, errWithoutStore) {
		distrust = withoutStoreTime
	}
	fo.distrusted[reader.Name] = time.Now().Add(distrust)
	fo.forget()
	fo.mu.Unlock()
	if followed {
		fo.op.Logger.Warn("reader lost, reading the store", "peer", reader.Name, "error", err)
	}
}

// leave ends the following, as this instance is a reader or has none.
func (fo *Follower) leave() {
	fo.mu.Lock()
	followed := fo.start != ""
	fo.forget()
	fo.mu.Unlock()
	if followed {
		fo.op.Logger.Info("reading the store")
	}
}

// forget drops the reader; the lock is held.
func (fo *Follower) forget() {
	fo.reader, fo.start, fo.marks, fo.heardAt = Instance{}, "", exchanger.Marks{}, time.Time{}
	fo.lapse()
}

// lapse wakes those who wait for a copy; the lock is held.
func (fo *Follower) lapse() {
	close(fo.lapsed)
	fo.lapsed = make(chan struct{})
}
