package invoker

import (
	"net/http"
	"strconv"

	"lovagebank/requester"
)

// The headers between lovagebank and its targets.
const (
	headerFencing      = "Lovagebank-Fencing-Number"
	headerResumeFrom   = "Lovagebank-Resume-From"
	headerPriority     = "Lovagebank-Priority"
	headerRequestID    = "Lovagebank-Request-Id"
	headerOrganisation = "Lovagebank-Organisation"
	headerIdempotency  = "Idempotency-Key"
)

// forwardedToTarget lists the callers' headers that a target gets; credentials are never among them.
var forwardedToTarget = []string{
	"Accept", "Accept-Language", "Content-Language", "Content-Type", "If-Match", "If-None-Match", "If-Modified-Since",
	"If-Unmodified-Since", "Traceparent", "Tracestate",
}

// forwardedToCaller lists the targets' headers that a caller gets.
var forwardedToCaller = []string{
	"Cache-Control", "Content-Disposition", "Content-Language", "Content-Type", "Etag", "Expires", "Last-Modified",
	"Link", "Location", "Retry-After", "Vary",
}

func copyListed(from http.Header, listed []string) http.Header {
	to := make(http.Header, len(listed))
	for _, name := range listed {
		if values := from.Values(name); len(values) > 0 {
			to[name] = values
		}
	}
	return to
}

func targetHeader(rq *requester.Request, fencing uint64) http.Header {
	header := copyListed(rq.Header(), forwardedToTarget)
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
