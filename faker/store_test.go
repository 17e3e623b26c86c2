package faker

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// call serves a request with a handler directly, without a network connection.
func call(hd http.Handler, method, target, body string) *httptest.ResponseRecorder {
	wr := httptest.NewRecorder()
	hd.ServeHTTP(wr, httptest.NewRequest(method, target, strings.NewReader(body)))
	return wr
}

// entries decodes the response to a read of keys.
func entries(t *testing.T, wr *httptest.ResponseRecorder) []Entry {
	t.Helper()
	var found []Entry
	if err := json.NewDecoder(wr.Body).Decode(&found); err != nil && err != io.EOF {
		t.Fatal(err)
	}
	return found
}

func TestStoreKeys(t *testing.T) {
	st := NewStore(StoreOptions{})
	steps := []struct{ method, target, body, want string }{
		{"PUT", "/v1/kv/a/1?cas=0", "one", "true"},
		{"PUT", "/v1/kv/a/1?cas=0", "two", "false"},
		{"PUT", "/v1/kv/a/1?cas=2", "two", "true"},
		{"PUT", "/v1/kv/a/1?cas=2", "three", "false"},
		{"PUT", "/v1/kv/a/2?flags=7", "x", "true"},
		{"GET", "/v1/kv/a/1?raw", "", "two"},
		{"GET", "/v1/kv/a/?keys", "", `["a/1","a/2"]`},
		{"DELETE", "/v1/kv/a/1?cas=2", "", "false"},
		{"DELETE", "/v1/kv/a/1?cas=3", "", "true"},
		{"DELETE", "/v1/kv/a/?recurse", "", "true"},
		{"GET", "/v1/kv/a/?recurse", "", ""},
	}
	for _, step := range steps {
		if got := strings.TrimSpace(call(st, step.method, step.target, step.body).Body.String()); got != step.want {
			t.Errorf("%s %s: got %s, want %s", step.method, step.target, got, step.want)
		}
	}
}

func TestStoreTransactionIsAtomic(t *testing.T) {
	st := NewStore(StoreOptions{})
	call(st, "PUT", "/v1/kv/b", "old")
	failing := `[{"KV":{"Verb":"set","Key":"a","Value":"bmV3"}},{"KV":{"Verb":"set","Key":"b","Value":"bmV3"}},` +
		`{"KV":{"Verb":"cas","Key":"b","Value":"bmV3","Index":9}}]`
	wr := call(st, "PUT", "/v1/txn", failing)
	if wr.Code != http.StatusConflict || !strings.Contains(wr.Body.String(), `"OpIndex":2`) {
		t.Fatalf("failing transaction: status %d, body %s", wr.Code, wr.Body)
	}
	if wr := call(st, "GET", "/v1/kv/a", ""); wr.Code != http.StatusNotFound {
		t.Errorf("the first operation of a failed transaction took effect: %s", wr.Body)
	}
	if value := call(st, "GET", "/v1/kv/b?raw", "").Body.String(); value != "old" {
		t.Errorf("the second operation of a failed transaction took effect: %s", value)
	}
	passing := `[{"KV":{"Verb":"check-not-exists","Key":"a"}},{"KV":{"Verb":"set","Key":"a","Value":"bmV3"}},` +
		`{"KV":{"Verb":"cas","Key":"b","Value":"bmV3","Index":2}}]`
	if wr := call(st, "PUT", "/v1/txn", passing); wr.Code != http.StatusOK {
		t.Fatalf("passing transaction: status %d, body %s", wr.Code, wr.Body)
	}
	first, second := entries(t, call(st, "GET", "/v1/kv/a", "")), entries(t, call(st, "GET", "/v1/kv/b", ""))
	if first[0].ModifyIndex != second[0].ModifyIndex || string(second[0].Value) != "new" {
		t.Errorf("entries of one transaction are %+v and %+v", first[0], second[0])
	}
}

func TestStoreBlockingQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := NewStore(StoreOptions{})
		call(st, "PUT", "/v1/kv/a", "one")
		index := call(st, "GET", "/v1/kv/a", "").Header().Get("X-Consul-Index")
		began := time.Now()
		if wr := call(st, "GET", "/v1/kv/a?wait=3s&index="+index, ""); time.Since(began) != 3*time.Second {
			t.Errorf("query of an unchanged key returned after %s: %s", time.Since(began), wr.Body)
		}
		go func() {
			time.Sleep(time.Second)
			call(st, "PUT", "/v1/kv/other", "x")
			call(st, "PUT", "/v1/kv/a", "two")
		}()
		began = time.Now()
		found := entries(t, call(st, "GET", "/v1/kv/a?wait=1m&index="+index, ""))
		if time.Since(began) != time.Second || string(found[0].Value) != "two" {
			t.Errorf("query returned %s after %s", found[0].Value, time.Since(began))
		}
		recent := call(st, "GET", "/v1/kv/?recurse", "").Header().Get("X-Consul-Index")
		if want := strconv.FormatUint(found[0].ModifyIndex, 10); recent != want {
			t.Errorf("index of the prefix is %s, want %s", recent, want)
		}
	})
}

func TestStoreSessionExpiry(t *testing.T) {
	tests := map[string]struct {
		behavior, delay string
		wantFound       bool
		wantLock        string
	}{
		"released at once":         {"release", "0s", true, "true"},
		"released with lock delay": {"release", "15s", true, "false"},
		"deleted":                  {"delete", "0s", false, "true"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := NewStore(StoreOptions{})
				create := func(delay string) string {
					var made struct{ ID string }
					body := `{"TTL":"10s","Behavior":"` + tc.behavior + `","LockDelay":"` + delay + `"}`
					if err := json.NewDecoder(call(st, "PUT", "/v1/session/create", body).Body).Decode(&made); err != nil {
						t.Fatal(err)
					}
					return made.ID
				}
				holder := create(tc.delay)
				call(st, "PUT", "/v1/kv/lock?acquire="+holder, "mine")
				time.Sleep(9 * time.Second)
				call(st, "PUT", "/v1/session/renew/"+holder, "")
				time.Sleep(9 * time.Second)
				next := create("0s")
				if got := strings.TrimSpace(call(st, "PUT", "/v1/kv/lock?acquire="+next, "other").Body.String()); got != "false" {
					t.Error("a renewed session lost its lock")
				}
				time.Sleep(2 * time.Second)
				if wr := call(st, "PUT", "/v1/session/renew/"+holder, ""); wr.Code != http.StatusNotFound {
					t.Errorf("renewal of an expired session: status %d", wr.Code)
				}
				if found := len(entries(t, call(st, "GET", "/v1/kv/lock", ""))) > 0; found != tc.wantFound {
					t.Errorf("key exists: %v, want %v", found, tc.wantFound)
				}
				if got := strings.TrimSpace(call(st, "PUT", "/v1/kv/lock?acquire="+next, "other").Body.String()); got != tc.wantLock {
					t.Errorf("acquire returned %s, want %s", got, tc.wantLock)
				}
			})
		})
	}
}
