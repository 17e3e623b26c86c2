// Package publisher keeps the configuration in force: it accepts changes by compare-and-swap in the platform's store,
// learns of them by watching the store or from peers, and never goes back to an older revision.
//
// The store holds one manifest, whose compare-and-swap accepts a change, and the documents, compressed and split into
// parts that are named by their hash. The manifest carries small patches, so that an instance that is little behind
// reads nothing else.
package publisher

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/configurer"
	"lovagebank/storer"
	"lovagebank/wire"
)

const (
	watchWait = 55 * time.Second
	// retryWait is the mean pause between asking at the start, and between looks at whether to watch. repeatWait is the
	// mean pause after a watch that failed.
	retryWait    = 500 * time.Millisecond
	repeatWait   = 2 * time.Second
	fetchTimeout = 2 * time.Second
	loadTimeout  = 5 * time.Second
	// startTimeout bounds the first question to the store at the start, after which peers are asked. It doubles with each
	// further one, up to loadTimeout.
	startTimeout = 1500 * time.Millisecond
	// observedRing bounds the revisions of peers that wait to be fetched. When it is full further ones are dropped:
	// peers tell theirs again every second.
	observedRing = 16
)

// Options are the seams of a Publisher. Those of the store are shaped as storer.Client's methods.
type Options struct {
	Get      func(ctx context.Context, key string) (storer.Entry, error)
	Watch    func(ctx context.Context, prefix string, index uint64, wait time.Duration) (storer.Listing, error)
	Transact func(ctx context.Context, steps []storer.Step) ([]storer.Entry, error)
	// AuditStep returns the operation that adds an entry to the audit trail.
	AuditStep func(ctx context.Context, en *wire.AuditEntry) (storer.Step, error)
	// SweepAudit drops what the trail need not keep, after a change; nil for never.
	SweepAudit func(ctx context.Context, revision uint64) error
	// FindAuditEntry returns the audit entry of the change that made a revision; nil when there is no trail to ask.
	FindAuditEntry func(ctx context.Context, revision uint64) (*wire.AuditEntry, bool, error)

	// Fetch asks the peer at an address for what changed.
	Fetch func(ctx context.Context, peer string, rq *wire.FetchRequest) (*wire.FetchResponse, error)
	// Peers returns addresses to ask at the start, in any order.
	Peers func() []string
	// WatchesStore tells whether this instance is one of those in its failure domain that watch the store.
	WatchesStore func() bool
	// OnAdopted is told of each new configuration, in order, and must not block; nil for nobody.
	OnAdopted func(sn *configurer.Snapshot)
	Logger    *log.Logger
}

// Publisher keeps the configuration in force. All methods may be called by many goroutines.
type Publisher struct {
	options  Options
	current  atomic.Pointer[version]
	highest  atomic.Uint64
	observed chan sighting
	done     chan struct{}

	// mu orders adoptions; changed is closed and replaced by each.
	mu      sync.Mutex
	changed chan struct{}
	// serving limits the compression of documents for peers to one at a time.
	serving sync.Mutex
}

// sighting is a revision that a peer has.
type sighting struct {
	peer     string
	revision uint64
}

// New makes a publisher that knows no configuration yet. Propose works without Run.
func New(options Options) *Publisher {
	if options.Logger == nil {
		options.Logger = log.New(io.Discard)
	}
	return &Publisher{
		options:  options,
		observed: make(chan sighting, observedRing),
		done:     make(chan struct{}),
		changed:  make(chan struct{}),
	}
}

// Run learns of changes until the context ends.
func (pu *Publisher) Run(ctx context.Context) {
	defer close(pu.done)
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){pu.start, pu.watch, pu.follow} {
		duties.Go(func() { duty(ctx) })
	}
	duties.Wait()
}

// Done is closed when Run has returned.
func (pu *Publisher) Done() <-chan struct{} { return pu.done }

// Current returns the configuration in force, or nil before there is one.
func (pu *Publisher) Current() *configurer.Snapshot {
	ve := pu.current.Load()
	if ve == nil {
		return nil
	}
	return ve.snapshot
}

// Revision returns the revision in force; 0 before there is one.
func (pu *Publisher) Revision() uint64 { return pu.current.Load().revision() }

// Documents returns the text of the documents in force, and their revision.
func (pu *Publisher) Documents() (configurer.Documents, uint64) {
	ve := pu.current.Load()
	if ve == nil {
		return configurer.Documents{}, 0
	}
	return ve.documents, ve.revision()
}

// Latest reads the configuration that the store holds now, to make a change from.
func (pu *Publisher) Latest(ctx context.Context) (configurer.Documents, uint64, error) {
	sd, ve, err := pu.load(ctx)
	switch {
	case err != nil:
		return configurer.Documents{}, 0, err
	case sd.manifest.Revision < pu.Revision():
		return configurer.Documents{}, 0, ErrStoreBehind
	case ve == nil:
		return configurer.Documents{}, 0, nil
	default:
		return ve.documents, ve.revision(), nil
	}
}

// Ready returns nil once a configuration is in force.
func (pu *Publisher) Ready() error {
	if pu.current.Load() == nil {
		return ErrNotReady
	}
	return nil
}

// WaitForRevision returns when a revision above the given one is in force.
func (pu *Publisher) WaitForRevision(ctx context.Context, after uint64) error {
	for {
		pu.mu.Lock()
		changed := pu.changed
		pu.mu.Unlock()
		if pu.Revision() > after {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// adopt puts a version in force unless a newer one is.
func (pu *Publisher) adopt(ve *version) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if ve.revision() <= pu.current.Load().revision() {
		return
	}
	pu.current.Store(ve)
	close(pu.changed)
	pu.changed = make(chan struct{})
	pu.options.Logger.Info("Configuration in force.", "revision", ve.revision(), "author", ve.manifest.Author)
	if pu.options.OnAdopted != nil {
		pu.options.OnAdopted(ve.snapshot)
	}
}
