package emulator_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lovagebank/emulator"
)

const (
	// longStream is the number of events of a stream that lasts long enough to be broken off.
	longStream = 60
	// takeUpTime is how long a caller tries to take a stream up again, and takeUpPause the pause between two tries.
	takeUpTime  = 6 * time.Second
	takeUpPause = 300 * time.Millisecond
)

// stream is a stream as its caller got it, over all its tries.
type stream struct {
	text string
	// takeUps is the number of tries to take it up again; whole is true if it came to its end.
	takeUps int
	whole   bool
}

// streamOf reads one stream and takes it up again where it breaks off, each time at another instance.
func (us *user) streamOf(number int, adapter string) stream {
	return us.streamAt("/ask/1", number, adapter, takeUpTime)
}

// streamAt does the same at a path, for at most the given time.
func (us *user) streamAt(path string, number int, adapter string, atMost time.Duration) stream {
	first := fmt.Sprintf("v%d", number)
	var st stream
	id, began := first, time.Now()
	for try := 0; ; try++ {
		last, whole := emulator.LastEvent(st.text)
		st.text = whole
		call := emulator.Call{Path: path, ID: id, Key: emulator.Key, Adapter: adapter, Deadline: atMost, LastEvent: last, Resumes: first}
		status, text, err := call.Send(us.t.Context(), http.DefaultClient, us.entries[(number+try)%len(us.entries)].Address())
		if err != nil || status == http.StatusOK {
			st.text += text
		}
		if status == http.StatusOK {
			st.whole = true
			return st
		}
		if time.Since(began) > atMost {
			return st
		}
		if id = fmt.Sprintf("v%d-%d", number, try); last == "" && st.text == "" {
			first = id
		} else {
			st.takeUps++
		}
		time.Sleep(takeUpPause)
	}
}

// Guards against the incident ORDER: a stream goes on at a target with another version of the software than the one
// that began it. Streams whose version still serves must go on.
func TestStreamsKeepToOneSoftwareVersion(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	tests := map[string]struct {
		software []string
		// strike is called once while streams are on their way.
		strike func(*testing.T, *emulator.Fleet, *user)
		// gone is the version that no longer serves afterwards; empty for none.
		gone string
	}{
		"within one answer": {[]string{"v1", "v2"}, func(t *testing.T, fl *emulator.Fleet, _ *user) {
			for _, id := range []string{"engine-0", "engine-1"} {
				if err := fl.RestartTarget(id); err != nil {
					t.Error(err)
				}
			}
		}, ""},
		"at other instances":     {[]string{"v1", "v2"}, func(t *testing.T, _ *emulator.Fleet, us *user) { restartAll(t, us.entries[:1]) }, ""},
		"all instances are lost": {[]string{"v1", "v2"}, func(t *testing.T, _ *emulator.Fleet, us *user) { restartAll(t, us.entries) }, ""},
		"all instances are lost, the old version has left": {[]string{"v1", "v2"}, func(t *testing.T, fl *emulator.Fleet, us *user) {
			for _, id := range []string{"engine-0", "engine-2", "engine-4"} {
				fl.RemoveTarget(id)
			}
			restartAll(t, us.entries)
		}, "v1"},
		"all instances are lost, the new version has left": {[]string{"v1", "v2"}, func(t *testing.T, fl *emulator.Fleet, us *user) {
			for _, id := range []string{"engine-1", "engine-3", "engine-5"} {
				fl.RemoveTarget(id)
			}
			restartAll(t, us.entries)
		}, "v2"},
		"the store is away as streams are taken up": {[]string{"v1", "v2"}, func(t *testing.T, fl *emulator.Fleet, us *user) {
			fl.Store().SetDown(true)
			killAll(t, us.entries[:1])
			time.Sleep(2 * time.Second)
			fl.Store().SetDown(false)
			if err := us.entries[0].Restart(); err != nil {
				t.Error(err)
			}
		}, ""},
		"one version": {[]string{"v1"}, func(t *testing.T, _ *emulator.Fleet, us *user) { restartAll(t, us.entries) }, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fl, us := newFleetWith(t, emulator.Options{Engines: 6, Software: tt.software, StreamEvents: longStream}, 3)
			var tasks sync.WaitGroup
			var mu sync.Mutex
			var streams []stream
			for number := range 120 {
				tasks.Go(func() {
					st := us.streamOf(number, fmt.Sprint("a", number%3))
					mu.Lock()
					defer mu.Unlock()
					streams = append(streams, st)
				})
				time.Sleep(25 * time.Millisecond)
				if number == 80 {
					tasks.Go(func() { tt.strike(t, fl, us) })
				}
			}
			tasks.Wait()
			checkStreams(t, streams, tt.gone, longStream)
			us.showLog("resumes=", "software")
		})
	}
}

// Guards against the incident ORDER of review/1: the operator adds a route with a longer prefix while streams are open and
// most targets have another version than the one that began them, an instance is lost, and the streams that this broke off
// go on at the other version.
func TestStreamsOutliveRoutes(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	const (
		streams = 40
		// events is the number of events of a stream: it lasts for 7.5 s, of the 30 s that its route and its caller allow, and
		// routeTime how long the new route is there before an instance is lost.
		events    = 500
		allowed   = 30 * time.Second
		routeTime = 4 * time.Second
	)
	fl, us := newFleetWith(t, emulator.Options{Engines: 5, Software: []string{"v1", "v2"}, RouteTimeout: allowed}, 3)
	time.Sleep(routeTime)
	fl.SetStreamEvents(events)
	// Two of the three targets with v1 leave.
	fl.RemoveTarget("engine-0")
	fl.RemoveTarget("engine-2")
	time.Sleep(time.Second)
	var tasks sync.WaitGroup
	taken := make([]stream, streams)
	for number := range streams {
		tasks.Go(func() { taken[number] = us.streamAt("/ask/long/1", number, fmt.Sprint("a", number%3), allowed) })
		time.Sleep(10 * time.Millisecond)
	}
	if err := fl.Configure(2, emulator.Key, "/ask/long/"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(routeTime)
	restartAll(t, us.entries[:1])
	tasks.Wait()
	checkStreams(t, taken, "", events)
	us.showLog("resumes=", "software", "base origin")
}

// checkStreams fails the test if streams hold events of several versions, or too few of those go on whose version still serves.
func checkStreams(t *testing.T, streams []stream, gone string, events int) {
	t.Helper()
	joined, takenUp, wentOn := 0, 0, 0
	for _, st := range streams {
		plain, versions := emulator.SplitStream(st.text)
		if len(versions) > 1 {
			joined++
		}
		if st.whole && strings.Count(plain, "id: ") != events {
			t.Errorf("a stream that ended well has %d events", strings.Count(plain, "id: "))
		}
		if st.takeUps == 0 || slices.Contains(versions, gone) {
			continue
		}
		takenUp++
		if st.whole {
			wentOn++
		}
	}
	t.Logf("%d streams, %d taken up again while their version serves, %d of them went on", len(streams), takenUp, wentOn)
	if joined > 0 {
		t.Errorf("%d streams hold events of several versions", joined)
	}
	if wentOn*2 < takenUp {
		t.Errorf("%d of %d streams went on", wentOn, takenUp)
	}
}

func killAll(t *testing.T, entries []*emulator.Instance) {
	t.Helper()
	for _, en := range entries {
		signalTo(t, en, syscall.SIGKILL)
		_ = en.Wait()
	}
}

func restartAll(t *testing.T, entries []*emulator.Instance) {
	t.Helper()
	killAll(t, entries)
	var starts sync.WaitGroup
	for _, en := range entries {
		starts.Go(func() {
			if err := en.Restart(); err != nil {
				t.Error(err)
			}
		})
	}
	starts.Wait()
}
