// Package faker provides fakes of the systems that lovagebank talks to: the platform's store and instance list, model
// engines and plain services. The fakes implement the published interfaces over HTTP, and faults are injected by
// methods or through a control handler. Only tests and the programs under cmd use the package.
package faker

import (
	"encoding/json"
	"net/http"
)

// writeJSON writes a response with a status code and a JSON body.
func writeJSON(wr http.ResponseWriter, status int, value any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	// A failed write means that the client has disconnected, which does not affect a fake.
	_ = json.NewEncoder(wr).Encode(value)
}
