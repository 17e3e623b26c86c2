package receiver

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"lovagebank/requester"
)

// run charges and dispatches a request and streams its answer, or defers it if the caller prefers that.
func (rc *Receiver) run(rw http.ResponseWriter, hr *http.Request, rq *requester.Request) {
	started := time.Now()
	if prefersAsync(hr.Header) && rq.Organisation() != "" {
		rc.deferRequest(rw, hr, rq)
		return
	}
	an := rc.newAnswer(rw, hr, rq.Stream())
	us, err := rc.chargeAndDispatch(rc.options.StartTrace(hr.Context(), rq), rq, an.sink())
	rf := requester.AsRefusal(err)
	rc.options.OnFinished(rq, us, rf, time.Since(started))
	if rf != nil {
		an.fail(rf)
		return
	}
	an.end()
}

func (rc *Receiver) chargeAndDispatch(ctx context.Context, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	settle, err := rc.options.Charge(ctx, rq)
	if err != nil {
		return requester.Usage{}, err
	}
	us, err := rc.options.Dispatch(ctx, rq, sink)
	settle(requester.ChargedTokens(rq, us, err))
	return us, err
}

// deferredPathPrefix is the path, without the identifier, where a caller polls for the answer of a deferred request.
const deferredPathPrefix = "/v1/deferred/"

type deferredBody struct {
	ID     string `json:"id"`
	Status string `json:"status"`
}

func (rc *Receiver) deferRequest(rw http.ResponseWriter, hr *http.Request, rq *requester.Request) {
	id, err := rc.options.Defer(hr.Context(), rq)
	if err != nil {
		writeRefusal(rw, requester.AsRefusal(err))
		return
	}
	rw.Header().Set("Location", deferredPathPrefix+id)
	rw.Header().Set("Preference-Applied", "respond-async")
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(rw).Encode(deferredBody{ID: id, Status: "accepted"})
}

// serveDeferred returns the answer of a deferred request, or 202 Accepted while it has none.
func (rc *Receiver) serveDeferred(rw http.ResponseWriter, hr *http.Request) {
	organisation, err := rc.options.Authenticate(hr.Header)
	if err != nil {
		writeRefusal(rw, requester.AsRefusal(err))
		return
	}
	id := chi.URLParam(hr, "id")
	de, err := rc.options.FindDeferred(hr.Context(), organisation, id)
	if err != nil {
		writeRefusal(rw, requester.AsRefusal(err))
		return
	}
	if !de.done {
		rw.Header().Set("Retry-After", retrySeconds(de.retry))
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(http.StatusAccepted)
		_ = json.NewEncoder(rw).Encode(deferredBody{ID: id, Status: "running"})
		return
	}
	an := rc.newAnswer(rw, hr, false)
	if err := an.writeHead(de.status, de.header); err != nil {
		return
	}
	if err := an.writeData(de.body); err == nil {
		an.end()
	}
}
