// Package publisher maintains the configuration in force: it accepts changes by compare-and-swap in the platform's
// store, receives them by watching the store or from peers, and never returns to an older revision.
//
// The store holds one manifest, whose compare-and-swap accepts a change, and the documents, compressed and split into
// parts that are named by their hash. The manifest carries small patches, so that an instance that is only a few
// revisions behind reads nothing else.
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
	// retryWait is the mean pause between attempts of the initial load, and the pause between checks whether to watch.
	// watchRetryWait is the mean pause after a failed watch.
	retryWait      = 500 * time.Millisecond
	watchRetryWait = 2 * time.Second
	fetchTimeout   = 2 * time.Second
	loadTimeout    = 5 * time.Second
	// startTimeout is the time limit of the first load from the store, after which peers are tried. It doubles with each
	// further load, up to loadTimeout.
	startTimeout = 1500 * time.Millisecond
	// maxObserved is the capacity of the queue of peers' revisions to fetch. When the queue is full, further revisions are
	// dropped, because peers report theirs again every second.
	maxObserved = 16
)

// Options configures a Publisher. Get, Watch and Transact correspond to the methods of storer.Client.
type Options struct {
	Get      func(ctx context.Context, key string) (storer.Entry, error)
	Watch    func(ctx context.Context, prefix string, index uint64, wait time.Duration) (storer.Listing, error)
	Transact func(ctx context.Context, steps []storer.Step) ([]storer.Entry, error)
	// AuditStep returns the transaction step that adds an entry to the audit trail.
	AuditStep func(ctx context.Context, en *wire.AuditEntry) (storer.Step, error)
	// SweepAudit deletes audit entries that need not be kept; it is called after each change. It may be nil.
	SweepAudit func(ctx context.Context, revision uint64) error
	// FindAuditEntry returns the audit entry of the change that made a revision, and whether there is one. It is nil if there
	// is no audit trail.
	FindAuditEntry func(ctx context.Context, revision uint64) (*wire.AuditEntry, bool, error)

	// Fetch requests changes from the peer at the given address.
	Fetch func(ctx context.Context, peer string, rq *wire.FetchRequest) (*wire.FetchResponse, error)
	// Peers returns the addresses of peers to fetch the initial configuration from, in any order.
	Peers func() []string
	// WatchesStore reports whether this instance is one of those in its failure domain that watch the store.
	WatchesStore func() bool
	// OnAdopted is called with each new configuration, in order, and must not block. It may be nil.
	OnAdopted func(sn *configurer.Snapshot)
	Logger    *log.Logger
}

// Publisher maintains the configuration in force. Its methods are safe for concurrent use.
type Publisher struct {
	options     Options
	current     atomic.Pointer[version]
	highestSeen atomic.Uint64
	observed    chan peerRevision
	done        chan struct{}

	// mu orders adoptions; changed is closed and replaced by each.
	mu      sync.Mutex
	changed chan struct{}
	// compressMu limits the compression of documents for peers to one at a time.
	compressMu sync.Mutex
}

// peerRevision is the revision that a peer has in force.
type peerRevision struct {
	peer     string
	revision uint64
}

// New returns a publisher without a configuration. Propose works without Run.
func New(options Options) *Publisher {
	if options.Logger == nil {
		options.Logger = log.New(io.Discard)
	}
	return &Publisher{
		options:  options,
		observed: make(chan peerRevision, maxObserved),
		done:     make(chan struct{}),
		changed:  make(chan struct{}),
	}
}

// Run receives changes from the store and peers until the context ends.
func (pu *Publisher) Run(ctx context.Context) {
	defer close(pu.done)
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){pu.loadInitial, pu.watch, pu.fetchObserved} {
		tasks.Go(func() { task(ctx) })
	}
	tasks.Wait()
}

// Done returns a channel that is closed when Run returns.
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

// Documents returns the documents in force and their revision; 0 before there is one.
func (pu *Publisher) Documents() (configurer.Documents, uint64) {
	ve := pu.current.Load()
	if ve == nil {
		return configurer.Documents{}, 0
	}
	return ve.documents, ve.revision()
}

// Latest reads the store's current documents and their revision, as the base of a change. The revision is 0 if the store
// holds no configuration. It returns ErrStoreBehind if the store holds an older revision than the one in force.
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

// Ready returns nil if a configuration is in force, and otherwise ErrNotReady.
func (pu *Publisher) Ready() error {
	if pu.current.Load() == nil {
		return ErrNotReady
	}
	return nil
}

// WaitForRevision returns when a revision later than after is in force, or with the context's error when the context ends.
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

// adopt puts a version in force unless the current one is as new or newer.
func (pu *Publisher) adopt(ve *version) {
	pu.mu.Lock()
	defer pu.mu.Unlock()
	if ve.revision() <= pu.current.Load().revision() {
		return
	}
	pu.current.Store(ve)
	close(pu.changed)
	pu.changed = make(chan struct{})
	pu.options.Logger.Info("configuration in force", "revision", ve.revision(), "author", ve.manifest.Author)
	if pu.options.OnAdopted != nil {
		pu.options.OnAdopted(ve.snapshot)
	}
}
