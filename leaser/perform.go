package leaser

import (
	"context"
	"errors"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/storer"
	"lovagebank/wire"
)

// perform starts an effect. Each call runs in its own goroutine and posts its result as a message. The machine limits
// the number of concurrent calls.
func (le *Leaser) perform(ctx context.Context, ef effect) {
	switch ef := ef.(type) {
	case report:
		le.report(ctx, ef.event)
	case leave:
		close(le.left)
	case createSession:
		go le.createSession(ctx)
	case renewSession:
		go le.renewSession(ctx, ef.session)
	case destroySession:
		go func() { _ = le.options.DestroySession(ctx, ef.session) }()
	case listRecords:
		go le.list(ctx)
	case readRecords:
		go le.read(ctx, ef.names)
	case writeRecords:
		go le.write(ctx, ef.writes)
	case requestPromise:
		go le.requestPromise(ctx, ef.request)
	case notify:
		go le.options.Notify(ctx, ef.instance, ef.resources)
	case stopOwner:
		go le.stopOwner(ctx, ef.name)
	}
}

func (le *Leaser) report(ctx context.Context, ev Event) {
	le.options.Logger.Info("holder changed", "resource", ev.resource, "kind", string(ev.kind), "fencing", ev.fencing)
	select {
	case le.events <- ev:
	case <-ctx.Done():
	}
}

func (le *Leaser) createSession(ctx context.Context) {
	sentAt := time.Now()
	session, err := le.options.CreateSession(ctx, le.options.Self, le.machine.timing.Lease)
	res := sessionResult{creating: true, session: session, sentAt: sentAt, outcome: outcomeOf(err)}
	le.post(ctx, func(now time.Time) { le.machine.handleSessionResult(now, res) })
}

func (le *Leaser) renewSession(ctx context.Context, session string) {
	sentAt := time.Now()
	err := le.options.RenewSession(ctx, session)
	res := sessionResult{session: session, sentAt: sentAt, outcome: outcomeOf(err), notFound: errors.Is(err, storer.ErrNotFound)}
	le.post(ctx, func(now time.Time) { le.machine.handleSessionResult(now, res) })
}

func (le *Leaser) list(ctx context.Context) {
	ls, err := le.options.List(ctx, Prefix)
	res := readResult{all: true, failed: err != nil}
	if err == nil {
		res.records, err = decodeRecords(ls.Entries())
	}
	le.postReadResult(ctx, res, err)
}

// read reads records in one transaction. A record that does not exist fails the transaction, which is then repeated
// without it.
func (le *Leaser) read(ctx context.Context, names []string) {
	entries, err := le.readEntries(ctx, names)
	var cf *storer.Conflict
	if errors.As(err, &cf) {
		entries, err = le.readEntries(ctx, exclude(names, cf.Steps()))
	}
	res := readResult{names: names}
	if err == nil {
		res.records, err = decodeRecords(entries)
	}
	le.postReadResult(ctx, res, err)
}

func (le *Leaser) postReadResult(ctx context.Context, res readResult, err error) {
	res.failed = err != nil
	le.post(ctx, func(now time.Time) { le.machine.handleReadResult(now, res) })
}

func (le *Leaser) readEntries(ctx context.Context, names []string) ([]storer.Entry, error) {
	if len(names) == 0 {
		return nil, nil
	}
	steps := make([]storer.Step, 0, len(names))
	for _, name := range names {
		steps = append(steps, storer.Read(Prefix+name))
	}
	return le.options.Transact(ctx, steps)
}

func exclude(names []string, positions []int) []string {
	missing := make(map[int]bool, len(positions))
	for _, position := range positions {
		missing[position] = true
	}
	var rest []string
	for position, name := range names {
		if !missing[position] {
			rest = append(rest, name)
		}
	}
	return rest
}

func decodeRecords(entries []storer.Entry) ([]storedRecord, error) {
	records := make([]storedRecord, 0, len(entries))
	for _, en := range entries {
		record := &wire.HolderRecord{}
		if err := proto.Unmarshal(en.Value(), record); err != nil {
			return nil, err
		}
		records = append(records, storedRecord{
			name: strings.TrimPrefix(en.Key(), Prefix), index: en.Index(), lock: en.Session(), record: record,
		})
	}
	return records, nil
}

// write commits writes in one transaction. If the transaction is rolled back, the writes whose steps failed are
// refused, and the others were not made.
func (le *Leaser) write(ctx context.Context, writes []write) {
	results := make([]writeResult, 0, len(writes))
	entries, err := le.commitWrites(ctx, writes)
	oc := outcomeOf(err)
	if err == nil && len(entries) < len(writes) {
		oc = unknown
	}
	indexes := make(map[string]uint64, len(entries))
	for _, en := range entries {
		indexes[strings.TrimPrefix(en.Key(), Prefix)] = en.Index()
	}
	for _, wr := range writes {
		results = append(results, writeResult{name: wr.name, nonce: wr.record.GetNonce(), outcome: oc, index: indexes[wr.name]})
	}
	var cf *storer.Conflict
	if errors.As(err, &cf) && len(cf.Steps()) > 0 {
		for i := range results {
			results[i].outcome = notSent
		}
		for _, step := range cf.Steps() {
			results[step/stepsPerWrite].outcome = refused
		}
	}
	le.post(ctx, func(now time.Time) { le.machine.handleWriteResults(now, results) })
}

func (le *Leaser) commitWrites(ctx context.Context, writes []write) ([]storer.Entry, error) {
	steps := make([]storer.Step, 0, len(writes)*stepsPerWrite)
	for _, wr := range writes {
		value, err := proto.Marshal(wr.record)
		if err != nil {
			return nil, err
		}
		step := storer.Lock(Prefix+wr.name, value, wr.session)
		if wr.kind == release {
			step = storer.Unlock(Prefix+wr.name, value, wr.session)
		}
		steps = append(steps, storer.Check(Prefix+wr.name, wr.baseIndex), step)
	}
	return le.options.Transact(ctx, steps)
}

func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return done
	case errors.Is(err, storer.ErrUnavailable):
		return notSent
	case errors.Is(err, storer.ErrRefused):
		return refused
	default:
		return unknown
	}
}

func (le *Leaser) requestPromise(ctx context.Context, request *wire.PromiseRequest) {
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := le.options.RequestPromise(callCtx, request)
	res := promiseResult{successor: request.GetSuccessor(), sentAt: sentAt}
	if err == nil {
		res.resources = response.GetResources()
	}
	le.post(ctx, func(now time.Time) { le.machine.handlePromiseResult(now, res) })
}

func (le *Leaser) stopOwner(ctx context.Context, name string) {
	ow := ownerStopped{name: name}
	if le.options.StopOwner != nil {
		ow.state = le.options.StopOwner(name)
	}
	le.post(ctx, func(now time.Time) { le.machine.handleOwnerStopped(now, ow) })
}
