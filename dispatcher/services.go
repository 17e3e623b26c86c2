package dispatcher

import (
	"math/rand/v2"
	"slices"
	"sync"

	"lovagebank/requester"
	"lovagebank/wire"
)

// serviceLoads counts the requests that this instance has in flight on the targets of plain services.
type serviceLoads struct {
	mu       sync.Mutex
	inFlight map[string]int
}

func newServiceLoads() *serviceLoads { return &serviceLoads{inFlight: map[string]int{}} }

// choose picks the less loaded of two random live targets and counts the request on it until requestEnded is called.
func (sl *serviceLoads) choose(targets []*wire.Target, exclude []string) (*wire.Target, error) {
	live := make([]*wire.Target, 0, len(targets))
	for _, tg := range targets {
		if !tg.GetLeaving() && !slices.Contains(exclude, tg.GetId()) {
			live = append(live, tg)
		}
	}
	if len(live) == 0 {
		return nil, requester.Refuse(requester.CodeNoTarget, "no target of the service is live", giveUpRetryAfter)
	}
	sl.mu.Lock()
	defer sl.mu.Unlock()
	first, second := live[rand.IntN(len(live))], live[rand.IntN(len(live))]
	if sl.inFlight[second.GetId()] < sl.inFlight[first.GetId()] {
		first = second
	}
	sl.inFlight[first.GetId()]++
	return first, nil
}

func (sl *serviceLoads) requestEnded(target string) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.inFlight[target]--; sl.inFlight[target] <= 0 {
		delete(sl.inFlight, target)
	}
}
