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

// perform starts an effect. Calls run in goroutines of their own, of which the machine allows few at a time, and send
// their answers back as messages.
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
	case askPromise:
		go le.askPromise(ctx, ef.request)
	case notify:
		go le.options.Notify(ctx, ef.instance, ef.resources)
	case surrender:
		go le.surrender(ctx, ef.name)
	}
}

func (le *Leaser) report(ctx context.Context, ev Event) {
	le.options.Logger.Info("Holder changed", "resource", ev.resource, "kind", string(ev.kind), "fencing", ev.fencing)
	select {
	case le.events <- ev:
	case <-ctx.Done():
	}
}

func (le *Leaser) createSession(ctx context.Context) {
	sentAt := time.Now()
	session, err := le.options.CreateSession(ctx, le.options.Self, le.machine.timing.Lease)
	an := sessionAnswer{creating: true, session: session, sentAt: sentAt, outcome: outcomeOf(err)}
	le.post(ctx, func(now time.Time) { le.machine.answerSession(now, an) })
}

func (le *Leaser) renewSession(ctx context.Context, session string) {
	sentAt := time.Now()
	err := le.options.RenewSession(ctx, session)
	an := sessionAnswer{session: session, sentAt: sentAt, outcome: outcomeOf(err), gone: errors.Is(err, storer.ErrNotFound)}
	le.post(ctx, func(now time.Time) { le.machine.answerSession(now, an) })
}

func (le *Leaser) list(ctx context.Context) {
	ls, err := le.options.List(ctx, Prefix)
	an := readAnswer{all: true, failed: err != nil}
	if err == nil {
		an.records, err = decode(ls.Entries())
	}
	le.answerRead(ctx, an, err)
}

// read reads records in one transaction. A record that does not exist fails it, and is left out of the next one.
func (le *Leaser) read(ctx context.Context, names []string) {
	entries, err := le.get(ctx, names)
	var cf *storer.Conflict
	if errors.As(err, &cf) {
		entries, err = le.get(ctx, without(names, cf.Steps()))
	}
	an := readAnswer{names: names}
	if err == nil {
		an.records, err = decode(entries)
	}
	le.answerRead(ctx, an, err)
}

func (le *Leaser) answerRead(ctx context.Context, an readAnswer, err error) {
	an.failed = err != nil
	le.post(ctx, func(now time.Time) { le.machine.answerRead(now, an) })
}

func (le *Leaser) get(ctx context.Context, names []string) ([]storer.Entry, error) {
	if len(names) == 0 {
		return nil, nil
	}
	steps := make([]storer.Step, 0, len(names))
	for _, name := range names {
		steps = append(steps, storer.Read(Prefix+name))
	}
	return le.options.Transact(ctx, steps)
}

func without(names []string, positions []int) []string {
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

func decode(entries []storer.Entry) ([]stored, error) {
	records := make([]stored, 0, len(entries))
	for _, en := range entries {
		record := &wire.HolderRecord{}
		if err := proto.Unmarshal(en.Value(), record); err != nil {
			return nil, err
		}
		records = append(records, stored{
			name: strings.TrimPrefix(en.Key(), Prefix), index: en.Index(), lock: en.Session(), record: record,
		})
	}
	return records, nil
}

// write makes some writes in one transaction. If it is rolled back, those whose steps failed have lost, and the others
// were not made.
func (le *Leaser) write(ctx context.Context, writes []write) {
	answers := make([]writeAnswer, 0, len(writes))
	entries, err := le.transact(ctx, writes)
	oc := outcomeOf(err)
	if err == nil && len(entries) < len(writes) {
		oc = unknown
	}
	indexes := make(map[string]uint64, len(entries))
	for _, en := range entries {
		indexes[strings.TrimPrefix(en.Key(), Prefix)] = en.Index()
	}
	for _, wr := range writes {
		answers = append(answers, writeAnswer{name: wr.name, nonce: wr.record.GetNonce(), outcome: oc, index: indexes[wr.name]})
	}
	var cf *storer.Conflict
	if errors.As(err, &cf) && len(cf.Steps()) > 0 {
		for i := range answers {
			answers[i].outcome = notSent
		}
		for _, step := range cf.Steps() {
			answers[step/stepsPerWrite].outcome = refused
		}
	}
	le.post(ctx, func(now time.Time) { le.machine.answerWrites(now, answers) })
}

func (le *Leaser) transact(ctx context.Context, writes []write) ([]storer.Entry, error) {
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
		steps = append(steps, storer.Check(Prefix+wr.name, wr.base), step)
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

func (le *Leaser) askPromise(ctx context.Context, request *wire.PromiseRequest) {
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := le.options.RequestPromise(callCtx, request)
	an := promiseAnswer{successor: request.GetSuccessor(), sentAt: sentAt}
	if err == nil {
		an.resources = response.GetResources()
	}
	le.post(ctx, func(now time.Time) { le.machine.answerPromise(now, an) })
}

func (le *Leaser) surrender(ctx context.Context, name string) {
	sr := surrendered{name: name}
	if le.options.StopOwner != nil {
		sr.state = le.options.StopOwner(name)
	}
	le.post(ctx, func(now time.Time) { le.machine.surrendered(now, sr) })
}
