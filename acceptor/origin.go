package acceptor

import (
	"errors"
	"slices"

	"lovagebank/balancer"
	"lovagebank/forwarder"
	"lovagebank/resumer"
	"lovagebank/router"
)

// resumable reports whether the request's stream may go on at a further target.
func (ex *exchange) resumable() bool { return ex.route.Kind() == router.Stream && ex.route.Resumable() }

// findOrigin determines, for a stream that its caller takes up again, the service and the software version at which it began,
// as it may go on only there. It returns a refusal if that is not known, or if no target has that version.
func (ex *exchange) findOrigin(cf *router.Configuration) *refusal {
	if !ex.resumable() || ex.caller.LastEvent == "" {
		return nil
	}
	og, source, err := ex.ac.op.Streams.Lookup(ex.ctx, ex.caller.Resumes, ex.place)
	ex.outcome.originSource = source
	if err != nil {
		ex.outcome.recordError(err)
		return refusedUnknownOrigin
	}
	service, ok := cf.Service(og.Service)
	if !ok || !slices.Contains(ex.route.Services(), og.Service) {
		return refusedOriginGone
	}
	ex.service = service
	ex.pin(og.Software)
	if ex.ac.op.Balancer.Software(og.Service)[og.Software] == 0 {
		return refusedOriginGone
	}
	return nil
}

// pin restricts further sends to targets with one version of the software.
func (ex *exchange) pin(software string) {
	ex.pinned, ex.software, ex.outcome.streamSoftware = true, software, software
}

// beginStream makes sure that a stream's origin will be found when its caller takes it up again, before its first event is
// passed on. A stream that may not be taken up does not wait for that: the operators may make its route resumable while it lasts.
func (ex *exchange) beginStream(ta *balancer.Target, rs *forwarder.Response) error {
	if ex.pinned && ex.caller.LastEvent != "" || ex.headSent {
		return nil
	}
	og, err := ex.originAt(ta)
	if err != nil {
		rs.Abort()
		return errors.Join(errStreamNotRecorded, err)
	}
	if !ex.resumable() {
		ex.ac.op.Streams.Note(ex.caller.ID, ex.place, og)
		return nil
	}
	rc := ex.ac.op.Streams.Begin(ex.caller.ID, ex.place, og)
	ex.pin(og.Software)
	if err := rc.Wait(ex.ctx); err != nil {
		rs.Abort()
		return errors.Join(errStreamNotRecorded, err)
	}
	return nil
}

// errStreamNotRecorded means that a stream was ended before its first event, as it could not have been taken up again.
var errStreamNotRecorded = errors.New("the stream was not passed on")

// preferredOrigin returns the origin at which a new stream should rather begin, if there is one.
func (ex *exchange) preferredOrigin() (resumer.Origin, bool) {
	if ex.pinned || !ex.resumable() {
		return resumer.Origin{}, false
	}
	return ex.ac.op.Streams.Preferred(ex.place)
}

// choose picks a target for the request. While the store does not answer, a new stream rather begins at a version that needs no
// entry there.
func (ex *exchange) choose() (*balancer.Choice, bool) {
	ex.outcome.isolated = ex.isolation()
	ne := ex.requirements()
	if og, ok := ex.preferredOrigin(); ok && og.Service == ne.Service {
		preferred := ne
		preferred.SameSoftware, preferred.Software = true, og.Software
		if ch, ok := ex.ac.op.Balancer.Choose(preferred); ok {
			return ch, true
		}
	}
	return ex.ac.op.Balancer.Choose(ne)
}
