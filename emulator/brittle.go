package emulator

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// brittleServiceTime is how long a brittle target works on a request to a plain service.
	brittleServiceTime = 50 * time.Millisecond
	// brittleNotice is the time from the first answer that says that a target is brittle until it may crash.
	brittleNotice = 3 * time.Second
	// toleratedFalls and toleratedFallShare bound the crashes (falls) of the targets of a service in one brittle time.
	toleratedFalls     = 2
	toleratedFallShare = 0.1
)

// brittleness is the state of a target that crashes (falls) when it has to reject too many requests.
type brittleness struct {
	// since is when the target became brittle; zero if it is not. most is the number of rejections in a second that it
	// tolerates, and room the number of requests that it takes at the same time.
	since time.Time
	most  int
	room  int
	// taken counts the requests that it works on.
	taken      int
	rejections []time.Time
	falls      []time.Time
}

// SetBrittle makes a target state in all its answers that it tolerates the given number of rejections in a second, and
// take only so many requests at the same time. If it has to reject more, it crashes and is back after some seconds.
func (ta *Target) SetBrittle(most, room int) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.brittle = brittleness{since: time.Now(), most: most, room: room, falls: ta.brittle.falls}
}

// EndBrittle makes a target as robust as before.
func (ta *Target) EndBrittle() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.brittle = brittleness{falls: ta.brittle.falls}
}

// Falls returns when a target has fallen.
func (ta *Target) Falls() []time.Time {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return append([]time.Time(nil), ta.brittle.falls...)
}

// FallsExcess reports whether a number of falls in one brittle time is more than a service with the given number of
// targets may have.
func FallsExcess(falls, targets int) bool {
	return float64(falls) > toleratedFalls+toleratedFallShare*float64(targets)
}

// announceBrittle sets the header of a brittle target.
func (ta *Target) announceBrittle(header http.Header) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if !ta.brittle.since.IsZero() {
		header.Set("Server-Brittle", strconv.Itoa(ta.brittle.most))
	}
}

// takeRoom works on a request of a brittle target for a while, or turns it away. It reports whether the request goes
// on; done ends it.
func (ta *Target) takeRoom(w http.ResponseWriter) (done func(), taken bool) {
	ta.mu.Lock()
	if ta.brittle.since.IsZero() {
		ta.mu.Unlock()
		return func() {}, true
	}
	if ta.brittle.taken >= ta.brittle.room {
		falls := ta.rejectForRoom(time.Now())
		ta.mu.Unlock()
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		if falls {
			go ta.crashed()
		}
		return nil, false
	}
	ta.brittle.taken++
	ta.mu.Unlock()
	time.Sleep(brittleServiceTime)
	return func() {
		ta.mu.Lock()
		defer ta.mu.Unlock()
		ta.brittle.taken = max(ta.brittle.taken-1, 0)
	}, true
}

// rejectForRoom counts a rejection and reports whether the target falls. The lock is held.
func (ta *Target) rejectForRoom(now time.Time) bool {
	br := &ta.brittle
	br.rejections = append(br.rejections, now)
	for now.Sub(br.rejections[0]) > time.Second {
		br.rejections = br.rejections[1:]
	}
	if len(br.rejections) <= br.most || now.Sub(br.since) < brittleNotice {
		return false
	}
	br.rejections = nil
	br.falls = append(br.falls, now)
	return true
}

// brittleAfterRestart returns the brittleness of the next start of a target.
func (ta *Target) brittleAfterRestart() brittleness {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	br := ta.brittle
	br.taken, br.rejections = 0, nil
	return br
}
