package exchanger

import (
	"net/http"

	"lovagebank/wire/wireconnect"
)

// frequent are the procedures that are called many times a second.
var frequent = map[string]bool{
	wireconnect.FleetServiceExchangeProcedure: true,
	wireconnect.FleetServiceTurnProcedure:     true,
}

// needless are headers that connect sets and that exchanges do without: they carry little else, and there are many.
var needless = []string{"Accept-Encoding", "Connect-Protocol-Version", "Connect-Timeout-Ms"}

// leanTransport sends frequent calls without needless headers.
type leanTransport struct{ next http.RoundTripper }

// RoundTrip sends a call, in the case of a frequent one a copy of it.
func (lt leanTransport) RoundTrip(rq *http.Request) (*http.Response, error) {
	if !frequent[rq.URL.Path] {
		return lt.next.RoundTrip(rq)
	}
	lean := rq.Clone(rq.Context())
	for _, name := range needless {
		lean.Header.Del(name)
	}
	// An empty value keeps the HTTP client from adding its own.
	lean.Header.Set("User-Agent", "")
	return lt.next.RoundTrip(lean)
}

// lean answers without the date that the HTTP server adds.
func lean(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}
