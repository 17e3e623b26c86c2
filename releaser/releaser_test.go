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
	type naming struct {
		after   time.Duration
		version int64
		fresh   bool
	}
	tests := map[string]struct {
		namings []naming
		after   time.Duration
		needed  int64
		newest  int64
	}{
		"none named":                            {needed: 0, newest: 0},
		"just named":                            {namings: []naming{{0, 2, true}}, after: time.Second, needed: 0, newest: 2},
		"named two seconds ago":                 {namings: []naming{{0, 2, true}}, after: 2 * time.Second, needed: 2, newest: 2},
		"read at the start":                     {namings: []naming{{0, 2, false}}, needed: 2, newest: 2},
		"an older one later":                    {namings: []naming{{0, 3, false}, {time.Second, 2, true}}, needed: 3, newest: 3},
		"the next after the first is in force":  {namings: []naming{{0, 2, true}, {4 * time.Second, 3, true}}, needed: 2, newest: 3},
		"two in quick succession":               {namings: []naming{{0, 2, true}, {time.Second, 3, true}}, needed: 0, newest: 3},
		"two in quick succession, and a second": {namings: []naming{{0, 2, true}, {time.Second, 3, true}}, after: time.Second, needed: 3, newest: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var re releaser.Releaser
				for _, na := range tt.namings {
					time.Sleep(na.after)
					re.Announce(adapter, na.version, na.fresh)
				}
				time.Sleep(tt.after)
				if needed, newest := re.MinVersion(adapter), re.NewestVersion(adapter); needed != tt.needed || newest != tt.newest {
					t.Errorf("needed %d, newest %d, want %d and %d", needed, newest, tt.needed, tt.newest)
				}
			})
		})
	}
}

// The pattern of ipva-hq-grown quiet-1, 13 to 14 s: a new version of a popular adapter is named, and each target that
// holds it takes most of a second to replace it. Some must serve requests all the while, and the new version must be
// in force everywhere within the platform's bound, with a second left for requests that wait at their target.
func TestAdapterStaysInServiceWhileItIsReplaced(t *testing.T) {
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
			named := time.Now()
			replacing := make([]time.Time, holders)
			least := holders
			for time.Since(named) < bound-time.Second {
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
				t.Errorf("of %d targets only %d served at some moment", holders, least)
			}
			if re.MinVersion(adapter) != 2 {
				t.Errorf("version %d is enough at the end", re.MinVersion(adapter))
			}
		})
	}
}
