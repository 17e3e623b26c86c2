package receiver_test

import (
	"io"
	"net/http"
	"testing"
)

// FuzzModelRequest sends arbitrary bodies and checks that each gets an answer or a refusal with the outcome not-run.
func FuzzModelRequest(f *testing.F) {
	ha := newHarness(f)
	for _, seed := range []string{
		chatBody, "", "{", "null", `{"model":"parts@3","messages":[],"stream":true}`, `{"model":1}`,
		`{"model":"parts","messages":[],"n":1e99}`, "{\"model\":\"\\u0000\",\"messages\":[]}",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		response := ha.send(http.MethodPost, "/v1/chat/completions", body, nil)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != http.StatusOK && response.Header.Get("Lovagebank-Outcome") != "not-run" {
			t.Errorf("status %d without the outcome not-run", response.StatusCode)
		}
		if response.StatusCode >= http.StatusInternalServerError {
			t.Errorf("status %d for a bad body", response.StatusCode)
		}
	})
}
