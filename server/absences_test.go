package server

import (
	"testing"
	"time"
)

func TestAbsenceBeginsAnewAfterAReturn(t *testing.T) {
	t.Parallel()
	ab, start := newAbsences(), time.Unix(1000, 0)
	if got := ab.since("i1", start); got != 0 {
		t.Errorf("first asked: %s", got)
	}
	if got := ab.since("i1", start.Add(unheldAfter)); got != unheldAfter {
		t.Errorf("still gone: %s", got)
	}
	ab.returned(func(instance string) bool { return instance == "i1" })
	if got := ab.since("i1", start.Add(2*unheldAfter)); got != 0 {
		t.Errorf("gone again: %s", got)
	}
}
