package quarantiner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/quarantiner"
)

func TestQuarantine(t *testing.T) {
	poison := quarantiner.Fingerprint("o", "POST", "/x", []byte("body"))
	tests := map[string]struct {
		steps   func(*quarantiner.Quarantiner)
		refused bool
	}{
		"nothing known": {func(*quarantiner.Quarantiner) {}, false},
		"two crashes":   {func(qu *quarantiner.Quarantiner) { qu.Crashed(poison); qu.Crashed(poison) }, false},
		"three crashes": {func(qu *quarantiner.Quarantiner) { qu.Crashed(poison); qu.Crashed(poison); qu.Crashed(poison) }, true},
		"crashes that other instances saw": {func(qu *quarantiner.Quarantiner) {
			qu.Crashed(poison)
			qu.Merge("b", []quarantiner.Crash{{Fingerprint: poison, Count: 1}})
			qu.Merge("c", []quarantiner.Crash{{Fingerprint: poison, Count: 1}})
		}, true},
		"one telling heard again": {func(qu *quarantiner.Quarantiner) {
			for range 5 {
				qu.Merge("b", []quarantiner.Crash{{Fingerprint: poison, Count: 1}})
			}
		}, false},
		"a like request was answered": {func(qu *quarantiner.Quarantiner) {
			for range 5 {
				qu.Crashed(poison)
			}
			qu.Succeeded(poison)
		}, false},
		"long ago": {func(qu *quarantiner.Quarantiner) {
			for range 3 {
				qu.Crashed(poison)
			}
			time.Sleep(2 * time.Minute)
		}, false},
		"another request": {func(qu *quarantiner.Quarantiner) {
			for range 3 {
				qu.Crashed(quarantiner.Fingerprint("o", "POST", "/x", []byte("other")))
			}
		}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				qu := quarantiner.New()
				tt.steps(qu)
				if refused, _ := qu.Refused(poison); refused != tt.refused {
					t.Errorf("refused %v, want %v", refused, tt.refused)
				}
			})
		})
	}
}

func TestTellsItsOwnCrashesOnly(t *testing.T) {
	qu := quarantiner.New()
	qu.Crashed(1)
	qu.Merge("b", []quarantiner.Crash{{Fingerprint: 2, Count: 3}})
	if crashes := qu.Crashes(); len(crashes) != 1 || crashes[0] != (quarantiner.Crash{Fingerprint: 1, Count: 1}) {
		t.Errorf("tells %+v", crashes)
	}
}
