package acceptor_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against a stream that had begun and broke off, and was then joined by something else than its rest: the text of a failure,
// another type of answer, events that the caller has already, or nothing at all with the end of the stream.
func TestOnlyTheRestJoinsAStream(t *testing.T) {
	broken := answerRaw(chunkedHead, chunk(firstEvent)+chunk("id: 2\nda"), false)
	answer := func(status int, contentType, text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Response-Seal", "second")
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, text)
		}
	}
	const events = "text/event-stream"
	message := "no such stream\n\n"
	tests := map[string]struct {
		first, second http.HandlerFunc
		// whole is true if the caller gets the whole stream; otherwise its answer must not look whole.
		whole bool
	}{
		"the rest":                                {broken, answer(200, events, secondEvent), true},
		"the rest, with a parameter of the type":  {broken, answer(200, events+"; charset=utf-8", secondEvent), true},
		"a failure's text":                        {broken, answer(500, "text/plain", message), false},
		"a failure's text as events":              {broken, answer(500, events, message), false},
		"a refusal":                               {broken, answer(404, "text/plain", message), false},
		"a refusal that says not run":             {broken, notRun, false},
		"another status of success":               {broken, answer(206, events, secondEvent), false},
		"no content":                              {broken, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }, false},
		"a failure's text with status 200":        {broken, answer(200, "text/plain", message), false},
		"a text without a blank line, status 200": {broken, answer(200, "text/plain", "no such stream"), false},
		"a page with status 200":                  {broken, answer(200, "text/html", "<html>\n\n</html>"), false},
		"an answer without a type":                {broken, answerRaw("Content-Length: 16\r\n", message, false), false},
		"a head inside the body":                  {broken, answer(200, "text/plain", "HTTP/1.1 500 Internal Server Error\r\n\r\n"), false},
		"the whole stream again":                  {broken, answer(200, events, firstEvent+secondEvent), false},
		"the last event again":                    {broken, answer(200, events, firstEvent), false},
		"nothing, broken off":                     {broken, answerRaw(chunkedHead, "", false), false},
		"nothing, without framing":                {broken, answerRaw(bareHead, "", false), false},
		"the rest of a stream without identifiers": {
			answerRaw(chunkedHead, chunk("data: x1\n\n"), false), answer(200, events, "data: x1\n\ndata: x2\n\n"), false,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ti := newFramingInstance(t, tt.first, tt.second)
			an := ti.ask("HTTP/1.1", "/resume/1")
			if seal := an.Header.Get("Response-Seal"); seal != "seal" {
				t.Errorf("seal %q, not that of the first target", seal)
			}
			if (an.err == nil) != tt.whole {
				t.Errorf("got %q, %v", an.text, an.err)
			}
			whole, anonymous := firstEvent+secondEvent, "data: x1\n\ndata: x2\n\n"
			if !strings.HasPrefix(whole, an.text) && !strings.HasPrefix(anonymous, an.text) {
				t.Errorf("joined to the stream: %q", an.text)
			}
		})
	}
}

// Guards against a caller that takes a stream up again and gets events that it has, as the target began anew.
func TestTakenUpStreamGoesOnAfterTheLastEvent(t *testing.T) {
	tests := map[string]struct {
		text   string
		status int
	}{
		"the rest":               {secondEvent, http.StatusOK},
		"the whole stream again": {firstEvent + secondEvent, http.StatusBadGateway},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ti := newTestInstance(t)
			ti.addTarget("e1", "engines", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				text := firstEvent
				if r.Header.Get("Last-Event-Id") != "" {
					text = tt.text
				}
				_, _ = io.WriteString(w, text)
			})
			ti.expectStatus("/resume/1", nil, http.StatusOK)
			ti.expectStatus("/resume/1", func(r *http.Request) {
				r.Header.Set("Request-Id", "id-2")
				r.Header.Set("Last-Event-Id", "1")
				r.Header.Set("Resumes", "id-1")
			}, tt.status)
		})
	}
}
