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

// heldAnswer is an answer that tells when it begins and goes on once it is released.
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

// WriteString keeps the recorder's own from being used in place of Write.
func (ha *heldAnswer) WriteString(text string) (int, error) { return ha.Write([]byte(text)) }

// order gives a target an order that expects a count of orders, and returns the status of its answer.
func order(ta *emulator.Target, operation, adapter string, expected int) int {
	body := fmt.Sprintf(`{"op":%q,"model":%q,"adapter":%q,"holder":"me","fence":1,"expected":%d}`,
		operation, emulator.Model, adapter, expected)
	rs := httptest.NewRecorder()
	ta.ServeHTTP(rs, httptest.NewRequest(http.MethodPost, "/-/order", strings.NewReader(body)))
	return rs.Code
}

// await gives an order until the answer is no longer one that asks to wait.
func await(ta *emulator.Target, operation, adapter string, expected, while int) int {
	for {
		if status := order(ta, operation, adapter, expected); status != while {
			return status
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// An unload of an adapter in use waits for its request and keeps other orders off until then; a second load of what is
// under way is not counted.
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
		t.Fatalf("the first load gives %d", status)
	}
	if status := await(ta, "load", "a1", 1, http.StatusAccepted); status != http.StatusOK {
		t.Fatalf("the loaded adapter gives %d", status)
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
		t.Errorf("the unload of an adapter in use gives %d", status)
	}
	if status := order(ta, "load", "a2", 2); status != http.StatusConflict {
		t.Errorf("a load meanwhile gives %d", status)
	}
	close(rs.released)
	if status := await(ta, "load", "a2", 2, http.StatusConflict); status != http.StatusAccepted {
		t.Errorf("the load after it gives %d", status)
	}
	<-ended
	if ta.MaxAdapters() != 1 {
		t.Errorf("%d adapters at a time", ta.MaxAdapters())
	}
}
