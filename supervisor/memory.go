package supervisor

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"lovagebank/inspector"
	"lovagebank/listener"
	"lovagebank/platform"
	"lovagebank/reserver"
)

const (
	// maxBodyBytes is the largest usual body of a caller. A single one always fits into the budget.
	maxBodyBytes = 4 << 20
	// peerMemoryShare is the share of the memory limit for the bodies of peers' calls, and minPeerMemory its lower
	// bound: a relayed request with the largest usual body, which is held as received and as decoded.
	peerMemoryShare = 0.1
	minPeerMemory   = 3 * maxBodyBytes
	// peerBodyStall is how long the body of a peer's call may stop.
	peerBodyStall = 5 * time.Second
)

// memoryBudget returns the budget for what callers hold.
func memoryBudget(st *platform.Settings) reserver.Options {
	return reserver.ForMemory(memoryLimit(st), 2*maxBodyBytes)
}

// memoryLimit returns the memory limit of the process in bytes, by the smaller of the two meanings of a megabyte.
func memoryLimit(st *platform.Settings) int64 { return int64(st.MemoryMB() * 1e6) }

// answerBudget returns the budget for what answers hold before they are whole.
func (su *Supervisor) answerBudget() inspector.Budget {
	return inspector.Budget{
		Reserve: func(bytes int64) bool { return su.reserver.Reserve(reserver.Answers, bytes) },
		Release: func(bytes int64) { su.reserver.Release(reserver.Answers, bytes) },
	}
}

// peerBudget returns the budget for the bodies of peers' calls, which callers cannot use.
func peerBudget(st *platform.Settings) reserver.Options {
	total := max(int64(peerMemoryShare*float64(memoryLimit(st))), minPeerMemory)
	op := reserver.Options{Total: total, SmallBody: total}
	op.Limits[reserver.Bodies] = total
	return op
}

// boundPeerBodies returns a handler of peers' calls whose bodies are reserved while the call lasts.
func (su *Supervisor) boundPeerBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := &peerBody{ReadCloser: r.Body, control: http.NewResponseController(w)}
		body.held = su.peerReserver.Open(reserver.Bodies, body.stop)
		defer body.held.Close()
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

var errNoMemory = errors.New("no memory for the body")

// peerBody is the body of a peer's call.
type peerBody struct {
	io.ReadCloser
	control  *http.ResponseController
	held     *reserver.Holder
	deadline time.Time
}

// Read reads from the body and reserves memory for it: as many bytes again are held by their decoded form.
func (pb *peerBody) Read(buffer []byte) (int, error) {
	if now := time.Now(); pb.deadline.Sub(now) < peerBodyStall*3/4 {
		pb.deadline = now.Add(peerBodyStall)
		_ = pb.control.SetReadDeadline(pb.deadline)
	}
	count, err := pb.ReadCloser.Read(buffer)
	if err != nil {
		_ = pb.control.SetReadDeadline(time.Time{})
	}
	if count > 0 {
		if !pb.held.Reserve(2*int64(count), time.Second) {
			return 0, errNoMemory
		}
		pb.held.Moved(int64(count))
	}
	return count, err
}

func (pb *peerBody) stop() { _ = pb.control.SetReadDeadline(time.Unix(1, 0)) }

// memoryReport is the state of the reports on the budget.
type memoryReport struct {
	listeners  []*listener.Listener
	lastClosed map[listener.Reason]int64
	last       reserver.Counts
	loggedAt   time.Time
	// pressed is true once much of the budget has been in use, until the memory has been given back to the system.
	pressed bool
}

const (
	// shedLogInterval is the minimum time between two lines on clients that were refused or closed.
	shedLogInterval = 10 * time.Second
	// pressedShare and calmShare are the shares of the budget above which it counts as pressed and below which it
	// counts as calm again.
	pressedShare = 0.3
	calmShare    = 0.1
)

// reportMemory sets the metrics of the budget and logs what was refused, in one line for many clients. After a time of pressure
// it gives the memory back to the system, which the runtime does only slowly. Only the goroutine of the updates calls it.
func (su *Supervisor) reportMemory() {
	me, counts, now := &su.memory, su.reserver.Counts(), time.Now()
	var total int64
	fields := []any{}
	for _, class := range reserver.Classes() {
		total += counts.Used[class]
		su.reporter.SetLabelledGauge("memory_reserved", "class", class.String(), float64(counts.Used[class]))
		su.reporter.SetLabelledGauge("memory_refused", "class", class.String(), float64(counts.Refused[class]))
		su.reporter.SetLabelledGauge("memory_shed", "class", class.String(), float64(counts.Shed[class]))
		refused, shed := counts.Refused[class]-me.last.Refused[class], counts.Shed[class]-me.last.Shed[class]
		if refused+shed > 0 {
			fields = append(fields, class.String()+"-refused", refused, class.String()+"-shed", shed)
		}
	}
	closed := make(map[listener.Reason]int64)
	for _, li := range me.listeners {
		for reason, count := range li.Closed() {
			closed[reason] += count
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(closed)) {
		su.reporter.SetLabelledGauge("connections_closed", "reason", string(reason), float64(closed[reason]))
		if further := closed[reason] - me.lastClosed[reason]; further > 0 {
			fields = append(fields, string(reason), further)
		}
	}
	if len(fields) > 0 && now.Sub(me.loggedAt) >= shedLogInterval {
		su.logger.Warn("clients refused to bound memory", append(fields, "reserved", total, "peak", counts.Peak)...)
		me.last, me.lastClosed, me.loggedAt = counts, closed, now
	}
	budget := float64(memoryBudget(su.settings).Total)
	switch {
	case float64(total) > pressedShare*budget:
		me.pressed = true
	case me.pressed && float64(total) < calmShare*budget:
		me.pressed = false
		debug.FreeOSMemory()
	}
}
