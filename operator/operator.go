// Package operator is the operators' HTTP interface of an instance: the two lists, keys, and the audit trail. Operators
// have credentials of their own, apart from callers' keys.
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
	// longestBody bounds a change's body: a document and its JSON.
	longestBody = 32 << 20
	// proposeTime bounds the acceptance of a change.
	proposeTime = 15 * time.Second
	readTime    = 5 * time.Second
	// mostWait bounds how long a reader of the audit trail may wait for news.
	mostWait        = 30 * time.Second
	longestChangeID = 128
)

// Options are what the interface works on. All fields but Mount are required.
type Options struct {
	Credentials []configurer.Credential
	Publisher   *publisher.Publisher
	Auditor     *auditor.Auditor
	// Mount adds further routes behind the same credentials; nil for none.
	Mount func(ro chi.Router)
}

// Operator answers operators.
type Operator struct {
	options Options
	router  chi.Router
}

// New makes the interface.
func New(options Options) *Operator {
	op := &Operator{options: options, router: chi.NewRouter()}
	op.router.Use(op.admit)
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

// ServeHTTP answers one request.
func (op *Operator) ServeHTTP(rw http.ResponseWriter, hr *http.Request) { op.router.ServeHTTP(rw, hr) }

type nameKey struct{}

// Name returns the name of the operator who sent a request, for routes added by Mount.
func Name(ctx context.Context) string {
	name, _ := ctx.Value(nameKey{}).(string)
	return name
}

// admit lets operators pass. All hashes are compared, so that the time taken tells nothing of which one was near.
func (op *Operator) admit(next http.Handler) http.Handler {
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
		hr.Body = http.MaxBytesReader(rw, hr.Body, longestBody)
		next.ServeHTTP(rw, hr.WithContext(context.WithValue(hr.Context(), nameKey{}, name)))
	})
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// readJSON reads a body that holds nothing but the wanted fields.
func readJSON(rw http.ResponseWriter, hr *http.Request, into any) bool {
	decoder := json.NewDecoder(hr.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		writeFailure(rw, http.StatusBadRequest, Failure{Code: CodeBadRequest, Message: "body not understood: " + err.Error()})
		return false
	}
	return true
}
