package emulator_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"lovagebank/emulator"
)

// Guards against answers that are none, and parts of answers that come while their request is being written: all
// targets of a fleet send them, and no caller may take one for an answer. Whole answers that come as early are served.
func TestDamagedAnswersReachNoCaller(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const plays = 20
	const uploadBytes = 3 << 20
	fl, us := newFleetWith(t, emulator.Options{MaxBodyBytes: 4 << 20, Engines: 2, Applications: 2}, 1)
	endAll := func(end emulator.AnswerEnd) {
		for _, id := range fl.TargetIDs() {
			fl.Target(id).EndAnswers(end)
		}
	}
	var next atomic.Int64
	ask := func(path, adapter string) (status int, id, text string) {
		id = fmt.Sprintf("u%d", next.Add(1))
		call := emulator.Call{Path: path, ID: id, Key: emulator.Key, Adapter: adapter, Deadline: 5 * time.Second, UploadBytes: uploadBytes}
		status, text, _ = call.Send(t.Context(), http.DefaultClient, us.entries[0].Address())
		text, _ = emulator.SplitStream(text)
		return status, id, text
	}
	want := func(id, adapter string) string {
		if adapter == "" {
			return "answer to " + id
		}
		return emulator.CompleteStream(adapter, 6)
	}
	for _, end := range emulator.DamagedEnds() {
		endAll(end)
		served := 0
		for number := range plays {
			path, adapter := "/order/1", ""
			if number%4 == 3 {
				path, adapter = "/ask/1", "a1"
			}
			status, id, text := ask(path, adapter)
			if status != http.StatusOK {
				continue
			}
			served++
			if text != want(id, adapter) {
				t.Errorf("end %d: %s %s looks whole: %q", end, id, path, text[:min(len(text), 200)])
			}
		}
		if whole := end == emulator.EndUploadClosed; whole != (served > 0) {
			t.Errorf("end %d: %d of %d served", end, served, plays)
		}
	}
	endAll(emulator.EndWhole)
	deadline := time.Now().Add(30 * time.Second)
	for status := 0; status != http.StatusOK; status, _, _ = ask("/check/1", "") {
		if time.Now().After(deadline) {
			t.Fatal("nothing is served after the targets have recovered")
		}
	}
	runs := make(map[string]int)
	for _, ru := range fl.Runs() {
		if runs[ru.ID]++; strings.HasPrefix(ru.Path, "/order/") && runs[ru.ID] > 1 {
			t.Errorf("request %s ran %d times", ru.ID, runs[ru.ID])
		}
	}
}
