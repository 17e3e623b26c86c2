package server

import (
	"testing"
	"time"
)

// Each step checks whether a target's holder may still act, at an offset from the start.
func TestAbsentHolderMayActUntilTimeout(t *testing.T) {
	t.Parallel()
	type step struct {
		at     time.Duration
		holder string
		member bool
		want   bool
	}
	tests := map[string][]step{
		"a member may act":                            {{0, "i1", true, true}, {time.Hour, "i1", true, true}},
		"an absent holder may act until the timeout":  {{0, "i1", false, true}, {holderAbsenceTimeout - 1, "i1", false, true}, {holderAbsenceTimeout, "i1", false, false}},
		"an absence restarts after a return":          {{0, "i1", false, true}, {time.Second, "i1", true, true}, {holderAbsenceTimeout, "i1", false, true}},
		"an unknown holder may act until the timeout": {{0, "", false, true}, {holderAbsenceTimeout - 1, "", false, true}, {holderAbsenceTimeout, "", false, false}},
		"absences are kept per holder":                {{0, "i1", false, true}, {holderAbsenceTimeout, "i2", false, true}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ab, begin := newAbsences(), time.Unix(1000, 0)
			for _, st := range steps {
				if got := ab.mayAct(targetHolder{"target", st.holder}, st.member, begin.Add(st.at)); got != st.want {
					t.Errorf("after %v %q may act: %v", st.at, st.holder, got)
				}
			}
		})
	}
}

func TestAbsenceRestartsAfterReturn(t *testing.T) {
	t.Parallel()
	ab, start := newAbsences(), time.Unix(1000, 0)
	th := targetHolder{"target", "i1"}
	if !ab.mayAct(th, false, start) {
		t.Error("may not act at the first check")
	}
	if ab.mayAct(th, false, start.Add(holderAbsenceTimeout)) {
		t.Error("may act although still absent")
	}
	ab.removeReturned(func(instance string) bool { return instance == "i1" })
	if !ab.mayAct(th, false, start.Add(2*holderAbsenceTimeout)) {
		t.Error("may not act when absent again")
	}
}
