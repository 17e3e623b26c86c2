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

const servicePathPrefix = "/services/"

// serveService forwards a request to an application service.
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
	sv, exists := sn.Service(chi.URLParam(hr, "service"))
	caller, err := rc.authorizeService(hr, sn, sv, exists)
	if err != nil {
		return nil, err
	}
	body, err := rc.readBody(rw, hr)
	if err != nil {
		return nil, err
	}
	deadline, err := readDeadline(hr.Header, caller.maxTime, time.Now())
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
	path := servicePath(hr, sv.Name())
	return requester.New(requester.Fields{
		ID:             requestID(hr.Context()),
		Organisation:   caller.organisation,
		Kind:           requester.KindService,
		Service:        sv.Name(),
		Method:         hr.Method,
		Path:           path,
		Header:         targetHeader(hr.Header),
		Body:           body,
		Urgency:        caller.urgency,
		Deadline:       deadline,
		Weight:         caller.weight,
		Repeatable:     sv.Repeatable(),
		IdempotencyKey: idempotencyKey,
		Fingerprint:    fingerprint(caller.organisation, hr.Method+" "+servicePathPrefix+sv.Name()+path, body),
	}), nil
}

// serviceCaller holds the organisation that calls a service and the limits on its request.
type serviceCaller struct {
	organisation string
	maxTime      time.Duration
	urgency      requester.Urgency
	weight       float64
}

// authorizeService checks that the caller's key is valid and that its plan includes the service. A service that is open
// to all needs no key.
func (rc *Receiver) authorizeService(hr *http.Request, sn *configurer.Snapshot, sv configurer.Service, exists bool) (serviceCaller, error) {
	maxTime := sv.Deadline()
	if maxTime <= 0 {
		maxTime = rc.options.Limits.DefaultDeadline
	}
	caller := serviceCaller{maxTime: maxTime, urgency: requester.UrgencyInteractive, weight: 1}
	if exists && sv.Open() {
		return caller, nil
	}
	organisation, err := rc.options.Authenticate(hr.Header)
	if err != nil {
		return caller, err
	}
	if !exists {
		return caller, requester.Refuse(requester.CodeNotFound, "There is no such service.", 0)
	}
	pl, ok := sn.PlanOf(organisation)
	if !ok || !slices.Contains(pl.Services(), sv.Name()) {
		return caller, requester.Refuse(requester.CodeNotInPlan, "The plan does not include this service.", 0)
	}
	caller.organisation, caller.urgency, caller.weight = organisation, pl.Urgency(), pl.Weight()
	return caller, nil
}

// servicePath returns the path and query for the service, without the query parameters that contain the key.
func servicePath(hr *http.Request, service string) string {
	path := strings.TrimPrefix(hr.URL.EscapedPath(), servicePathPrefix+service)
	if path == "" {
		path = "/"
	}
	query := hr.URL.Query()
	credential := bearerCredential(hr.Header)
	for name, values := range query {
		if credential != "" && strings.Contains(name+strings.Join(values, " "), credential) {
			query.Del(name)
		}
	}
	if encoded := query.Encode(); encoded != "" {
		path += "?" + encoded
	}
	return path
}
