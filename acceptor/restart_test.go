package acceptor_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"lovagebank/acceptor"
	"lovagebank/balancer"
	"lovagebank/resumer"
)

// Guards against the incident ORDER of review/2: a stream goes on at a target that is back under its ID with other
// software, whose old entry the instance still has.
func TestStreamsGoOnOnlyAtKnownStarts(t *testing.T) {
	tests := map[string]struct {
		same   bool
		status int
	}{"the start of the entry": {true, http.StatusOK}, "another start, or none known": {false, http.StatusServiceUnavailable}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var streams *resumer.Resumer
			ti := newTestInstanceOptions(t, 1, func(op *acceptor.Options) {
				streams = op.Streams
				op.SameStart = func(context.Context, *balancer.Target) bool { return tt.same }
			})
			ti.addTarget("e1", "engines", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, secondEvent) })
			streams.Begin("first", resumer.NewPlace(host, "/resume/1"), resumer.Origin{Service: "engines", Software: "v1"})
			ti.expectStatus("/resume/1", func(rq *http.Request) {
				rq.Header.Set("Resumes", "first")
				rq.Header.Set("Last-Event-Id", "1")
			}, tt.status)
			ti.expectStatus("/resume/1", nil, http.StatusOK)
		})
	}
}

// A stream that begins at a target whose connections have failed of late is recorded with the software that the store lists now.
func TestRecordsSoftwareOfRestartedTarget(t *testing.T) {
	for name, unknown := range map[string]bool{"listed": false, "not known": true} {
		t.Run(name, func(t *testing.T) {
			var streams *resumer.Resumer
			ti := newTestInstanceOptions(t, 1, func(op *acceptor.Options) {
				streams = op.Streams
				op.ReadTarget = func(_ context.Context, id string) (*balancer.Target, error) {
					if unknown {
						return nil, errors.New("not known")
					}
					return balancer.NewTarget(balancer.TargetOptions{ID: id, Service: "engines", Software: "v2"}), nil
				}
			})
			fails := true
			ti.addTarget("e1", "engines", func(w http.ResponseWriter, _ *http.Request) {
				if fails {
					fails = false
					panic(http.ErrAbortHandler)
				}
				_, _ = io.WriteString(w, firstEvent)
			})
			_, _, _ = ti.send("/resume/1", func(rq *http.Request) { rq.Header.Set("Request-Id", "id-0") })
			rs, text, err := ti.send("/resume/1", nil)
			if unknown {
				if err == nil && rs.StatusCode == http.StatusOK {
					t.Errorf("got %q", text)
				}
				return
			}
			og, _, _ := streams.Lookup(t.Context(), "id-1", resumer.NewPlace(host, "/resume/1"))
			if og.Software != "v2" || text != firstEvent {
				t.Errorf("got %q, found %+v", text, og)
			}
		})
	}
}
