package receiver

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"path"
	"strings"
	"unicode/utf8"

	"github.com/go-chi/chi/v5/middleware"

	"lovagebank/listener"
	"lovagebank/requester"
)

// Headers that callers send and receive in addition to the standard ones.
const (
	headerRequestID   = "Lovagebank-Request-Id"
	headerOutcome     = "Lovagebank-Outcome"
	headerDeadline    = "Lovagebank-Deadline"
	headerIdempotency = "Idempotency-Key"
)

type requestIDKey struct{}

// assignRequestID assigns a random identifier to each request and sets it in the answer's header.
func (rc *Receiver) assignRequestID(next http.Handler) http.Handler {
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

// recover turns a panic of a handler into a refusal that does not disclose the stack. It passes on
// http.ErrAbortHandler, on which net/http aborts the connection, and aborts an answer that has begun.
func (rc *Receiver) recover(next http.Handler) http.Handler {
	return http.HandlerFunc(func(plain http.ResponseWriter, hr *http.Request) {
		rw := middleware.NewWrapResponseWriter(plain, hr.ProtoMajor)
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(cause)
			}
			rc.options.Logger.Error("handler panicked", "request", requestID(hr.Context()), "cause", cause)
			if rw.Status() != 0 {
				panic(http.ErrAbortHandler)
			}
			writeRefusal(rw, requester.RefuseUnknown(requester.CodeInternal, "The request failed inside the instance.", 0))
		}()
		next.ServeHTTP(rw, hr)
	})
}

// admit refuses requests that the instance does not take any more.
func (rc *Receiver) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
		if err := rc.options.Admit(); err != nil {
			listener.RefuseBody(rw)
			writeRefusal(rw, requester.AsRefusal(err))
			return
		}
		next.ServeHTTP(rw, hr)
	})
}

// rejectAmbiguousPaths refuses paths that a target could interpret differently from this instance.
func rejectAmbiguousPaths(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
		if !isCanonicalPath(hr.URL.Path, hr.URL.EscapedPath()) {
			writeRefusal(rw, requester.Refuse(requester.CodeBadRequest, "The path is not in its plain form.", 0))
			return
		}
		next.ServeHTTP(rw, hr)
	})
}

// isCanonicalPath reports whether a path is valid UTF-8 in cleaned form and contains no backslash, semicolon, NUL or
// line break, and no encoded slash, dot or percent sign.
func isCanonicalPath(decoded, escaped string) bool {
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
