// Package operator serves an instance's HTTP interface for operators: the two lists, keys, and the audit trail.
// Operators authenticate with their own credentials, which are separate from callers' keys.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"lovagebank/auditor"
	"lovagebank/configurer"
	"lovagebank/publisher"
)

const (
	// maxRequestBytes is the maximum size of a request body in bytes, enough for a document encoded as JSON.
	maxRequestBytes = 32 << 20
	// proposeTimeout is the timeout for the acceptance of a change.
	proposeTimeout = 15 * time.Second
	readTimeout    = 5 * time.Second
	// maxAuditWait is the maximum time that a request for the audit trail waits for the next change.
	maxAuditWait     = 30 * time.Second
	maxChangeIDBytes = 128
)

// Options configures the interface. All fields but Mount are required.
type Options struct {
	Credentials []configurer.Credential
	Publisher   *publisher.Publisher
	Auditor     *auditor.Auditor
	// Mount adds further routes that require the same credentials; nil adds none.
	Mount func(ro chi.Router)
}

// Operator is the HTTP handler of the operators' interface.
type Operator struct {
	options Options
	router  chi.Router
}

// New returns a handler for the operators' interface.
func New(options Options) *Operator {
	op := &Operator{options: options, router: chi.NewRouter()}
	op.router.Use(op.authenticate)
	op.router.Get("/v1/documents/{name}", op.getDocument)
	op.router.Post("/v1/changes", op.postChange)
	op.router.Get("/v1/keys", op.getKeys)
	op.router.Post("/v1/keys", op.postKey)
	op.router.Post("/v1/keys/{id}/withdraw", op.postWithdraw)
	op.router.Get("/v1/audit", op.getAudit)
	if options.Mount != nil {
		options.Mount(op.router)
	}
	return op
}

// ServeHTTP authenticates a request and routes it to its handler.
func (op *Operator) ServeHTTP(rw http.ResponseWriter, hr *http.Request) { op.router.ServeHTTP(rw, hr) }

type nameKey struct{}

// Name returns the name of the operator who sent a request, from the request's context, for routes that Mount added. It
// is empty if the context has none.
func Name(ctx context.Context) string {
	name, _ := ctx.Value(nameKey{}).(string)
	return name
}

// authenticate refuses requests without an operator's token. It compares the token's hash with all stored hashes in
// constant time, so that the response time does not reveal which hash was close.
func (op *Operator) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, hr *http.Request) {
		token, ok := strings.CutPrefix(hr.Header.Get("Authorization"), "Bearer ")
		hash := sha256.Sum256([]byte(token))
		name := ""
		for _, cr := range op.options.Credentials {
			stored := cr.Hash()
			if subtle.ConstantTimeCompare(stored[:], hash[:]) == 1 {
				name = cr.Operator()
			}
		}
		if !ok || name == "" {
			writeFailure(rw, http.StatusUnauthorized, Failure{Code: CodeUnauthorized, Message: "an operator's token is needed"})
			return
		}
		hr.Body = http.MaxBytesReader(rw, hr.Body, maxRequestBytes)
		next.ServeHTTP(rw, hr.WithContext(context.WithValue(hr.Context(), nameKey{}, name)))
	})
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// readJSON decodes a request's body, which must have no unknown fields. If it cannot, it answers with an error and
// returns false.
func readJSON(rw http.ResponseWriter, hr *http.Request, into any) bool {
	decoder := json.NewDecoder(hr.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		writeFailure(rw, http.StatusBadRequest, Failure{Code: CodeBadRequest, Message: "body not understood: " + err.Error()})
		return false
	}
	return true
}
