package exchanger_test

import (
	"net/http"
	"testing"

	"lovagebank/exchanger"
	"lovagebank/faker"
	"lovagebank/orderer"
)

// Guards against a peer's answer that counts although its head is malformed: an empty message says that the adapter has
// been loaded.
func TestMalformedAnswersOfPeers(t *testing.T) {
	for name, head := range faker.RawHeads(0) {
		t.Run(name, func(t *testing.T) {
			rs, err := faker.NewRawServer(func(*http.Request) faker.RawAnswer {
				return faker.RawAnswer{Text: head.With("Content-Type: application/proto"), End: faker.RawHalfClosed}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer rs.Close()
			refusal, err := exchanger.New(exchanger.Options{}).Load(t.Context(), rs.Address(), "t", orderer.Request{})
			if head.Malformed != (err != nil) {
				t.Errorf("got %q, %v", refusal, err)
			}
		})
	}
}
