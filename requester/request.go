// Package requester holds a caller's request in the form that every other package works on, and the refusals and
// answers it may meet.
package requester

import (
	"net/http"
	"time"
)

// Kind tells which interface a request came in by.
type Kind int

// The kinds of request.
const (
	KindChat Kind = iota + 1
	KindCompletion
	KindService
)

// Urgency orders requests ahead of each other; a lower value is more urgent.
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

// String returns the name that the operators' lists use.
func (ur Urgency) String() string { return urgencyNames[ur] }

// ParseUrgency reads the name of an urgency class; ok is false for any other word.
func ParseUrgency(name string) (ur Urgency, ok bool) {
	for candidate, known := range urgencyNames {
		if known == name {
			return candidate, true
		}
	}
	return 0, false
}

// Fields are the values a Request is made from.
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
	// Path is the path, with its query, that the target gets.
	Path   string
	Header http.Header
	Body   []byte
	Stream bool
	// PromptTokens and MaxTokens are estimates made on arrival; their sum is charged.
	PromptTokens int64
	MaxTokens    int64
	Urgency      Urgency
	Deadline     time.Time
	// Weight is the organisation's share in fair queueing; 1 is usual.
	Weight float64
	// Repeatable is false for a request that may run at most once.
	Repeatable     bool
	IdempotencyKey string
	// Fingerprint identifies the same request sent again, whoever carries it.
	Fingerprint string
	// ResumeFrom counts the tokens that the caller already has.
	ResumeFrom int64
	Attempt    int
}

// Request is one caller's request. It does not change after New; With methods return changed copies.
type Request struct {
	fields Fields
}

// New makes a request. The header and body are not copied and must not change afterwards.
func New(fields Fields) *Request {
	if fields.Weight <= 0 {
		fields.Weight = 1
	}
	return &Request{fields: fields}
}

// ID returns the identifier that logs and explanations use.
func (rq *Request) ID() string { return rq.fields.ID }

// Organisation returns the name of the organisation whose key came with the request; empty on an open route.
func (rq *Request) Organisation() string { return rq.fields.Organisation }

// Kind tells which interface the request came in by.
func (rq *Request) Kind() Kind { return rq.fields.Kind }

// Adapter returns the adapter's name.
func (rq *Request) Adapter() string { return rq.fields.Adapter }

// Version returns the adapter's version, resolved when the request was accepted.
func (rq *Request) Version() string { return rq.fields.Version }

// Base returns the base model of the adapter.
func (rq *Request) Base() string { return rq.fields.Base }

// Model returns "adapter@version", the name under which targets know the adapter.
func (rq *Request) Model() string { return rq.fields.Adapter + "@" + rq.fields.Version }

// Service returns the name of the plain service, if the request is for one.
func (rq *Request) Service() string { return rq.fields.Service }

// Method returns the HTTP method.
func (rq *Request) Method() string { return rq.fields.Method }

// Path returns the path, with its query, that the target gets.
func (rq *Request) Path() string { return rq.fields.Path }

// Header returns the headers that the target gets; it holds no credentials.
func (rq *Request) Header() http.Header { return rq.fields.Header }

// Body returns the body that the target gets.
func (rq *Request) Body() []byte { return rq.fields.Body }

// Stream tells whether the caller asked for server-sent events.
func (rq *Request) Stream() bool { return rq.fields.Stream }

// PromptTokens returns the estimated length of the prompt in tokens.
func (rq *Request) PromptTokens() int64 { return rq.fields.PromptTokens }

// MaxTokens returns the most tokens that may be generated.
func (rq *Request) MaxTokens() int64 { return rq.fields.MaxTokens }

// Cost returns the tokens charged before the request runs.
func (rq *Request) Cost() int64 { return rq.fields.PromptTokens + rq.fields.MaxTokens }

// Urgency returns the urgency class.
func (rq *Request) Urgency() Urgency { return rq.fields.Urgency }

// Deadline returns the time by which the answer must be whole.
func (rq *Request) Deadline() time.Time { return rq.fields.Deadline }

// Weight returns the organisation's share in fair queueing.
func (rq *Request) Weight() float64 { return rq.fields.Weight }

// Repeatable tells whether the request may be sent to a target more than once.
func (rq *Request) Repeatable() bool { return rq.fields.Repeatable }

// IdempotencyKey returns the caller's key for a request that may run at most once.
func (rq *Request) IdempotencyKey() string { return rq.fields.IdempotencyKey }

// Fingerprint identifies the same request sent again.
func (rq *Request) Fingerprint() string { return rq.fields.Fingerprint }

// ResumeFrom returns the number of generated tokens that the caller already has.
func (rq *Request) ResumeFrom() int64 { return rq.fields.ResumeFrom }

// Attempt returns how often the request was sent before.
func (rq *Request) Attempt() int { return rq.fields.Attempt }

// WithAttempt returns a copy for another attempt that continues after the given number of tokens.
func (rq *Request) WithAttempt(attempt int, resumeFrom int64) *Request {
	fields := rq.fields
	fields.Attempt = attempt
	fields.ResumeFrom = resumeFrom
	return &Request{fields: fields}
}
