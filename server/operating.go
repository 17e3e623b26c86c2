package server

import (
	"net/http"

	"github.com/go-chi/chi/v5"
)

// newOperatorHandler returns the handler of the operators' listener.
func (sv *Server) newOperatorHandler() http.Handler {
	router := chi.NewRouter()
	router.Method(http.MethodGet, "/metrics", sv.reporter.Handler())
	return router
}
