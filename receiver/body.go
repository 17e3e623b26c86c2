package receiver

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"lovagebank/collector"
	"lovagebank/listener"
	"lovagebank/requester"
)

// memoryRetryAfter is the Retry-After time of requests for whose bodies memory is short.
const memoryRetryAfter = time.Second

type bodyKey struct{}

// releaseBody releases the memory of a request's body at its end. Where the body has not been read, it closes the
// connection instead of reading on.
func (rc *Receiver) releaseBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
		if hr.ContentLength == 0 {
			next.ServeHTTP(rw, hr)
			return
		}
		held := &heldBody{ResponseWriter: rw}
		defer func() {
			if held.body != nil {
				held.body.Release()
			}
		}()
		next.ServeHTTP(held, hr.WithContext(context.WithValue(hr.Context(), bodyKey{}, held)))
	})
}

// heldBody is the writer of a response to a request with a body, which closes the connection if the body has not been read.
type heldBody struct {
	http.ResponseWriter
	body *collector.Body
}

// WriteHeader writes the header of the response.
func (hb *heldBody) WriteHeader(status int) {
	if hb.body == nil {
		listener.RefuseBody(hb.ResponseWriter)
	}
	hb.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer of the server, for http.ResponseController.
func (hb *heldBody) Unwrap() http.ResponseWriter { return hb.ResponseWriter }

// readBody reads a request's body within the limits on its size and on the time that it takes.
func (rc *Receiver) readBody(rw http.ResponseWriter, hr *http.Request) ([]byte, error) {
	lim := rc.options.Limits
	body, err := collector.Read(rw, hr, collector.Options{
		Reserver: rc.options.Reserver, Limit: lim.MaxBodyBytes, Deadline: time.Now().Add(lim.BodyTimeout),
	})
	switch {
	case errors.Is(err, collector.ErrTooLarge):
		return nil, requester.Refuse(requester.CodeTooLarge, "The body is too large.", 0)
	case errors.Is(err, collector.ErrNoMemory):
		return nil, requester.Refuse(requester.CodeNoMemory, "Memory is short.", memoryRetryAfter)
	case errors.Is(err, collector.ErrStalled), errors.Is(err, os.ErrDeadlineExceeded):
		return nil, requester.Refuse(requester.CodeTooSlow, "The body took too long to arrive.", 0)
	case err != nil:
		return nil, badRequest("the body could not be read")
	}
	if held, ok := hr.Context().Value(bodyKey{}).(*heldBody); ok {
		held.body = body
	}
	return body.Data(), nil
}
