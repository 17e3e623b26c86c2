// Package resumer keeps track of where resumable streams began: at which service, and at which version of the targets'
// software. A stream may go on only at the version that began it. Its caller may take it up again at any instance, also
// after all instances have been lost, so the knowledge lies in the store.
//
// All instances agree on base origins, one for the prefix of each route. A stream that begins elsewhere gets an entry in
// the store before its first event is passed on; a stream without an entry began at the base origin of the longest prefix
// that covers its host and path. So streams cost no call to the store while one version serves. The base origin of a place
// does not depend on the routes that there are, and it changes only after it has served no stream there for longer than
// one may be taken up again: a new prefix takes over that of the prefix around it, and that of a route that was removed
// stays.
package resumer

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"lovagebank/platform"
	"lovagebank/wire"
)

const (
	// minHorizon is the least time for which a stream may still be taken up again after its last target has left, and
	// horizonTimeouts that time in timeouts of its route: the attempt that breaks off lasts for one at most, and its
	// caller tries again for as long.
	minHorizon      = 30 * time.Second
	horizonTimeouts = 2
	// maxStreams limits the streams whose origins are kept in memory.
	maxStreams = 1 << 14
	// recordTimeout limits the wait for a stream's entry, and lookupTimeout that for reading one.
	recordTimeout = time.Second
	lookupTimeout = 500 * time.Millisecond
)

// ErrUnknown means that it is not known where a stream began, so that it must not go on anywhere.
var ErrUnknown = errors.New("it is not known where the stream began")

// errNotRecorded means that the store has not confirmed the entry of a stream in time.
var errNotRecorded = errors.New("the store has not confirmed where the stream began")

// Origin is where a stream began.
type Origin struct {
	Service string
	// Software is the version of the software of the target that began the stream.
	Software string
}

// Source is how the origin of a stream was found, for logs.
type Source string

const (
	// FromMemory means that this instance has seen the stream.
	FromMemory Source = "memory"
	// FromEntry means that the store has an entry of the stream.
	FromEntry Source = "entry"
	// FromBase means that the stream has no entry and the store has a base origin for it.
	FromBase Source = "base"
	// FromSole means that no other origin has served for longer than streams last.
	FromSole Source = "only-origin"
)

// Options configures a Resumer.
type Options struct {
	// Get reads a key of the store, and List all keys below a prefix. Transact executes a transaction.
	Get      func(ctx context.Context, key string) (platform.Item, error)
	List     func(ctx context.Context, prefix string) (platform.Page, error)
	Transact func(context.Context, platform.Transaction) (int64, error)
	// Era returns the newest known era of the store.
	Era func() int64
	// Routes returns the routes with streams.
	Routes func() []Route
	// UpToDate reports whether the copies of the store's keys are complete and current. Nil means that they are.
	UpToDate func() bool
	// InStep reports whether this instance knows all targets that other instances know: it hears from all of them, and
	// none has a newer copy of the store's keys. Nil means that it does.
	InStep func() bool
	// Current reports whether the copies of the store's keys are kept up to date, so that what another instance has
	// written arrives soon. Nil means that they are.
	Current func() bool
	// StoreFailed reports whether calls to the store failed within the given time.
	StoreFailed func(time.Duration) bool
	// Random returns a number in [0, 1).
	Random func() float64
	// Logger receives a line for each change of a base origin, and for entries that could not be written.
	Logger *log.Logger
}

// Resumer keeps the origins of streams. It is safe for concurrent use.
type Resumer struct {
	op   Options
	wake chan struct{}
	done chan struct{}

	mu        sync.Mutex
	startedAt time.Time
	// currentAt is when the copies of the store's keys were last known to be current.
	currentAt time.Time
	// longest is the longest timeout that a route with streams has had.
	longest time.Duration
	streams map[string]knownStream
	// bases holds what is known of base origins, by the key of the prefix. basesDueAt is when this instance writes those
	// that are to change; zero if none are.
	bases      map[string]*baseOrigin
	basesDueAt time.Time
	// pending are the entries that are to be written, and written those that are to be deleted later, oldest first.
	pending []*Record
	written []writtenEntry
	// era is the store's era as last seen, and eraSince when this instance first saw it. eraChanged is true once it has
	// seen an earlier one.
	era        int64
	eraSince   time.Time
	eraChanged bool
}

// knownStream is the origin of a stream that this instance has seen.
type knownStream struct {
	origin Origin
	at     time.Time
}

// writtenEntry is an entry that this instance has written.
type writtenEntry struct {
	key string
	at  time.Time
}

// New returns a Resumer; Run does its work.
func New(op Options) *Resumer {
	for _, report := range []*func() bool{&op.UpToDate, &op.InStep, &op.Current} {
		if *report == nil {
			*report = func() bool { return true }
		}
	}
	return &Resumer{
		op: op, wake: make(chan struct{}, 1), done: make(chan struct{}), startedAt: time.Now(), eraSince: time.Now(),
		streams: make(map[string]knownStream), bases: make(map[string]*baseOrigin),
	}
}

// Done returns a channel that is closed when Run has ended.
func (re *Resumer) Done() <-chan struct{} { return re.done }

// Run writes entries and maintains the base origins until the context ends.
func (re *Resumer) Run(ctx context.Context) {
	defer close(re.done)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { re.maintain(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-re.wake:
			re.writePending(ctx)
		}
	}
}

// Begin records where a stream at a place begins. Its first event may be passed on once Wait has returned without an
// error. The stream gets an entry in the store unless it begins at the base origin.
func (re *Resumer) Begin(id string, pl Place, og Origin) *Record {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.remember(id, og)
	return re.record(id, pl, og)
}

// Note records where a stream begins that may not be taken up now, but may be once the operators change its route. Nobody
// waits for its entry, and this instance keeps nothing of it.
func (re *Resumer) Note(id string, pl Place, og Origin) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_ = re.record(id, pl, og)
}

// record returns the record of a stream, and has its entry written if it needs one; the lock is held.
func (re *Resumer) record(id string, pl Place, og Origin) *Record {
	rc := &Record{id: id, origin: og, confirmed: make(chan struct{}), until: time.Now().Add(recordTimeout)}
	switch {
	case re.isBase(pl, og):
		close(rc.confirmed)
		return rc
	case len(platform.StreamPrefix)+len(id) > platform.MaxKeyBytes:
		// The store would refuse the entry, and with it all that are written in the same call.
		rc.until = time.Now()
		return rc
	}
	re.pending = append(re.pending, rc)
	select {
	case re.wake <- struct{}{}:
	default:
	}
	return rc
}

// horizon returns the longest time for which a stream may still be taken up again after its last target has left.
func (re *Resumer) horizon() time.Duration { return max(minHorizon, horizonTimeouts*re.longest) }

// retention returns how long the origin of a stream is kept, here and in the store.
func (re *Resumer) retention() time.Duration { return 2 * re.horizon() }

// remember keeps the origin of a stream in memory.
func (re *Resumer) remember(id string, og Origin) {
	if len(re.streams) >= maxStreams {
		for other, ks := range re.streams {
			if time.Since(ks.at) > re.retention() {
				delete(re.streams, other)
			}
		}
	}
	if len(re.streams) >= maxStreams {
		clear(re.streams)
	}
	re.streams[id] = knownStream{origin: og, at: time.Now()}
}

// Lookup returns where a stream at a place began whose first event the request with the given ID brought, and how it was
// found. It returns ErrUnknown rather than a guess.
func (re *Resumer) Lookup(ctx context.Context, id string, pl Place) (Origin, Source, error) {
	if og, ok := re.known(id); ok {
		return og, FromMemory, nil
	}
	if id == "" {
		og, err := re.sole(pl)
		return og, FromSole, err
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	it, err := re.op.Get(ctx, platform.StreamPrefix+id)
	switch {
	case err == nil:
		og, err := re.decode(id, it)
		return og, FromEntry, err
	case errors.Is(err, platform.ErrNotFound):
		return re.originWithoutEntry(ctx, pl)
	default:
		og, err := re.sole(pl)
		return og, FromSole, err
	}
}

// known returns the origin of a stream that this instance has seen.
func (re *Resumer) known(id string) (Origin, bool) {
	re.mu.Lock()
	defer re.mu.Unlock()
	ks, ok := re.streams[id]
	return ks.origin, ok
}

// decode returns the origin that an entry of the store names.
func (re *Resumer) decode(id string, it platform.Item) (Origin, error) {
	var entry wire.StreamOrigin
	if err := proto.Unmarshal(it.Value, &entry); err != nil {
		return Origin{}, errors.Join(ErrUnknown, err)
	}
	og := Origin{Service: entry.GetService(), Software: entry.GetSoftware()}
	re.mu.Lock()
	defer re.mu.Unlock()
	re.remember(id, og)
	return og, nil
}
