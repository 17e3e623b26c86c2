package server

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lovagebank/operator"
)

// newOperatorHandler returns the handler of the operators' listener. Metrics and health need no credentials, because
// the listener is not for callers.
func (sv *Server) newOperatorHandler() http.Handler {
	op := operator.New(operator.Options{
		Credentials: sv.settings.Credentials(),
		Publisher:   sv.publisher,
		Auditor:     sv.auditor,
		Mount:       sv.mountStatusRoutes,
	})
	router := chi.NewRouter()
	router.Method(http.MethodGet, "/metrics", sv.reporter.Handler())
	router.Get("/healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	router.Mount("/", op)
	return router
}

// mountStatusRoutes adds the routes for the instance's view of the deployment and for its decisions.
func (sv *Server) mountStatusRoutes(ro chi.Router) {
	ro.Get("/v1/status", func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, sv.status()) })
	ro.Get("/v1/explain/request/{id}", func(rw http.ResponseWriter, hr *http.Request) {
		explained, ok := sv.explainRequest(chi.URLParam(hr, "id"))
		writeJSONIfFound(rw, explained, ok)
	})
	ro.Get("/v1/explain/adapter/{name}", func(rw http.ResponseWriter, hr *http.Request) {
		explained, ok := sv.explainAdapter(chi.URLParam(hr, "name"))
		writeJSONIfFound(rw, explained, ok)
	})
	ro.Get("/v1/explain/organisation/{name}", func(rw http.ResponseWriter, hr *http.Request) {
		explained, ok := sv.explainOrganisation(chi.URLParam(hr, "name"))
		writeJSONIfFound(rw, explained, ok)
	})
}

func writeJSONIfFound(rw http.ResponseWriter, body any, found bool) {
	if !found {
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(rw).Encode(operator.Failure{Code: operator.CodeNotFound, Message: "nothing of that name is known here"})
		return
	}
	writeJSON(rw, body)
}

func writeJSON(rw http.ResponseWriter, body any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body)
}
