package supervisor

import (
	"testing"
	"time"
)

// Guards against a watch pace that is too slow for the time limit of a configuration. A reader that is cut off from the
// store right after an answer reports it to its followers only when the next answer is late, and only then do they read
// the store themselves.
func TestFollowersReadAConfigurationInTime(t *testing.T) {
	const (
		// answerDelay is the maximum delay of an answer, and readTime the time that a follower needs to read the store.
		answerDelay = 400 * time.Millisecond
		readTime    = 300 * time.Millisecond
	)
	tests := map[string]time.Duration{
		"2 s, as on small deployments": 2 * time.Second, "3 s": 3 * time.Second, "4 s": 4 * time.Second, "a minute": time.Minute,
	}
	for name, inForce := range tests {
		t.Run(name, func(t *testing.T) {
			pa := operatorPace(inForce)
			if readAfter := pa.Wait + pa.Pause + answerDelay + readTime; readAfter >= inForce {
				t.Errorf("a configuration is known %v after its reader was cut off, in force within %v", readAfter, inForce)
			}
		})
	}
}
