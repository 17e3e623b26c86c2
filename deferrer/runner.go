package deferrer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/pauser"
	"lovagebank/requester"
	"lovagebank/storer"
	"lovagebank/wire"
)

// candidate is a listed job that may be claimed.
type candidate struct {
	job   *wire.DeferredJob
	index uint64
}

// Run claims and runs jobs until the context ends, and then waits for those that run. Close cuts that short.
func (df *Deferrer) Run(ctx context.Context) {
	defer close(df.done)
	active := make(map[string]bool)
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	var queue []candidate
	for {
		queue = df.start(ctx, queue, active)
		select {
		case <-ctx.Done():
			df.running.Wait()
			return
		case id := <-df.finished:
			delete(active, id)
		case <-ticker.C:
			queue = df.scan(ctx, active)
			df.dropOld(ctx, time.Now())
		}
	}
}

// scan lists the shards of this instance and returns the free jobs, the most urgent first.
func (df *Deferrer) scan(ctx context.Context, active map[string]bool) []candidate {
	var queue []candidate
	now := time.Now()
	for shard := range shardCount {
		if !df.owns(shard) {
			continue
		}
		listing, err := df.options.List(ctx, shardPrefix(shard))
		if err != nil {
			continue
		}
		for _, en := range listing.Entries() {
			job := &wire.DeferredJob{}
			if err := proto.Unmarshal(en.Value(), job); err != nil || active[job.GetId()] || !df.free(job, now) {
				continue
			}
			queue = append(queue, candidate{job, en.Index()})
		}
	}
	slices.SortFunc(queue, func(one, other candidate) int {
		return cmp.Compare(one.job.GetLatestStartMs(), other.job.GetLatestStartMs())
	})
	return queue[:min(len(queue), maxQueue)]
}

// start starts the first jobs of the queue that there is room for, and returns the rest.
func (df *Deferrer) start(ctx context.Context, queue []candidate, active map[string]bool) []candidate {
	for len(queue) > 0 && len(active) < df.options.Parallel && ctx.Err() == nil {
		ca := queue[0]
		if !urgent(ca.job, time.Now()) && !df.options.HasCapacity() {
			break
		}
		queue = queue[1:]
		active[ca.job.GetId()] = true
		df.running.Go(func() {
			df.work(df.runs, ca)
			select {
			case df.finished <- ca.job.GetId():
			case <-ctx.Done():
			}
		})
	}
	return queue
}

// work claims a job, runs it and stores its outcome.
func (df *Deferrer) work(ctx context.Context, ca candidate) {
	ls := &lease{deferrer: df, job: ca.job, index: ca.index}
	ls.job.Attempts++
	if err := ls.renew(ctx); err != nil {
		return
	}
	body, err := df.options.Get(ctx, bodyKey(ls.job.GetId()))
	if err != nil {
		df.giveBack(ctx, ls, 0)
		return
	}
	rctx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		ls.keep(rctx, cancel)
	}()
	answer, err := df.options.Invoke(rctx, request(ls.job, body.Value(), time.Now()))
	cancel()
	<-renewed
	df.finish(context.WithoutCancel(ctx), ls, body.Index(), answer, requester.AsRefusal(err))
}

// finish stores an outcome, or gives the job back when it may be run again.
func (df *Deferrer) finish(ctx context.Context, ls *lease, bodyIndex uint64, answer *wire.Answer, rf *requester.Refusal) {
	late := time.Now().UnixMilli() >= ls.job.GetDeadlineMs()
	if rf != nil && again(ls.job, rf) && !late {
		df.giveBack(ctx, ls, min(retryBackoff<<min(ls.job.GetAttempts(), 8), retryBackoffMax))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storePatience)
	defer cancel()
	id := ls.job.GetId()
	kept, err := df.archive.Store(ctx, resultKey(id), df.options.Nonce(), answer)
	if err != nil {
		return
	}
	result := &wire.DeferredResult{Organisation: ls.job.GetRequest().GetOrganisation(), Answer: kept}
	if rf != nil {
		result.Code, result.Message = string(rf.Code()), rf.Message()
		result.NotRun = rf.Outcome() == requester.OutcomeNotRun
	}
	value, err := proto.Marshal(result)
	if err != nil {
		return
	}
	for {
		_, err := df.options.Commit(ctx, storer.Swap(resultKey(id), value, 0),
			storer.Delete(jobKey(id), ls.index), storer.Delete(bodyKey(id), bodyIndex))
		if err == nil || (errors.Is(err, storer.ErrConflict) && !ls.refresh(ctx)) {
			return
		}
		if !pauser.For(ctx, retryPause) {
			return
		}
	}
}

// again tells whether a job may run another time. One that may not be repeated runs again under its own claim, so it
// is safe as well, but only worth it when nothing was run.
func again(job *wire.DeferredJob, rf *requester.Refusal) bool {
	switch rf.Code() {
	case requester.CodeBadRequest, requester.CodeNotInPlan, requester.CodeNotFound, requester.CodeMethodNotAllowed,
		requester.CodeTooLarge, requester.CodeKeyConflict, requester.CodeKeyExpired, requester.CodeOutcomeUnknown,
		requester.CodeQuarantined:
		return false
	case requester.CodeStillRunning:
		return true
	}
	return job.GetRepeatable() || rf.Outcome() == requester.OutcomeNotRun
}

// giveBack lets any instance claim the job again after a while.
func (df *Deferrer) giveBack(ctx context.Context, ls *lease, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseTime)
	defer cancel()
	ls.job.Instance, ls.job.LeaseUntilMs = "", 0
	ls.job.NotBeforeMs = time.Now().Add(wait).UnixMilli()
	// A failure costs time only: the lease runs out.
	_ = ls.write(ctx)
}

// dropOld deletes epochs whose outcomes were kept long enough. One instance does it.
func (df *Deferrer) dropOld(ctx context.Context, now time.Time) {
	epoch := now.Add(-df.options.MaxDelay-df.options.Retention-2*maxSkew).UnixMilli()/df.epochLength().Milliseconds() - 1
	if df.owns(0) && df.options.DeletePrefix != nil && now.Truncate(time.Hour).Add(scanInterval).After(now) {
		// Once an hour; a failed deletion is made up for by the next ones.
		_ = df.options.DeletePrefix(ctx, epochPrefix(epoch))
	}
}

// lease is a job as this instance holds it.
type lease struct {
	deferrer *Deferrer
	job      *wire.DeferredJob
	index    uint64
}

// renew claims the job, or prolongs the claim.
func (ls *lease) renew(ctx context.Context) error {
	ls.job.Instance = ls.deferrer.options.Instance
	ls.job.LeaseUntilMs = time.Now().Add(leaseTime).UnixMilli()
	return ls.write(ctx)
}

// write replaces the job's record. An unknown write counts as failed, and is resolved by reading back.
func (ls *lease) write(ctx context.Context) error {
	value, err := proto.Marshal(ls.job)
	if err != nil {
		return err
	}
	entries, err := ls.deferrer.options.Commit(ctx, storer.Swap(jobKey(ls.job.GetId()), value, ls.index))
	if err == nil && len(entries) == 1 {
		ls.index = entries[0].Index()
		return nil
	}
	if errors.Is(err, storer.ErrUnknown) {
		if en, gerr := ls.deferrer.options.Get(ctx, jobKey(ls.job.GetId())); gerr == nil && string(en.Value()) == string(value) {
			ls.index = en.Index()
			return nil
		}
	}
	return errors.Join(err, errNotHeld)
}

// refresh reads the record's index again after a conflict. It tells false when the job isn't this instance's any more:
// another one took it or stored its outcome first, or an earlier attempt took effect.
func (ls *lease) refresh(ctx context.Context) bool {
	job, index, err := ls.deferrer.readJob(ctx, ls.job.GetId())
	if err != nil || job.GetInstance() != ls.deferrer.options.Instance || index == ls.index {
		return false
	}
	ls.index = index
	return true
}

var errNotHeld = errors.New("the job could not be claimed")

// keep renews the lease until the context ends, and cancels the run when the job went to another instance.
func (ls *lease) keep(ctx context.Context, lost context.CancelFunc) {
	for pauser.For(ctx, leaseTime/2) {
		if err := ls.renew(ctx); errors.Is(err, storer.ErrConflict) {
			lost()
			return
		}
	}
}
