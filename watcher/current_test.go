package watcher_test

import (
	"testing"
	"time"
)

// The pattern of castaneda-stock scale-2, seed 700539506047: the readers of all failure domains are cut off from the store, and a
// configuration comes right after. A copy counts as kept up to date by the store until one answer is missing, and no longer.
func TestCurrentUntilAnAnswerIsMissing(t *testing.T) {
	run(t, func(t *testing.T, wo *world) {
		const wait, late = 2 * time.Second, 500 * time.Millisecond
		wo.store.put("op/a", "1")
		time.Sleep(wait + 100*time.Millisecond)
		if !wo.watcher.Current() {
			t.Fatal("the copy is not current while the store answers")
		}
		wo.hang.Store(true)
		// The call under way is answered, the next one is not.
		time.Sleep(wait)
		if left := wo.watcher.CurrentFor(); left <= 0 || left > wait+late {
			t.Errorf("the copy counts as current for %v more", left)
		}
		time.Sleep(wait + late)
		if wo.watcher.Current() {
			t.Error("the copy counts as current though an answer is missing")
		}
		wo.hang.Store(false)
		wo.watcher.RestartWatch()
		time.Sleep(wait + 100*time.Millisecond)
		if !wo.watcher.Current() {
			t.Error("the copy is not current again")
		}
	})
}
