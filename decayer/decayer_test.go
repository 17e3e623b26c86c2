package decayer

import (
	"math"
	"testing"
	"time"
)

func TestCount(t *testing.T) {
	const memory = 3 * time.Second
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		at   time.Duration
		want float64
	}{
		"at once":            {0, 4},
		"after the memory":   {memory, 4 / math.E},
		"after it once more": {2 * memory, 4 / (math.E * math.E)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			co := New(memory, start)
			co.Add(1, start)
			co.Add(3, start)
			if got := co.ValueAt(start.Add(tt.at)); math.Abs(got-tt.want) > 1e-12 {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
	co := New(memory, start)
	co.Add(2, start)
	co.Add(5, start.Add(memory))
	if got, want := co.ValueAt(start.Add(memory)), 2/math.E+5; math.Abs(got-want) > 1e-12 {
		t.Errorf("later parts: got %v, want %v", got, want)
	}
}
