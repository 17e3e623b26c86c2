// Package batcher combines small conditional writes of many requests into few transactions of the store.
//
// The limit of the store counts calls, not bytes, so writes that arrive within a short time share one transaction.
// Writes whose condition fails are removed from the transaction, and the others are sent again with the next one.
package batcher

import (
	"context"
	"errors"
	"time"

	"lovagebank/storer"
)

// Limits and timing of transactions.
const (
	// DefaultInterval is the minimum time between the starts of two transactions.
	DefaultInterval = 30 * time.Millisecond
	// maxBytes bounds the keys and values of one transaction. The store accepts 512 KiB, with values in base64.
	maxBytes = 256 << 10
	// queueSize is the number of writes that can wait in the queue.
	queueSize = 1024
	// callTimeout bounds the duration of one transaction.
	callTimeout = 2 * time.Second
)

// ErrFull is returned if the queue of waiting writes is full. The write has had no effect. It wraps
// storer.ErrUnavailable.
var ErrFull = errors.Join(errors.New("too many writes wait"), storer.ErrUnavailable)

// Options configures a Batcher.
type Options struct {
	// Transact applies all steps or none, as storer.Client does.
	Transact func(ctx context.Context, steps []storer.Step) ([]storer.Entry, error)
	// Interval is the minimum time between the starts of two transactions; 0 means DefaultInterval.
	Interval time.Duration
}

// Batcher queues writes and sends them in batches. Run has to run in one goroutine.
type Batcher struct {
	options Options
	queue   chan *write
	done    chan struct{}
}

// write holds the steps of one caller, which succeed or fail together.
type write struct {
	ctx    context.Context
	steps  []storer.Step
	bytes  int
	result chan result
}

// result is the outcome of one write.
type result struct {
	entries []storer.Entry
	err     error
}

// New returns a Batcher. It sends nothing until Run is called.
func New(options Options) *Batcher {
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	return &Batcher{options: options, queue: make(chan *write, queueSize), done: make(chan struct{})}
}

// Commit applies all steps or none. It returns the entries of the written keys, storer.ErrConflict if a condition
// failed, storer.ErrUnavailable if nothing was sent, or storer.ErrUnknown if the steps may or may not take effect.
func (ba *Batcher) Commit(ctx context.Context, steps ...storer.Step) ([]storer.Entry, error) {
	wr := &write{ctx: ctx, steps: steps, result: make(chan result, 1)}
	for _, st := range steps {
		wr.bytes += len(st.Key()) + len(st.Value())
	}
	select {
	case ba.queue <- wr:
	default:
		return nil, ErrFull
	}
	select {
	case rs := <-wr.result:
		return rs.entries, rs.err
	case <-ctx.Done():
	case <-ba.done:
	}
	return nil, errors.Join(storer.ErrUnknown, ctx.Err())
}

// Run sends queued writes until the context ends. Writes that still wait then are not sent.
func (ba *Batcher) Run(ctx context.Context) {
	defer close(ba.done)
	var waiting []*write
	for {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				return
			case wr := <-ba.queue:
				waiting = append(waiting, wr)
			}
		}
		next := time.NewTimer(ba.options.Interval)
		waiting = ba.gather(waiting)
		batch, rest := split(waiting)
		waiting = append(ba.send(ctx, batch), rest...)
		select {
		case <-ctx.Done():
			return
		case <-next.C:
		}
	}
}

// Done is closed when Run has ended.
func (ba *Batcher) Done() <-chan struct{} { return ba.done }

// gather appends the queued writes to waiting and drops writes whose context has ended.
func (ba *Batcher) gather(waiting []*write) []*write {
	for {
		select {
		case wr := <-ba.queue:
			waiting = append(waiting, wr)
			continue
		default:
		}
		break
	}
	kept := waiting[:0]
	for _, wr := range waiting {
		if err := wr.ctx.Err(); err != nil {
			wr.result <- result{err: errors.Join(storer.ErrUnavailable, err)}
			continue
		}
		kept = append(kept, wr)
	}
	return kept
}

// split returns as many writes as fit into one transaction, at least one, and the rest.
func split(waiting []*write) (batch, rest []*write) {
	var steps, bytes int
	for index, wr := range waiting {
		steps += len(wr.steps)
		bytes += wr.bytes
		if index > 0 && (steps > storer.MaxOperations || bytes > maxBytes) {
			return waiting[:index:index], waiting[index:]
		}
	}
	return waiting, nil
}

// send applies the batch in one transaction and delivers the results. It returns the writes to send again.
func (ba *Batcher) send(ctx context.Context, batch []*write) (retry []*write) {
	if len(batch) == 0 {
		return nil
	}
	var steps []storer.Step
	var owners []*write
	for _, wr := range batch {
		for _, st := range wr.steps {
			steps, owners = append(steps, st), append(owners, wr)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := ba.options.Transact(ctx, steps)
	var conflict *storer.Conflict
	if errors.As(err, &conflict) && len(conflict.Steps()) > 0 && len(batch) > 1 {
		return answerConflict(batch, owners, conflict)
	}
	for _, wr := range batch {
		wr.result <- result{entries: wr.ownEntries(entries), err: err}
	}
	return nil
}

// answerConflict delivers storer.ErrConflict to the writes whose steps failed and returns the others.
func answerConflict(batch, owners []*write, conflict *storer.Conflict) (retry []*write) {
	failed := make(map[*write]bool)
	for _, step := range conflict.Steps() {
		if step >= 0 && step < len(owners) {
			failed[owners[step]] = true
		}
	}
	for _, wr := range batch {
		if failed[wr] {
			wr.result <- result{err: storer.ErrConflict}
		} else {
			retry = append(retry, wr)
		}
	}
	return retry
}

// ownEntries returns the entries whose keys belong to this write.
func (wr *write) ownEntries(entries []storer.Entry) []storer.Entry {
	var own []storer.Entry
	for _, en := range entries {
		for _, st := range wr.steps {
			if st.Key() == en.Key() {
				own = append(own, en)
				break
			}
		}
	}
	return own
}
