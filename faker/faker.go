// Package faker holds stand-ins for what lovagebank meets: the platform's store and instance list, model engines and
// plain services. They speak the published interfaces over HTTP, and their faults are switched by methods or over a
// control handler. Only tests and the programs under cmd use them.
package faker

import (
	"encoding/json"
	"net/http"
)

// writeJSON answers with one JSON value.
func writeJSON(wr http.ResponseWriter, status int, value any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	// A failed write means that the caller is gone, which is nothing to a stand-in.
	_ = json.NewEncoder(wr).Encode(value)
}
