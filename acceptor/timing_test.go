package acceptor

import (
	"testing"
	"testing/synctest"
	"time"
)

// The log line of a stream gives its longest pause, wherever it was in the stream, and the instance's own delay.
func TestStreamTiming(t *testing.T) {
	tests := map[string]struct {
		pauses  []time.Duration
		longest time.Duration
		at      time.Duration
	}{
		"one arrival":       {nil, 0, 0},
		"even":              {[]time.Duration{50, 50}, 50, 50},
		"longest first":     {[]time.Duration{400, 50, 60}, 400, 400},
		"longest last":      {[]time.Duration{40, 50, 600}, 600, 690},
		"longest in middle": {[]time.Duration{40, 500, 60}, 500, 540},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const passing = 7 * time.Millisecond
				var st streamTiming
				began := time.Now()
				st.arrived(began)
				time.Sleep(passing)
				st.relayed(time.Now())
				for _, pause := range tt.pauses {
					time.Sleep(pause*time.Millisecond - passing)
					st.arrived(time.Now())
					time.Sleep(passing)
					st.relayed(time.Now())
				}
				if st.longestPause != tt.longest*time.Millisecond {
					t.Errorf("longest pause %s", st.longestPause)
				}
				if tt.longest > 0 && st.longestPauseEnd.Sub(began) != tt.at*time.Millisecond {
					t.Errorf("ended after %s", st.longestPauseEnd.Sub(began))
				}
				if st.slowestRelay != passing {
					t.Errorf("passing took %s", st.slowestRelay)
				}
			})
		})
	}
}
