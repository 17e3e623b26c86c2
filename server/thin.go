package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"lovagebank/requester"
	"lovagebank/wire"
)

var errLeaving = errors.New("the instance is leaving")

// directory remembers the platform's list for a moment.
type directory struct {
	mu      sync.Mutex
	read    time.Time
	targets []*wire.Target
}

var targets directory

func (sv *Server) targetsNow(ctx context.Context) []*wire.Target {
	targets.mu.Lock()
	defer targets.mu.Unlock()
	if time.Since(targets.read) < registrationAge {
		return targets.targets
	}
	var found []*wire.Target
	for _, kind := range []string{"engine", "service"} {
		registrations, err := sv.list.Registrations(ctx, kind)
		if err != nil {
			return targets.targets
		}
		for _, rg := range registrations {
			found = append(found, &wire.Target{
				Id: rg.ID(), Kind: kind, Address: net.JoinHostPort(rg.Address(), strconv.Itoa(rg.Port())),
				FailureDomain: rg.Meta("failure-domain"), Base: rg.Meta("base"), Service: rg.Meta("service"),
			})
		}
	}
	targets.targets, targets.read = found, time.Now()
	return found
}

// dispatch sends a request to a random target that fits, with a load before it.
func (sv *Server) dispatch(ctx context.Context, rq *requester.Request, sink requester.Sink) (requester.Usage, error) {
	ctx, cancel := context.WithDeadline(ctx, rq.Deadline())
	defer cancel()
	var fit []*wire.Target
	for _, tg := range sv.targetsNow(ctx) {
		if tg.GetService() == rq.Service() && tg.GetBase() == rq.Base() {
			fit = append(fit, tg)
		}
	}
	if len(fit) == 0 {
		return requester.Usage{}, requester.Refuse(requester.CodeNoTarget, "No target serves this.", registrationAge)
	}
	tg := fit[rand.IntN(len(fit))]
	if rq.Adapter() != "" {
		if err := sv.invoker.LoadAdapter(ctx, tg, rq.Model(), 1); err != nil {
			return requester.Usage{}, requester.Refuse(requester.CodeLoadFailed, "The adapter did not load.", registrationAge)
		}
	}
	return sv.invoker.Invoke(ctx, tg, rq, 1, sink)
}
