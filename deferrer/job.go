package deferrer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"lovagebank/requester"
	"lovagebank/storer"
	"lovagebank/wire"
)

const (
	// jobPrefix is the prefix of the job records, which are grouped by shard.
	jobPrefix = "lovagebank/deferred/jobs/"
	// retainedPrefix is the prefix of bodies and outcomes, which are grouped by the epoch of the job's acceptance.
	retainedPrefix = "lovagebank/deferred/kept/"
	idSeparator    = "-"
)

// newID returns a job ID, which contains the epoch of the job's acceptance.
func newID(nonce string, now time.Time, epoch time.Duration) string {
	return strconv.FormatInt(now.UnixMilli()/epoch.Milliseconds(), 10) + idSeparator + nonce
}

// validID reports whether a string from a caller has the form of a job ID.
func validID(id string) bool {
	epoch, nonce, ok := strings.Cut(id, idSeparator)
	_, err := strconv.ParseInt(epoch, 10, 64)
	return ok && err == nil && nonce != "" && !strings.ContainsAny(nonce, "/.")
}

func shardPrefix(shard int) string { return fmt.Sprintf("%s%d/", jobPrefix, shard) }

func jobKey(id string) string {
	return shardPrefix(int(xxhash.Sum64String(id)%shardCount)) + id
}

func epochPrefix(epoch int64) string { return retainedPrefix + strconv.FormatInt(epoch, 10) + "/" }

func retainedKey(id, kind string) string {
	epoch, _, _ := strings.Cut(id, idSeparator)
	return retainedPrefix + epoch + "/" + kind + "/" + id
}

func bodyKey(id string) string { return retainedKey(id, "body") }

func resultKey(id string) string { return retainedKey(id, "result") }

// epochLength returns the length of an epoch. An outcome is kept for at least this time after the latest possible
// deadline.
func (df *Deferrer) epochLength() time.Duration { return df.options.Retention }

// newJob returns the job record of a request, without its body.
func newJob(rq *requester.Request, id string, latestStart time.Time) *wire.DeferredJob {
	execute := &wire.ExecuteRequest{
		RequestId: rq.ID(), Organisation: rq.Organisation(), Adapter: rq.Adapter(), Version: rq.Version(),
		Base: rq.Base(), Method: rq.Method(), Path: rq.Path(), PromptTokens: rq.PromptTokens(),
		MaxTokens: rq.MaxTokens(), Urgency: int32(rq.Urgency()), Weight: rq.Weight(),
		Fingerprint: rq.Fingerprint(), Kind: int32(rq.Kind()),
	}
	for name, values := range rq.Header() {
		for _, value := range values {
			execute.Headers = append(execute.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return &wire.DeferredJob{
		Id: id, Request: execute, Service: rq.Service(), IdempotencyKey: rq.IdempotencyKey(),
		Repeatable: rq.Repeatable(), LatestStartMs: latestStart.UnixMilli(), DeadlineMs: rq.Deadline().UnixMilli(),
	}
}

// rebuildRequest returns the request of a job. The request is deferrable until the job's latest start. From then on it
// has its original urgency, but at least the standard one.
func rebuildRequest(job *wire.DeferredJob, body []byte, now time.Time) *requester.Request {
	execute := job.GetRequest()
	header := make(http.Header)
	for _, field := range execute.GetHeaders() {
		header.Add(field.GetName(), field.GetValue())
	}
	urgency := requester.UrgencyDeferrable
	if isUrgent(job, now) {
		urgency = min(requester.Urgency(execute.GetUrgency()), requester.UrgencyStandard)
	}
	return requester.New(requester.Fields{
		ID: execute.GetRequestId(), Organisation: execute.GetOrganisation(), Kind: requester.Kind(execute.GetKind()),
		Adapter: execute.GetAdapter(), Version: execute.GetVersion(), Base: execute.GetBase(),
		Service: job.GetService(), Method: execute.GetMethod(), Path: execute.GetPath(), Header: header, Body: body,
		PromptTokens: execute.GetPromptTokens(), MaxTokens: execute.GetMaxTokens(), Urgency: urgency,
		Deadline: time.UnixMilli(job.GetDeadlineMs()), Weight: execute.GetWeight(), Repeatable: job.GetRepeatable(),
		IdempotencyKey: job.GetIdempotencyKey(), Fingerprint: execute.GetFingerprint(),
		Attempt: int(job.GetAttempts()) - 1,
	})
}

func isUrgent(job *wire.DeferredJob, now time.Time) bool {
	return now.UnixMilli() >= job.GetLatestStartMs()
}

// claimable reports whether a job may be claimed: its backoff has passed, and no instance holds it, or its holder has
// stopped or let the lease expire. Expiry allows for clock skew.
func (df *Deferrer) claimable(job *wire.DeferredJob, now time.Time) bool {
	if now.UnixMilli() < job.GetNotBeforeMs() {
		return false
	}
	if job.GetInstance() == "" || df.options.Departed(job.GetInstance()) {
		return true
	}
	return now.Add(-maxSkew).UnixMilli() > job.GetLeaseUntilMs()
}

func (df *Deferrer) readJob(ctx context.Context, id string) (*wire.DeferredJob, uint64, error) {
	en, err := df.options.Get(ctx, jobKey(id))
	if err != nil {
		return nil, 0, err
	}
	job := &wire.DeferredJob{}
	return job, en.Index(), proto.Unmarshal(en.Value(), job)
}

func (df *Deferrer) readResult(ctx context.Context, organisation, id string) (Status, error) {
	en, err := df.options.Get(ctx, resultKey(id))
	if err != nil {
		return Status{}, err
	}
	result := &wire.DeferredResult{}
	if err := proto.Unmarshal(en.Value(), result); err != nil {
		return Status{}, err
	}
	if result.GetOrganisation() != organisation {
		return Status{}, storer.ErrNotFound
	}
	if result.GetCode() != "" {
		return Status{refusal: refusalOf(result)}, nil
	}
	if result.GetAnswer().GetDropped() {
		return Status{refusal: requester.RefuseUnknown(requester.CodeTooLarge, "the answer was too large to keep", 0)}, nil
	}
	answer, err := df.archive.Read(ctx, resultKey(id), result.GetAnswer())
	if errors.Is(err, storer.ErrNotFound) {
		return Status{}, errors.New("part of the stored answer not found")
	}
	return Status{answer: answer}, err
}

func refusalOf(result *wire.DeferredResult) *requester.Refusal {
	code := requester.Code(result.GetCode())
	if result.GetNotRun() {
		return requester.Refuse(code, result.GetMessage(), 0)
	}
	return requester.RefuseUnknown(code, result.GetMessage(), 0)
}
