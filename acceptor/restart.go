package acceptor

import (
	"maps"
	"sync"
	"time"

	"lovagebank/balancer"
	"lovagebank/resumer"
)

// restartTime is how long after a connection to a target has failed its entry may be that of an earlier start, with other
// software: the copies of the entries lag by some seconds at most.
const restartTime = 5 * time.Second

// restarts remembers the targets that may have started again.
type restarts struct {
	mu       sync.Mutex
	failedAt map[string]time.Time
}

// record remembers that a connection to a target has failed now.
func (re *restarts) record(target string) {
	re.mu.Lock()
	defer re.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(re.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) > restartTime })
	if re.failedAt == nil {
		re.failedAt = make(map[string]time.Time)
	}
	re.failedAt[target] = now
}

// suspects reports whether a target may have started again of late.
func (re *restarts) suspects(target string) bool {
	re.mu.Lock()
	defer re.mu.Unlock()
	at, ok := re.failedAt[target]
	return ok && time.Since(at) < restartTime
}

// mayTake reports whether a target may be sent the request now that there is a connection to it. A stream that has begun
// may go on only at the software that began it, so the target has to be the start that its entry describes.
func (ex *exchange) mayTake(ta *balancer.Target) bool {
	return ex.ac.op.Balancer.Available(ta) && (!ex.pinned || ex.ac.op.SameStart(ex.ctx, ta))
}

// originAt returns where a stream begins that a target has begun to answer. If the target may have started again, its
// entry is read anew.
func (ex *exchange) originAt(ta *balancer.Target) (resumer.Origin, error) {
	if !ex.pinned && ex.resumable() && ex.ac.restarts.suspects(ta.ID()) {
		now, err := ex.ac.op.ReadTarget(ex.ctx, ta.ID())
		if err != nil {
			return resumer.Origin{}, err
		}
		ta = now
	}
	return resumer.Origin{Service: ta.Service(), Software: ta.Software()}, nil
}
