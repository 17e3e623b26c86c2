package deferrer

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/requester"
	"lovagebank/sleeper"
	"lovagebank/storer"
	"lovagebank/wire"
)

// candidate is a listed job that may be claimed, with the index of its record.
type candidate struct {
	job   *wire.DeferredJob
	index uint64
}

// Run claims and runs jobs until the context ends, and then waits for the running jobs. Close cancels them.
func (df *Deferrer) Run(ctx context.Context) {
	defer close(df.done)
	active := make(map[string]bool)
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	var queue []candidate
	for {
		queue = df.startJobs(ctx, queue, active)
		select {
		case <-ctx.Done():
			df.running.Wait()
			return
		case id := <-df.finished:
			delete(active, id)
		case <-ticker.C:
			queue = df.scanShards(ctx, active)
			df.dropOldEpochs(ctx, time.Now())
		}
	}
}

// scanShards lists the shards of this instance and returns the claimable jobs in the order of their latest start.
func (df *Deferrer) scanShards(ctx context.Context, active map[string]bool) []candidate {
	var queue []candidate
	now := time.Now()
	for shard := range shardCount {
		if !df.ownsShard(shard) {
			continue
		}
		listing, err := df.options.List(ctx, shardPrefix(shard))
		if err != nil {
			continue
		}
		for _, en := range listing.Entries() {
			job := &wire.DeferredJob{}
			if err := proto.Unmarshal(en.Value(), job); err != nil || active[job.GetId()] || !df.claimable(job, now) {
				continue
			}
			queue = append(queue, candidate{job, en.Index()})
		}
	}
	slices.SortFunc(queue, func(one, other candidate) int {
		return cmp.Compare(one.job.GetLatestStartMs(), other.job.GetLatestStartMs())
	})
	return queue[:min(len(queue), maxQueuedJobs)]
}

// startJobs starts jobs from the front of the queue while there is free capacity, and returns the rest.
func (df *Deferrer) startJobs(ctx context.Context, queue []candidate, active map[string]bool) []candidate {
	for len(queue) > 0 && len(active) < df.options.Parallel && ctx.Err() == nil {
		ca := queue[0]
		if !isUrgent(ca.job, time.Now()) && !df.options.HasCapacity() {
			break
		}
		queue = queue[1:]
		active[ca.job.GetId()] = true
		df.running.Go(func() {
			df.runJob(df.jobContext, ca)
			select {
			case df.finished <- ca.job.GetId():
			case <-ctx.Done():
			}
		})
	}
	return queue
}

// runJob claims a job, runs it and stores its outcome.
func (df *Deferrer) runJob(ctx context.Context, ca candidate) {
	ls := &lease{deferrer: df, job: ca.job, index: ca.index}
	ls.job.Attempts++
	if err := ls.renew(ctx); err != nil {
		return
	}
	body, err := df.options.Get(ctx, bodyKey(ls.job.GetId()))
	if err != nil {
		df.releaseJob(ctx, ls, 0)
		return
	}
	rctx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		ls.renewUntilDone(rctx, cancel)
	}()
	answer, err := df.options.Invoke(rctx, rebuildRequest(ls.job, body.Value(), time.Now()))
	cancel()
	<-renewed
	df.finish(context.WithoutCancel(ctx), ls, body.Index(), answer, requester.AsRefusal(err))
}

// finish stores the outcome of a job, or releases the job if it may be run again before its deadline.
func (df *Deferrer) finish(ctx context.Context, ls *lease, bodyIndex uint64, answer *wire.Answer, rf *requester.Refusal) {
	overdue := time.Now().UnixMilli() >= ls.job.GetDeadlineMs()
	if rf != nil && retryable(ls.job, rf) && !overdue {
		df.releaseJob(ctx, ls, min(retryBackoff<<min(ls.job.GetAttempts(), 8), retryBackoffMax))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
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
		if !sleeper.For(ctx, retryInterval) {
			return
		}
	}
}

// retryable reports whether a job may be run again. A non-repeatable request is protected by its own claim, so running
// it again is safe, but useful only if it was not run.
func retryable(job *wire.DeferredJob, rf *requester.Refusal) bool {
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

// releaseJob ends the lease, so that any instance can claim the job again after the given wait.
func (df *Deferrer) releaseJob(ctx context.Context, ls *lease, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseDuration)
	defer cancel()
	ls.job.Instance, ls.job.LeaseUntilMs = "", 0
	ls.job.NotBeforeMs = time.Now().Add(wait).UnixMilli()
	// If the write fails, the job is only delayed until the lease expires.
	_ = ls.write(ctx)
}

// dropOldEpochs deletes the newest epoch whose retention has ended. Only one instance of the fleet does it.
func (df *Deferrer) dropOldEpochs(ctx context.Context, now time.Time) {
	epoch := now.Add(-df.options.MaxDelay-df.options.Retention-2*maxSkew).UnixMilli()/df.epochLength().Milliseconds() - 1
	if df.ownsShard(0) && df.options.DeletePrefix != nil && now.Truncate(time.Hour).Add(scanInterval).After(now) {
		// This runs once an hour. The following runs make up for a failed deletion.
		_ = df.options.DeletePrefix(ctx, epochPrefix(epoch))
	}
}

// lease is a job held by this instance, with the index of its record.
type lease struct {
	deferrer *Deferrer
	job      *wire.DeferredJob
	index    uint64
}

// renew claims the job or extends its lease.
func (ls *lease) renew(ctx context.Context) error {
	ls.job.Instance = ls.deferrer.options.Instance
	ls.job.LeaseUntilMs = time.Now().Add(leaseDuration).UnixMilli()
	return ls.write(ctx)
}

// write replaces the job's record. If the result is unknown, it reads the record back; a write that can't be confirmed
// counts as failed.
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
	return errors.Join(err, errNotClaimed)
}

// refresh rereads the index of the record after a conflict. It returns false if this instance no longer holds the job:
// another instance claimed it or stored its outcome first, or an earlier attempt of this instance took effect.
func (ls *lease) refresh(ctx context.Context) bool {
	job, index, err := ls.deferrer.readJob(ctx, ls.job.GetId())
	if err != nil || job.GetInstance() != ls.deferrer.options.Instance || index == ls.index {
		return false
	}
	ls.index = index
	return true
}

var errNotClaimed = errors.New("could not claim job")

// renewUntilDone renews the lease until the context ends, and cancels the run if another instance has taken the job.
func (ls *lease) renewUntilDone(ctx context.Context, lost context.CancelFunc) {
	for sleeper.For(ctx, leaseDuration/2) {
		if err := ls.renew(ctx); errors.Is(err, storer.ErrConflict) {
			lost()
			return
		}
	}
}
