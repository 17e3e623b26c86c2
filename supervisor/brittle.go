package supervisor

import (
	"context"
	"time"

	"lovagebank/balancer"
	"lovagebank/exchanger"
	"lovagebank/permitter"
	"lovagebank/platform"
)

// giveBackTimeout limits the call that gives a permit back.
const giveBackTimeout = 500 * time.Millisecond

func (su *Supervisor) newPermitter() *permitter.Permitter {
	return permitter.New(permitter.Options{Ask: su.askPermit, GiveBack: su.giveBack, Load: su.balancer.Load})
}

// brittlenessAnswered records what a target has said about the rejections that it bears in its answer to a request sent
// at the given time. A malformed number leaves in force what was known before.
func (su *Supervisor) brittlenessAnswered(ta *balancer.Target, br platform.Brittleness, sentAt time.Time) {
	ts, service := ta.Start(), ta.Service()
	switch {
	case br.Err != nil:
		if su.malformed.due(ts.Target) {
			su.logger.Warn("target brittleness malformed, ignored", "target", ts.Target, "error", br.Err)
		}
	case br.Named:
		if _, listed := su.balancer.Target(ts.Target); listed && su.permitter.Named(ts, service, br.MostRejections) {
			su.logger.Info("target brittle", "target", ts.Target, "started", ts.Started.UnixMilli(),
				"most-rejections", br.MostRejections)
		}
	case su.permitter.Unnamed(ts, service, sentAt):
		su.logger.Info("target no longer brittle", "target", ts.Target, "started", ts.Started.UnixMilli())
	}
}

// askPermit asks the holder of a brittle target for a permit to send it a request now.
func (su *Supervisor) askPermit(ctx context.Context, no permitter.Notice) (permitter.Permit, error) {
	holder := su.keeper.Holder(no.Target.Target)
	if holder == su.settings.IP() {
		pe, ok := su.grantPermit(no)
		if !ok {
			return pe, exchanger.ErrNotHolder
		}
		return pe, nil
	}
	return askHolder(ctx, su, holder, no.Target.Target, func(ctx context.Context, address string) (permitter.Permit, error) {
		return su.exchanger.AskPermit(ctx, address, no)
	})
}

// grantPermit gives a permit for a target that this instance holds; it is false without the authority to decide.
func (su *Supervisor) grantPermit(no permitter.Notice) (permitter.Permit, bool) {
	ta, known := su.balancer.Target(no.Target.Target)
	if _, ok := su.keeper.Authority(no.Target.Target); !ok || !known || !ta.SameAs(no.Target) {
		return permitter.Permit{}, false
	}
	return su.permitter.Grant(no), true
}

// giveBack gives a permit back to the holder of its target, without waiting for it. A permit that is not given back
// ends by itself.
func (su *Supervisor) giveBack(pe permitter.Permit, rejected bool) {
	holder := su.keeper.Holder(pe.Target.Target)
	if holder == su.settings.IP() {
		su.permitter.GivenBack(pe, rejected)
		return
	}
	address, ok := su.addressOf(holder)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), giveBackTimeout)
		defer cancel()
		if err := su.exchanger.GiveBack(ctx, address, pe, rejected); err != nil {
			su.logger.Info("permit not given back", "target", pe.Target.Target, "holder", holder, "error", err)
		}
	}()
}
