package storer_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"lovagebank/faker"
	"lovagebank/storer"
)

// Guards against a write that counts as refused, or done, because of an answer that is none: the store may have executed it.
func TestMalformedAnswers(t *testing.T) {
	for name, head := range faker.RawHeads(len(swapped)) {
		t.Run(name, func(t *testing.T) {
			rs, err := faker.NewRawServer(func(*http.Request) faker.RawAnswer {
				return faker.RawAnswer{Text: head.With("X-Consul-Index: 9") + swapped, End: faker.RawHalfClosed}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer rs.Close()
			cl := storer.New(storer.Options{Address: rs.Address(), Backoff: time.Microsecond})
			defer cl.Close()
			_, err = cl.CompareAndSwap(t.Context(), "k", []byte("mine"), 1)
			if head.Malformed != errors.Is(err, storer.ErrUnknown) || !head.Malformed && err != nil {
				t.Errorf("got %v", err)
			}
			if rs.Requests() != 1 {
				t.Errorf("sent %d times", rs.Requests())
			}
		})
	}
}
