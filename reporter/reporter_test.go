package reporter_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"lovagebank/reporter"
	"lovagebank/requester"
)

// scrape closes the reporter, which flushes the metrics, and returns the text that a monitoring system would get.
func scrape(re *reporter.Reporter) string {
	re.Close()
	rw := httptest.NewRecorder()
	re.Handler().ServeHTTP(rw, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return rw.Body.String()
}

func TestRequestsAreCountedByOrganisationAndResult(t *testing.T) {
	t.Parallel()
	re := reporter.New()
	rq := requester.New(requester.Fields{Organisation: "castaneda"})
	re.RequestEnded(rq, requester.NewUsage(3, 4, "a", "1", time.Millisecond, time.Millisecond), nil, time.Second)
	re.RequestEnded(rq, requester.Usage{}, requester.Refuse(requester.CodeRateExceeded, "Too many.", 0), time.Second)
	text := scrape(re)
	for _, want := range []string{
		`lovagebank_requests{organisation="castaneda",outcome="ran",result="ok"} 1`,
		`lovagebank_requests{organisation="castaneda",outcome="not-run",result="rate-exceeded"} 1`,
		`lovagebank_tokens{organisation="castaneda"} 7`,
		`lovagebank_load_stalls{organisation="castaneda"} 1`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("metrics lack %s", want)
		}
	}
}

func TestLabelsAreBounded(t *testing.T) {
	t.Parallel()
	re := reporter.New()
	for index := range 600 {
		rq := requester.New(requester.Fields{Organisation: "o" + strconv.Itoa(index)})
		re.RequestEnded(rq, requester.Usage{}, requester.Refuse(requester.CodeDeadline, "Late.", 0), time.Second)
	}
	text := scrape(re)
	if got := strings.Count(text, "\nlovagebank_requests{"); got != 501 {
		t.Errorf("%d series, want 500 organisations and one for the others", got)
	}
}
