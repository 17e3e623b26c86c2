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
	jobPrefix = "lovagebank/deferred/jobs/"
	// keptPrefix holds bodies and outcomes, by the epoch in which the job was accepted.
	keptPrefix  = "lovagebank/deferred/kept/"
	idSeparator = "-"
)

// newID makes an identifier that names the epoch of its acceptance.
func newID(nonce string, now time.Time, epoch time.Duration) string {
	return strconv.FormatInt(now.UnixMilli()/epoch.Milliseconds(), 10) + idSeparator + nonce
}

// validID tells whether a caller's text can be an identifier.
func validID(id string) bool {
	epoch, nonce, ok := strings.Cut(id, idSeparator)
	_, err := strconv.ParseInt(epoch, 10, 64)
	return ok && err == nil && nonce != "" && !strings.ContainsAny(nonce, "/.")
}

func shardPrefix(shard int) string { return fmt.Sprintf("%s%d/", jobPrefix, shard) }

func jobKey(id string) string {
	return shardPrefix(int(xxhash.Sum64String(id)%shardCount)) + id
}

func epochPrefix(epoch int64) string { return keptPrefix + strconv.FormatInt(epoch, 10) + "/" }

func keptKey(id, kind string) string {
	epoch, _, _ := strings.Cut(id, idSeparator)
	return keptPrefix + epoch + "/" + kind + "/" + id
}

func bodyKey(id string) string { return keptKey(id, "body") }

func resultKey(id string) string { return keptKey(id, "result") }

// epochLength is how long one epoch takes; an outcome is kept for at least one more after the longest deadline.
func (df *Deferrer) epochLength() time.Duration { return df.options.Retention }

// newJob describes a request without its body.
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

// request rebuilds the request of a job. It can wait until its latest start, and then has the urgency it came with,
// at least the standard one.
func request(job *wire.DeferredJob, body []byte, now time.Time) *requester.Request {
	execute := job.GetRequest()
	header := make(http.Header)
	for _, field := range execute.GetHeaders() {
		header.Add(field.GetName(), field.GetValue())
	}
	urgency := requester.UrgencyDeferrable
	if urgent(job, now) {
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

func urgent(job *wire.DeferredJob, now time.Time) bool {
	return now.UnixMilli() >= job.GetLatestStartMs()
}

// free tells whether a job may be claimed: nobody runs it, or the one who did is gone.
func (df *Deferrer) free(job *wire.DeferredJob, now time.Time) bool {
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
		return Status{}, errors.New("a part of the answer is missing")
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
