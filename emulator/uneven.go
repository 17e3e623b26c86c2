package emulator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// disturbedTime is how long work on a target takes disturbedPace times as long, once in each disturbanceCycle.
	disturbedTime    = 600 * time.Millisecond
	disturbanceCycle = 6 * disturbedTime
	disturbedPace    = 2.5
	// unevenTokensPerMS is the number of prompt tokens that an uneven target of usual speed prefills in a millisecond.
	unevenTokensPerMS = 44.2
)

// unevenness is the speed of a target that states its pace.
type unevenness struct {
	// speed is the lasting duration of work as a multiple of the usual; 0 if the target does not state its pace.
	speed float64
	since time.Time
	// malformed is set if the target states a pace that is no number.
	malformed bool
	// running counts the requests that the target works on, and queries those of its health.
	running int
	queries int
}

// SetUneven makes a target work with a lasting speed, 2 being twice as slow as usual, and with disturbances, a sixth of
// the time, which it states as its pace.
func (ta *Target) SetUneven(speed float64) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.uneven.speed, ta.uneven.since = speed, time.Now()
}

// StateMalformedPace makes a target state a pace that is no number, or ends that.
func (ta *Target) StateMalformedPace(malformed bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.uneven.malformed = malformed
}

// EndUneven makes a target work as usual and state no pace.
func (ta *Target) EndUneven() {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.uneven.speed = 0
}

// HealthQueries returns how often the health of the target was queried while it was uneven.
func (ta *Target) HealthQueries() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.uneven.queries
}

// pace returns the present duration of work as a multiple of the usual of the target.
func (ta *Target) pace(now time.Time) float64 {
	// The targets are disturbed at different times.
	phase := time.Duration(len(ta.id)+int(ta.id[len(ta.id)-1])) * disturbanceCycle / 5
	if (now.Sub(ta.uneven.since)+phase)%disturbanceCycle < disturbedTime {
		return disturbedPace
	}
	return 1
}

// stretch returns how long work takes now that usually takes a time.
func (ta *Target) stretch(usual time.Duration) time.Duration {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.uneven.speed == 0 {
		return usual
	}
	return time.Duration(float64(usual) * ta.uneven.speed * ta.pace(time.Now()))
}

// stateLoad sets the header with the load of the target.
func (ta *Target) stateLoad(header http.Header) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.uneven.malformed {
		header.Set("Instance-Load", "1,0,8,fast")
		return
	}
	if ta.uneven.speed == 0 {
		header.Set("Instance-Load", "1,0,8")
		return
	}
	header.Set("Instance-Load", fmt.Sprintf("%d,0,8,%.0f", ta.uneven.running, 100*ta.pace(time.Now())))
}

// stateHealth adds what an uneven target states on its health path to a header.
func (ta *Target) stateHealth(header http.Header) {
	ta.mu.Lock()
	uneven := ta.uneven.speed > 0
	if uneven {
		ta.uneven.queries++
	}
	ta.mu.Unlock()
	if uneven {
		header.Set("Instance-Id", ta.id)
		ta.stateLoad(header)
	}
}

// workUnevenly counts a request of an uneven target and waits for the prefill of its prompt; done ends it.
func (ta *Target) workUnevenly(r *http.Request) (done func()) {
	ta.mu.Lock()
	ta.uneven.running++
	uneven := ta.uneven.speed > 0
	ta.mu.Unlock()
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	if tokens, err := strconv.Atoi(prompt); err == nil && uneven && ta.engine {
		time.Sleep(ta.stretch(time.Duration(float64(tokens) / unevenTokensPerMS * float64(time.Millisecond))))
	}
	return func() {
		ta.mu.Lock()
		defer ta.mu.Unlock()
		ta.uneven.running--
	}
}
