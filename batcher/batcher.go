// Package batcher gathers small conditional writes of many requests into few transactions of the store.
//
// The store counts calls, not bytes, so writes that come within a short time share one transaction. Those whose
// condition fails are taken out, and the others are sent again at once.
package batcher

import (
	"context"
	"errors"
	"time"

	"lovagebank/storer"
)

// Limits of a transaction, and times.
const (
	// DefaultInterval is the least time between the starts of two transactions.
	DefaultInterval = 30 * time.Millisecond
	// maxBytes bounds the values of one transaction. The store takes 512 KiB, with values in base64.
	maxBytes = 256 << 10
	ringSize = 1024
	// callTimeout bounds one transaction.
	callTimeout = 2 * time.Second
)

// ErrFull is returned when too many writes wait. The write took no effect.
var ErrFull = errors.Join(errors.New("too many writes wait"), storer.ErrUnavailable)

// Options configures a Batcher.
type Options struct {
	// Transact makes all steps or none, as storer.Client does.
	Transact func(ctx context.Context, steps []storer.Step) ([]storer.Entry, error)
	// Interval is the least time between the starts of two transactions; zero means the default.
	Interval time.Duration
}

// Batcher gathers writes. One goroutine, Run, sends them.
type Batcher struct {
	options Options
	ring    chan *write
	done    chan struct{}
}

// write is the steps of one caller, which succeed or fail together.
type write struct {
	ctx    context.Context
	steps  []storer.Step
	bytes  int
	result chan result
}

type result struct {
	entries []storer.Entry
	err     error
}

// New makes a batcher.
func New(options Options) *Batcher {
	if options.Interval == 0 {
		options.Interval = DefaultInterval
	}
	return &Batcher{options: options, ring: make(chan *write, ringSize), done: make(chan struct{})}
}

// Commit makes all steps or none. It returns the entries of the written keys, storer.ErrConflict when a condition
// failed, storer.ErrUnavailable when nothing was sent, or storer.ErrUnknown when the steps may or may not take effect.
func (ba *Batcher) Commit(ctx context.Context, steps ...storer.Step) ([]storer.Entry, error) {
	wr := &write{ctx: ctx, steps: steps, result: make(chan result, 1)}
	for _, st := range steps {
		wr.bytes += len(st.Key()) + len(st.Value())
	}
	select {
	case ba.ring <- wr:
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

// Run sends gathered writes until the context ends. Writes that wait then are not sent.
func (ba *Batcher) Run(ctx context.Context) {
	defer close(ba.done)
	var waiting []*write
	for {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				return
			case wr := <-ba.ring:
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

// gather adds what waits in the ring, and drops writes whose callers are gone.
func (ba *Batcher) gather(waiting []*write) []*write {
	for {
		select {
		case wr := <-ba.ring:
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

// split takes as many writes as fit in one transaction, at least one.
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

// send makes one transaction of the batch and answers its writes. It returns those to send again.
func (ba *Batcher) send(ctx context.Context, batch []*write) (again []*write) {
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
		wr.result <- result{entries: wr.own(entries), err: err}
	}
	return nil
}

// answerConflict answers the writes whose steps failed and returns the others.
func answerConflict(batch, owners []*write, conflict *storer.Conflict) (again []*write) {
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
			again = append(again, wr)
		}
	}
	return again
}

// own returns the entries of the keys that this write wrote.
func (wr *write) own(entries []storer.Entry) []storer.Entry {
	var mine []storer.Entry
	for _, en := range entries {
		for _, st := range wr.steps {
			if st.Key() == en.Key() {
				mine = append(mine, en)
				break
			}
		}
	}
	return mine
}
