package releaser_test

import (
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/balancer"
	"lovagebank/releaser"
)

var adapter = balancer.Adapter{Model: "m", Name: "a"}

func TestNeededVersion(t *testing.T) {
	type announcement struct {
		after   time.Duration
		version int64
		fresh   bool
	}
	tests := map[string]struct {
		announcements []announcement
		after         time.Duration
		needed        int64
		newest        int64
	}{
		"no version announced":               {needed: 0, newest: 0},
		"announced one second ago":           {announcements: []announcement{{0, 2, true}}, after: time.Second, needed: 0, newest: 2},
		"announced two seconds ago":          {announcements: []announcement{{0, 2, true}}, after: 2 * time.Second, needed: 2, newest: 2},
		"read at the start":                  {announcements: []announcement{{0, 2, false}}, needed: 2, newest: 2},
		"older version announced later":      {announcements: []announcement{{0, 3, false}, {time.Second, 2, true}}, needed: 3, newest: 3},
		"second after the first is in force": {announcements: []announcement{{0, 2, true}, {4 * time.Second, 3, true}}, needed: 2, newest: 3},
		"two in quick succession":            {announcements: []announcement{{0, 2, true}, {time.Second, 3, true}}, needed: 0, newest: 3},
		"two in quick succession, later":     {announcements: []announcement{{0, 2, true}, {time.Second, 3, true}}, after: time.Second, needed: 3, newest: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var re releaser.Releaser
				for _, an := range tt.announcements {
					time.Sleep(an.after)
					re.Announce(adapter, an.version, an.fresh)
				}
				time.Sleep(tt.after)
				if needed, newest := re.MinVersion(adapter), re.NewestVersion(adapter); needed != tt.needed || newest != tt.newest {
					t.Errorf("needed %d, newest %d, want %d and %d", needed, newest, tt.needed, tt.newest)
				}
			})
		})
	}
}

// A new version of a popular adapter is announced, and each target that holds it takes most of a second to replace it
// (scenario ipva-hq-grown quiet-1, 13 to 14 s). Some targets must serve requests at any time, and the new version must
// be in force everywhere within the platform's limit, with a second left for requests that wait at their target.
func TestAdapterStaysInServiceDuringRollout(t *testing.T) {
	const (
		replaceTime = 800 * time.Millisecond
		bound       = 5 * time.Second
		step        = 10 * time.Millisecond
	)
	for holders := 2; holders <= 7; holders++ {
		synctest.Test(t, func(t *testing.T) {
			var re releaser.Releaser
			re.Announce(adapter, 1, false)
			time.Sleep(10 * time.Second)
			re.Announce(adapter, 2, true)
			announced := time.Now()
			replacing := make([]time.Time, holders)
			least := holders
			for time.Since(announced) < bound-time.Second {
				usable := 0
				for at, since := range replacing {
					version := int64(1)
					switch {
					case since.IsZero() && re.MayReplace(adapter, at):
						replacing[at] = time.Now()
						continue
					case !since.IsZero() && time.Since(since) < replaceTime:
						continue
					case !since.IsZero():
						version = 2
					}
					if version >= re.MinVersion(adapter) {
						usable++
					}
				}
				least = min(least, usable)
				time.Sleep(step)
			}
			if least < holders/2 {
				t.Errorf("of %d targets, at least once only %d served", holders, least)
			}
			if re.MinVersion(adapter) != 2 {
				t.Errorf("minimum version %d at the end, want 2", re.MinVersion(adapter))
			}
		})
	}
}
