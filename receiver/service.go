package receiver

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"lovagebank/configurer"
	"lovagebank/requester"
)

const servicePrefix = "/services/"

// serveService passes a request to a plain service.
func (rc *Receiver) serveService(rw http.ResponseWriter, hr *http.Request) {
	rq, err := rc.readServiceRequest(rw, hr)
	if err != nil {
		writeRefusal(rw, requester.AsRefusal(err))
		return
	}
	rc.run(rw, hr, rq)
}

func (rc *Receiver) readServiceRequest(rw http.ResponseWriter, hr *http.Request) (*requester.Request, error) {
	sn, err := rc.snapshot()
	if err != nil {
		return nil, err
	}
	sv, known := sn.Service(chi.URLParam(hr, "service"))
	caller, err := rc.admitToService(hr, sn, sv, known)
	if err != nil {
		return nil, err
	}
	body, err := rc.readBody(rw, hr)
	if err != nil {
		return nil, err
	}
	deadline, err := readDeadline(hr.Header, caller.allowed, time.Now())
	if err != nil {
		return nil, err
	}
	idempotencyKey, err := readIdempotencyKey(hr.Header)
	if err != nil {
		return nil, err
	}
	if !sv.Repeatable() && idempotencyKey == "" {
		return nil, badRequest("this service needs the header " + headerIdempotency)
	}
	target := serviceTarget(hr, sv.Name())
	return requester.New(requester.Fields{
		ID:             requestID(hr.Context()),
		Organisation:   caller.organisation,
		Kind:           requester.KindService,
		Service:        sv.Name(),
		Method:         hr.Method,
		Path:           target,
		Header:         targetHeader(hr.Header),
		Body:           body,
		Urgency:        caller.urgency,
		Deadline:       deadline,
		Weight:         caller.weight,
		Repeatable:     sv.Repeatable(),
		IdempotencyKey: idempotencyKey,
		Fingerprint:    fingerprint(caller.organisation, hr.Method+" "+servicePrefix+sv.Name()+target, body),
	}), nil
}

// serviceCaller is who calls a plain service, and within which bounds.
type serviceCaller struct {
	organisation string
	allowed      time.Duration
	urgency      requester.Urgency
	weight       float64
}

// admitToService checks the key, unless the route is open to all, and the plan.
func (rc *Receiver) admitToService(hr *http.Request, sn *configurer.Snapshot, sv configurer.Service, known bool) (serviceCaller, error) {
	allowed := sv.Deadline()
	if allowed <= 0 {
		allowed = rc.options.Limits.DefaultDeadline
	}
	caller := serviceCaller{allowed: allowed, urgency: requester.UrgencyInteractive, weight: 1}
	if known && sv.Open() {
		return caller, nil
	}
	organisation, err := rc.options.Authenticate(hr.Header)
	if err != nil {
		return caller, err
	}
	if !known {
		return caller, requester.Refuse(requester.CodeNotFound, "There is no such service.", 0)
	}
	pl, ok := sn.PlanOf(organisation)
	if !ok || !slices.Contains(pl.Services(), sv.Name()) {
		return caller, requester.Refuse(requester.CodeNotInPlan, "The plan does not include this service.", 0)
	}
	caller.organisation, caller.urgency, caller.weight = organisation, pl.Urgency(), pl.Weight()
	return caller, nil
}

// serviceTarget returns the path that the service gets. A query that carries the key loses that part.
func serviceTarget(hr *http.Request, service string) string {
	target := strings.TrimPrefix(hr.URL.EscapedPath(), servicePrefix+service)
	if target == "" {
		target = "/"
	}
	query := hr.URL.Query()
	credential := bearer(hr.Header)
	for name, values := range query {
		if credential != "" && strings.Contains(name+strings.Join(values, " "), credential) {
			query.Del(name)
		}
	}
	if encoded := query.Encode(); encoded != "" {
		target += "?" + encoded
	}
	return target
}
