package supervisor

import (
	"testing"
	"time"
)

// A reader that is cut off from the store right after an answer tells its followers once the next one is late; they then read the
// store themselves. All of that has to fit into the time within which a configuration is in force.
func TestFollowersReadAConfigurationInTime(t *testing.T) {
	const (
		// lateness is how late an answer may be, and reading what a follower takes to ask the store.
		lateness = 400 * time.Millisecond
		reading  = 300 * time.Millisecond
	)
	tests := map[string]time.Duration{
		"2 s, as on small deployments": 2 * time.Second, "3 s": 3 * time.Second, "4 s": 4 * time.Second, "a minute": time.Minute,
	}
	for name, inForce := range tests {
		t.Run(name, func(t *testing.T) {
			pa := operatorPace(inForce)
			if known := pa.Wait + pa.Pause + lateness + reading; known >= inForce {
				t.Errorf("a configuration is known %v after its reader was cut off, in force within %v", known, inForce)
			}
		})
	}
}
