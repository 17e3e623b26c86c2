package acceptor_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"lovagebank/platform"
)

// Guards against the incident ORDER: a stream whose route gets resumable only while it lasts is taken up at another
// version, as it was not recorded where it began.
func TestRecordsStreamsOfAllRoutes(t *testing.T) {
	tests := map[string]string{"resumable": "/resume/1", "not resumable": "/stream/1"}
	for name, path := range tests {
		t.Run(name, func(t *testing.T) {
			ti := newTestInstance(t)
			ti.addTarget("e1", "engines", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, firstEvent) })
			if _, _, err := ti.send(path, nil); err != nil {
				t.Fatal(err)
			}
			for {
				if _, ok := ti.written.Load(platform.StreamPrefix + "id-1"); ok {
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}
