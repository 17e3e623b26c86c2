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

// heldAnswer is a response recorder that signals the first write and blocks writes until it is released.
type heldAnswer struct {
	*httptest.ResponseRecorder
	once     sync.Once
	begun    chan struct{}
	released chan struct{}
}

func newHeldAnswer() *heldAnswer {
	return &heldAnswer{ResponseRecorder: httptest.NewRecorder(), begun: make(chan struct{}), released: make(chan struct{})}
}

func (ha *heldAnswer) Write(text []byte) (int, error) {
	ha.once.Do(func() { close(ha.begun) })
	<-ha.released
	return ha.ResponseRecorder.Write(text)
}

// WriteString overrides the recorder's method, which would bypass Write.
func (ha *heldAnswer) WriteString(text string) (int, error) { return ha.Write([]byte(text)) }

// order sends an order that expects a given order count at the target, and returns the status of the response.
func order(ta *emulator.Target, operation, adapter string, expected int) int {
	body := fmt.Sprintf(`{"op":%q,"model":%q,"adapter":%q,"holder":"me","fence":1,"expected":%d}`,
		operation, emulator.Model, adapter, expected)
	rs := httptest.NewRecorder()
	ta.ServeHTTP(rs, httptest.NewRequest(http.MethodPost, "/-/order", strings.NewReader(body)))
	return rs.Code
}

// await repeats an order while the response has the given status, and returns the first other status.
func await(ta *emulator.Target, operation, adapter string, expected, while int) int {
	for {
		if status := order(ta, operation, adapter, expected); status != while {
			return status
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// An unload of an adapter in use waits for the adapter's request, and other orders are rejected until then. A second load of
// an adapter whose load is pending is not counted.
func TestOrdersOfATarget(t *testing.T) {
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
	if status := order(ta, "load", "a1", 0); status != http.StatusAccepted {
		t.Fatalf("status %d of the first load", status)
	}
	if status := await(ta, "load", "a1", 1, http.StatusAccepted); status != http.StatusOK {
		t.Fatalf("status %d of the load of a loaded adapter", status)
	}
	rs := newHeldAnswer()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		rq := httptest.NewRequest(http.MethodPost, "/", nil)
		rq.Header.Set("Model-Name", emulator.Model+"/a1")
		ta.ServeHTTP(rs, rq)
	}()
	<-rs.begun
	if status := order(ta, "unload", "a1", 1); status != http.StatusAccepted {
		t.Errorf("status %d of the unload of an adapter in use", status)
	}
	if status := order(ta, "load", "a2", 2); status != http.StatusConflict {
		t.Errorf("status %d of a load during the pending unload", status)
	}
	close(rs.released)
	if status := await(ta, "load", "a2", 2, http.StatusConflict); status != http.StatusAccepted {
		t.Errorf("status %d of the load after the unload", status)
	}
	<-ended
	if ta.Most() != 1 {
		t.Errorf("at most %d adapters at one time", ta.Most())
	}
}
