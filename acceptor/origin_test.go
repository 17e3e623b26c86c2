package acceptor_test

import (
	"io"
	"net/http"
	"testing"

	"lovagebank/acceptor"
	"lovagebank/resumer"
)

// Guards against the incident ORDER: a stream whose route gets resumable only while it lasts is taken up at another
// version, as it was not recorded where it began.
func TestRecordsStreamsOfAllRoutes(t *testing.T) {
	tests := map[string]string{"resumable": "/resume/1", "not resumable": "/stream/1"}
	for name, path := range tests {
		t.Run(name, func(t *testing.T) {
			var streams *resumer.Resumer
			ti := newTestInstanceOptions(t, 1, func(op *acceptor.Options) { streams = op.Streams })
			ti.addTarget("e1", "engines", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, firstEvent) })
			if _, _, err := ti.send(path, nil); err != nil {
				t.Fatal(err)
			}
			og, _, err := streams.Lookup(t.Context(), "id-1", resumer.NewPlace(host, path))
			if want := (resumer.Origin{Service: "engines", Software: "v1"}); err != nil || og != want {
				t.Errorf("found %+v, %v, want %+v", og, err, want)
			}
		})
	}
}
