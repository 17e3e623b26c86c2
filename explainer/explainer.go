// Package explainer keeps traces of the latest requests: the decisions by which each was routed or refused.
package explainer

import (
	"context"
	"sync"
	"time"

	"lovagebank/requester"
)

// maxSteps is the largest number of steps kept for one request.
const maxSteps = 32

// Step is one decision on a request.
type Step struct {
	at   time.Time
	pkg  string
	text string
}

// At returns the time of the decision.
func (st Step) At() time.Time { return st.at }

// Package returns the name of the package that made the decision.
func (st Step) Package() string { return st.pkg }

// Text returns the decision as a short sentence.
func (st Step) Text() string { return st.text }

// Trace collects the decisions on one request. It is safe for concurrent use. On a nil trace, AddStep does nothing.
type Trace struct {
	id           string
	organisation string
	model        string
	service      string

	mu    sync.Mutex
	steps []Step
}

// ID returns the request's identifier.
func (tr *Trace) ID() string { return tr.id }

// Organisation returns the organisation that sent the request.
func (tr *Trace) Organisation() string { return tr.organisation }

// Model returns the model as adapter@version, or "" if the request is not for a model.
func (tr *Trace) Model() string { return tr.model }

// Service returns the service's name, or "" if the request is not for a service.
func (tr *Trace) Service() string { return tr.service }

// Steps returns a copy of the decisions, oldest first.
func (tr *Trace) Steps() []Step {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return append([]Step(nil), tr.steps...)
}

// AddStep adds a decision of a package. Only the first maxSteps decisions are kept.
func (tr *Trace) AddStep(part, text string) {
	if tr == nil {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if len(tr.steps) < maxSteps {
		tr.steps = append(tr.steps, Step{at: time.Now(), pkg: part, text: text})
	}
}

// Explainer keeps the traces of the latest requests in a ring buffer, where a new trace replaces the oldest.
type Explainer struct {
	mu   sync.Mutex
	ring []*Trace
	next int
	byID map[string]*Trace
}

// New returns an explainer that keeps the traces of up to capacity requests, and of at least one.
func New(capacity int) *Explainer {
	return &Explainer{ring: make([]*Trace, max(capacity, 1)), byID: make(map[string]*Trace, capacity)}
}

type traceKey struct{}

// StartTrace starts the trace of a request and returns a context that carries it.
func (ex *Explainer) StartTrace(ctx context.Context, rq *requester.Request) (context.Context, *Trace) {
	tr := &Trace{id: rq.ID(), organisation: rq.Organisation(), service: rq.Service()}
	if rq.Adapter() != "" {
		tr.model = rq.Model()
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if old := ex.ring[ex.next]; old != nil {
		delete(ex.byID, old.id)
	}
	ex.ring[ex.next] = tr
	ex.next = (ex.next + 1) % len(ex.ring)
	ex.byID[tr.id] = tr
	return context.WithValue(ctx, traceKey{}, tr), tr
}

// FromContext returns the trace that a context carries, or nil.
func FromContext(ctx context.Context) *Trace {
	tr, _ := ctx.Value(traceKey{}).(*Trace)
	return tr
}

// Find returns the trace of a request by its identifier; ok is false if the trace is not kept.
func (ex *Explainer) Find(id string) (*Trace, bool) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	tr, ok := ex.byID[id]
	return tr, ok
}
