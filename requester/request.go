// Package requester defines a caller's request in the form that all other packages use, and how it ends: with an answer
// and its usage, or with a refusal.
package requester

import (
	"net/http"
	"time"
)

// Kind is the interface by which a request arrived.
type Kind int

// The kinds of requests: chat completions, text completions and requests for plain services.
const (
	KindChat Kind = iota + 1
	KindCompletion
	KindService
)

// Urgency is the priority class of a request. A lower value is more urgent.
type Urgency int

// The urgency classes that a plan may name.
const (
	UrgencyInteractive Urgency = iota + 1
	UrgencyStandard
	UrgencyDeferrable
)

var urgencyNames = map[Urgency]string{
	UrgencyInteractive: "interactive",
	UrgencyStandard:    "standard",
	UrgencyDeferrable:  "deferrable",
}

// String returns the name used in the operators' lists.
func (ur Urgency) String() string { return urgencyNames[ur] }

// ParseUrgency returns the urgency class with a name. ok is false if there is no such class.
func ParseUrgency(name string) (ur Urgency, ok bool) {
	for candidate, known := range urgencyNames {
		if known == name {
			return candidate, true
		}
	}
	return 0, false
}

// Fields are the values of a Request.
type Fields struct {
	ID           string
	Organisation string
	Kind         Kind
	// Adapter, Version and Base are empty for a plain service.
	Adapter string
	Version string
	Base    string
	// Service is empty for a model request.
	Service string
	Method  string
	// Path is the path, with its query, sent to the target.
	Path   string
	Header http.Header
	Body   []byte
	Stream bool
	// PromptTokens and MaxTokens are estimates made on arrival, in tokens. Their sum is charged before the request
	// runs.
	PromptTokens int64
	MaxTokens    int64
	Urgency      Urgency
	Deadline     time.Time
	// Weight is the organisation's weight in fair queueing. Zero or less means 1.
	Weight float64
	// Repeatable is false for a request that may run at most once.
	Repeatable     bool
	IdempotencyKey string
	// Fingerprint is the same each time the same request is sent, through any instance.
	Fingerprint string
	// ResumeFrom is the number of generated tokens that the caller already has.
	ResumeFrom int64
	Attempt    int
}

// Request is one caller's request. It is immutable; WithAttempt returns a changed copy.
type Request struct {
	fields Fields
}

// New returns a request with the given fields. The header and body are not copied and must not change afterwards.
func New(fields Fields) *Request {
	if fields.Weight <= 0 {
		fields.Weight = 1
	}
	return &Request{fields: fields}
}

// ID returns the identifier used in logs and explanations.
func (rq *Request) ID() string { return rq.fields.ID }

// Organisation returns the organisation of the API key sent with the request. It is empty on an open route.
func (rq *Request) Organisation() string { return rq.fields.Organisation }

// Kind returns the interface by which the request arrived.
func (rq *Request) Kind() Kind { return rq.fields.Kind }

// Adapter returns the adapter's name.
func (rq *Request) Adapter() string { return rq.fields.Adapter }

// Version returns the adapter's version, resolved when the request was accepted.
func (rq *Request) Version() string { return rq.fields.Version }

// Base returns the base model of the adapter.
func (rq *Request) Base() string { return rq.fields.Base }

// Model returns "adapter@version", the name of the adapter on targets.
func (rq *Request) Model() string { return rq.fields.Adapter + "@" + rq.fields.Version }

// Service returns the name of the plain service. It is empty for a model request.
func (rq *Request) Service() string { return rq.fields.Service }

// Method returns the HTTP method.
func (rq *Request) Method() string { return rq.fields.Method }

// Path returns the path, with its query, sent to the target.
func (rq *Request) Path() string { return rq.fields.Path }

// Header returns the headers sent to the target, which contain no credentials.
func (rq *Request) Header() http.Header { return rq.fields.Header }

// Body returns the body sent to the target.
func (rq *Request) Body() []byte { return rq.fields.Body }

// Stream reports whether the caller asked for server-sent events.
func (rq *Request) Stream() bool { return rq.fields.Stream }

// PromptTokens returns the estimated length of the prompt in tokens.
func (rq *Request) PromptTokens() int64 { return rq.fields.PromptTokens }

// MaxTokens returns the maximum number of tokens to generate.
func (rq *Request) MaxTokens() int64 { return rq.fields.MaxTokens }

// Cost returns the tokens charged before the request runs: the estimated prompt tokens plus the maximum of generated
// ones.
func (rq *Request) Cost() int64 { return rq.fields.PromptTokens + rq.fields.MaxTokens }

// Urgency returns the urgency class.
func (rq *Request) Urgency() Urgency { return rq.fields.Urgency }

// Deadline returns the time by which the answer must be complete.
func (rq *Request) Deadline() time.Time { return rq.fields.Deadline }

// Weight returns the organisation's weight in fair queueing.
func (rq *Request) Weight() float64 { return rq.fields.Weight }

// Repeatable reports whether the request may run more than once.
func (rq *Request) Repeatable() bool { return rq.fields.Repeatable }

// IdempotencyKey returns the caller's key for a request that may run at most once.
func (rq *Request) IdempotencyKey() string { return rq.fields.IdempotencyKey }

// Fingerprint returns a value that is the same each time the same request is sent.
func (rq *Request) Fingerprint() string { return rq.fields.Fingerprint }

// ResumeFrom returns the number of generated tokens that the caller already has.
func (rq *Request) ResumeFrom() int64 { return rq.fields.ResumeFrom }

// Attempt returns the number of earlier attempts. The dispatcher counts only those in which the target died.
func (rq *Request) Attempt() int { return rq.fields.Attempt }

// WithAttempt returns a copy for another attempt, which continues after resumeFrom generated tokens.
func (rq *Request) WithAttempt(attempt int, resumeFrom int64) *Request {
	fields := rq.fields
	fields.Attempt = attempt
	fields.ResumeFrom = resumeFrom
	return &Request{fields: fields}
}
