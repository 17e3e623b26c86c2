package acceptor

import (
	"context"
	"time"

	"lovagebank/balancer"
	"lovagebank/quarantiner"
)

// provenTime is the time from the first event of an answer to one that shows that the target has survived its beginning.
const provenTime = 200 * time.Millisecond

// sharedParts returns the parts of the request's prompt that other requests may share. The last part is the request's own.
func (ex *exchange) sharedParts() []balancer.PromptPart {
	if len(ex.caller.Parts) == 0 || ex.service.Engine() == nil {
		return nil
	}
	return ex.caller.Parts[:len(ex.caller.Parts)-1]
}

// identifyParts sets the identities of the shared parts of the request's prompt.
func (ex *exchange) identifyParts() {
	for _, pp := range ex.sharedParts() {
		pt := quarantiner.PartOf(ex.service.Name(), pp.ID)
		ex.parts = append(ex.parts, quarantiner.NamedPart{Part: pt, Name: pp.ID})
		ex.partKeys = append(ex.partKeys, pt)
	}
}

// refusedForParts returns a refusal if a verdict covers the request's parts, unless the request tests the verdict.
func (ex *exchange) refusedForParts() *refusal {
	if len(ex.partKeys) == 0 || ex.ran == 0 && ex.probe != "" {
		return nil
	}
	ve, ok := ex.ac.op.Parts.Condemned(ex.partKeys)
	if !ok {
		return nil
	}
	ex.outcome.condemned = ve.String()
	if ex.ran == 0 && !ex.probeDenied && ve.ProbeDue() {
		if stop, ok := ex.ac.op.Parts.StartProbe(ve.Key()); ok {
			ex.probe, ex.endProbe, ex.outcome.probe = ve.Key(), stop, true
			return nil
		}
	}
	return refusedQuarantined
}

// trackParts registers the request at a target until its answer is proven. The returned context ends when a verdict covers the
// request's parts, and the function ends the registration.
func (ex *exchange) trackParts(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	if len(ex.partKeys) == 0 || ex.probe != "" {
		return ctx, cancel
	}
	ex.untrack = ex.ac.op.Parts.Track(ex.partKeys, func() {
		ex.withdrawn.Store(true)
		cancel()
	})
	return ctx, func() {
		ex.untrack()
		cancel()
	}
}

// recordBegun records that the answer has sent an event or all of a body, and whether that shows that the request does not crash
// targets: the answer is complete, or its target has survived the beginning for long enough.
func (ex *exchange) recordBegun(now time.Time, complete bool) {
	ex.answerBegan()
	if ex.begunAt.IsZero() {
		ex.begunAt = now
		ex.recordPrefix(now)
	}
	if ex.proven || !complete && now.Sub(ex.begunAt) < provenTime {
		return
	}
	ex.proven = true
	if len(ex.partKeys) > 0 {
		ex.ac.op.Parts.Begun(ex.parts)
		ex.untrack()
	}
}

// mayCrashTargets reports whether the request should not be sent to a further target because it may be what crashes them.
func (ex *exchange) mayCrashTargets() bool {
	return ex.probe != "" || len(ex.partKeys) > 0 && !ex.proven && ex.ac.op.Parts.Suspected(ex.partKeys)
}

// isolation returns the part of the request's prompt for which it should share one target with others; without crashes if there
// is none.
func (ex *exchange) isolation() quarantiner.Isolation {
	if len(ex.partKeys) == 0 || ex.proven || ex.probe != "" {
		return quarantiner.Isolation{}
	}
	return ex.ac.op.Parts.Isolation(ex.partKeys)
}

// newlySuspected reports whether a part of the prompt has come under suspicion since the target was chosen, so that it may have
// to be another one.
func (ex *exchange) newlySuspected() bool {
	return ex.isolation().Crashes > ex.outcome.isolated.Crashes
}
