package exchanger

import (
	"net/http"

	"lovagebank/wire/wireconnect"
)

// frequentProcedures are the procedures that are called many times per second.
var frequentProcedures = map[string]bool{
	wireconnect.FleetServiceExchangeProcedure: true,
	wireconnect.FleetServiceTurnProcedure:     true,
}

// omittedHeaders are headers that Connect sets and that frequent calls do not need. These calls carry little else, and there
// are many of them.
var omittedHeaders = []string{"Accept-Encoding", "Connect-Protocol-Version", "Connect-Timeout-Ms"}

// compactTransport sends frequent calls without unneeded headers.
type compactTransport struct{ next http.RoundTripper }

// RoundTrip sends a call. Of a frequent call it sends a copy without the unneeded headers.
func (ct compactTransport) RoundTrip(rq *http.Request) (*http.Response, error) {
	if !frequentProcedures[rq.URL.Path] {
		return ct.next.RoundTrip(rq)
	}
	compact := rq.Clone(rq.Context())
	for _, name := range omittedHeaders {
		compact.Header.Del(name)
	}
	// An empty value keeps the HTTP client from adding its own.
	compact.Header.Set("User-Agent", "")
	return ct.next.RoundTrip(compact)
}

// withoutDate suppresses the Date header that the HTTP server adds to answers.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}
