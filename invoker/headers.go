package invoker

import (
	"net/http"
	"strconv"

	"lovagebank/requester"
)

// Headers of requests to targets.
const (
	headerFencing      = "Lovagebank-Fencing-Number"
	headerResumeFrom   = "Lovagebank-Resume-From"
	headerPriority     = "Lovagebank-Priority"
	headerRequestID    = "Lovagebank-Request-Id"
	headerOrganisation = "Lovagebank-Organisation"
	headerIdempotency  = "Idempotency-Key"
)

// forwardedToTarget lists the caller's headers that are forwarded to a target. It must not contain any that carries
// credentials.
var forwardedToTarget = []string{
	"Accept", "Accept-Language", "Content-Language", "Content-Type", "If-Match", "If-None-Match", "If-Modified-Since",
	"If-Unmodified-Since", "Traceparent", "Tracestate",
}

// forwardedToCaller lists the target's headers that are forwarded to a caller.
var forwardedToCaller = []string{
	"Cache-Control", "Content-Disposition", "Content-Language", "Content-Type", "Etag", "Expires", "Last-Modified",
	"Link", "Location", "Retry-After", "Vary",
}

func copyHeaders(source http.Header, names []string) http.Header {
	copied := make(http.Header, len(names))
	for _, name := range names {
		if values := source.Values(name); len(values) > 0 {
			copied[name] = values
		}
	}
	return copied
}

func targetHeader(rq *requester.Request, fencing uint64) http.Header {
	header := copyHeaders(rq.Header(), forwardedToTarget)
	header.Set(headerRequestID, rq.ID())
	if rq.Kind() == requester.KindService {
		header.Set(headerOrganisation, rq.Organisation())
		if rq.IdempotencyKey() != "" {
			header.Set(headerIdempotency, rq.IdempotencyKey())
		}
		return header
	}
	header.Set("Content-Type", "application/json")
	header.Set(headerPriority, strconv.Itoa(int(rq.Urgency())))
	header.Set(headerFencing, strconv.FormatUint(fencing, 10))
	if rq.ResumeFrom() > 0 {
		header.Set(headerResumeFrom, strconv.FormatInt(rq.ResumeFrom(), 10))
	}
	return header
}
