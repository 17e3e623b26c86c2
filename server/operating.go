package server

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lovagebank/operator"
)

// newOperatorHandler returns the handler of the operators' listener. Metrics and health need no credentials; the
// listener is not for callers.
func (sv *Server) newOperatorHandler() http.Handler {
	op := operator.New(operator.Options{
		Credentials: sv.settings.Credentials(),
		Publisher:   sv.publisher,
		Auditor:     sv.auditor,
		Mount:       sv.mountInsight,
	})
	router := chi.NewRouter()
	router.Method(http.MethodGet, "/metrics", sv.reporter.Handler())
	router.Get("/healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	router.Mount("/", op)
	return router
}

// mountInsight adds the routes that explain what the instance sees and did.
func (sv *Server) mountInsight(ro chi.Router) {
	ro.Get("/v1/status", func(rw http.ResponseWriter, _ *http.Request) { writeInsight(rw, sv.status()) })
	ro.Get("/v1/explain/request/{id}", func(rw http.ResponseWriter, hr *http.Request) {
		explained, ok := sv.explainRequest(chi.URLParam(hr, "id"))
		writeFound(rw, explained, ok)
	})
	ro.Get("/v1/explain/adapter/{name}", func(rw http.ResponseWriter, hr *http.Request) {
		explained, ok := sv.explainAdapter(chi.URLParam(hr, "name"))
		writeFound(rw, explained, ok)
	})
	ro.Get("/v1/explain/organisation/{name}", func(rw http.ResponseWriter, hr *http.Request) {
		explained, ok := sv.explainOrganisation(chi.URLParam(hr, "name"))
		writeFound(rw, explained, ok)
	})
}

func writeFound(rw http.ResponseWriter, body any, found bool) {
	if !found {
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(rw).Encode(operator.Failure{Code: operator.CodeNotFound, Message: "nothing of that name is known here"})
		return
	}
	writeInsight(rw, body)
}

func writeInsight(rw http.ResponseWriter, body any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body)
}
