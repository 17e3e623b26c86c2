package inspector_test

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"lovagebank/faker"
	"lovagebank/inspector"
)

// FuzzHead compares a Head with net/http, which reads the same bytes after it. What a Head takes for a whole head,
// net/http reads up to the same byte, or refuses, and its fields are sound.
func FuzzHead(f *testing.F) {
	for _, head := range faker.RawHeads(0) {
		f.Add([]byte(head.With("Last: x")))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		he := inspector.NewHead(inspector.Budget{})
		he.Begin()
		end := 0
		for ; end < len(text) && he.Inside(); end++ {
			if he.Add(text[end:end+1]) != nil {
				return
			}
		}
		if he.Inside() {
			return
		}
		const body = "the body"
		reader := bufio.NewReader(strings.NewReader(string(text[:end]) + body))
		var answer *http.Response
		for answer == nil || answer.StatusCode < http.StatusOK {
			var err error
			if answer, err = http.ReadResponse(reader, nil); err != nil {
				return
			}
		}
		if err := inspector.CheckHead(answer.StatusCode, answer.Header); err != nil {
			t.Errorf("%q is taken for a head: %v", text[:end], err)
		}
		if rest, _ := reader.Peek(len(body)); !bytes.Equal(rest, []byte(body)) {
			t.Errorf("%q ends elsewhere for net/http, before %q", text[:end], rest)
		}
	})
}
