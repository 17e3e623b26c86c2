package watcher_test

import (
	"testing"
	"time"
)

// A copy counts as kept up to date by the store until one answer is missing, and no longer. Guards against the readers of all
// failure domains being cut off from the store right before a configuration is written (scenario castaneda-stock scale-2, seed
// 700539506047).
func TestCurrentUntilAnswerIsMissing(t *testing.T) {
	run(t, func(t *testing.T, fx *fixture) {
		const wait, late = 2 * time.Second, 500 * time.Millisecond
		fx.store.put("op/a", "1")
		time.Sleep(wait + 100*time.Millisecond)
		if !fx.watcher.Current() {
			t.Fatal("the copy is not current while the store answers")
		}
		fx.hang.Store(true)
		// The pending call is answered, the next one is not.
		time.Sleep(wait)
		if left := fx.watcher.CurrentFor(); left <= 0 || left > wait+late {
			t.Errorf("the copy counts as current for %v more", left)
		}
		time.Sleep(wait + late)
		if fx.watcher.Current() {
			t.Error("the copy counts as current though an answer is missing")
		}
		fx.hang.Store(false)
		fx.watcher.RestartWatch()
		time.Sleep(wait + 100*time.Millisecond)
		if !fx.watcher.Current() {
			t.Error("the copy is not current again")
		}
	})
}
