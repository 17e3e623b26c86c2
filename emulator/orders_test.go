package emulator_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"lovagebank/emulator"
)

// blockingRecorder is a response recorder that signals the first write and blocks writes until it is released.
type blockingRecorder struct {
	*httptest.ResponseRecorder
	once     sync.Once
	begun    chan struct{}
	released chan struct{}
}

func newBlockingRecorder() *blockingRecorder {
	return &blockingRecorder{ResponseRecorder: httptest.NewRecorder(), begun: make(chan struct{}), released: make(chan struct{})}
}

func (br *blockingRecorder) Write(text []byte) (int, error) {
	br.once.Do(func() { close(br.begun) })
	<-br.released
	return br.ResponseRecorder.Write(text)
}

// WriteString overrides the recorder's method, which would bypass Write.
func (br *blockingRecorder) WriteString(text string) (int, error) { return br.Write([]byte(text)) }

// sendOrder sends an order that expects a given order count at the target, and returns the status of the response.
func sendOrder(ta *emulator.Target, operation, adapter string, expected int) int {
	body := fmt.Sprintf(`{"op":%q,"model":%q,"adapter":%q,"holder":"me","fence":1,"expected":%d}`,
		operation, emulator.Model, adapter, expected)
	rs := httptest.NewRecorder()
	ta.ServeHTTP(rs, httptest.NewRequest(http.MethodPost, "/-/order", strings.NewReader(body)))
	return rs.Code
}

// awaitOrder repeats an order while the response has the given status, and returns the first other status.
func awaitOrder(ta *emulator.Target, operation, adapter string, expected, while int) int {
	for {
		if status := sendOrder(ta, operation, adapter, expected); status != while {
			return status
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// An unload of an adapter in use waits for the adapter's request, and other orders are rejected until then. A second load of
// an adapter whose load is pending is not counted.
func TestUnloadWaitsForRequestInProgress(t *testing.T) {
	fl, err := emulator.NewFleet(emulator.Options{Folder: t.TempDir(), Engines: 1, Applications: 1, Zones: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer fl.Close()
	var ta *emulator.Target
	for _, id := range fl.TargetIDs() {
		if strings.HasPrefix(id, "engine-") {
			ta = fl.Target(id)
		}
	}
	if status := sendOrder(ta, "load", "a1", 0); status != http.StatusAccepted {
		t.Fatalf("status %d of the first load", status)
	}
	if status := awaitOrder(ta, "load", "a1", 1, http.StatusAccepted); status != http.StatusOK {
		t.Fatalf("status %d of the load of a loaded adapter", status)
	}
	rs := newBlockingRecorder()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		rq := httptest.NewRequest(http.MethodPost, "/", nil)
		rq.Header.Set("Model-Name", emulator.Model+"/a1")
		ta.ServeHTTP(rs, rq)
	}()
	<-rs.begun
	if status := sendOrder(ta, "unload", "a1", 1); status != http.StatusAccepted {
		t.Errorf("status %d of the unload of an adapter in use", status)
	}
	if status := sendOrder(ta, "load", "a2", 2); status != http.StatusConflict {
		t.Errorf("status %d of a load during the pending unload", status)
	}
	close(rs.released)
	if status := awaitOrder(ta, "load", "a2", 2, http.StatusConflict); status != http.StatusAccepted {
		t.Errorf("status %d of the load after the unload", status)
	}
	<-ended
	if ta.MaxAdapters() != 1 {
		t.Errorf("at most %d adapters at one time", ta.MaxAdapters())
	}
}
