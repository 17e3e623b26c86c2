package receiver

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"path"
	"strings"
	"unicode/utf8"

	"lovagebank/requester"
)

// Headers of the project's own.
const (
	headerRequestID   = "Lovagebank-Request-Id"
	headerOutcome     = "Lovagebank-Outcome"
	headerDeadline    = "Lovagebank-Deadline"
	headerIdempotency = "Idempotency-Key"
)

type requestIDKey struct{}

// identify gives each request an identifier, which the answer carries.
func (rc *Receiver) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
		id := rand.Text()
		rw.Header().Set(headerRequestID, id)
		next.ServeHTTP(rw, hr.WithContext(context.WithValue(hr.Context(), requestIDKey{}, id)))
	})
}

func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// recover answers a request whose handler panicked, and keeps the stack out of the answer.
func (rc *Receiver) recover(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(cause)
			}
			rc.options.Logger.Error("Handler panicked.", "request", requestID(hr.Context()), "cause", cause)
			writeRefusal(rw, requester.RefuseUnknown(requester.CodeInternal, "The request failed inside the instance.", 0))
		}()
		next.ServeHTTP(rw, hr)
	})
}

// rejectOddPaths refuses paths that a target could read in another way than this instance does.
func rejectOddPaths(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
		if !plainPath(hr.URL.Path, hr.URL.EscapedPath()) {
			writeRefusal(rw, requester.Refuse(requester.CodeBadRequest, "The path is not in its plain form.", 0))
			return
		}
		next.ServeHTTP(rw, hr)
	})
}

func plainPath(decoded, escaped string) bool {
	if !utf8.ValidString(decoded) || strings.ContainsAny(decoded, "\\\x00\r\n;") {
		return false
	}
	lower := strings.ToLower(escaped)
	if strings.Contains(lower, "%2f") || strings.Contains(lower, "%2e") || strings.Contains(lower, "%25") {
		return false
	}
	cleaned := path.Clean(decoded)
	return decoded == cleaned || decoded == cleaned+"/"
}
