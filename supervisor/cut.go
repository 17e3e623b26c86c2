package supervisor

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"lovagebank/acceptor"
	"lovagebank/balancer"
	"lovagebank/forwarder"
	"lovagebank/platform"
	"lovagebank/prober"
	"lovagebank/relayer"
	"lovagebank/wire"
)

const (
	// silentRequestTime is how long a request's connection has to have been silent to be given up when a cut is found.
	silentRequestTime = 250 * time.Millisecond
	// contactTime is how long a peer counts as one that reaches targets after it has received bytes of a target, plus
	// the time of two exchanges with it.
	contactTime = 2 * time.Second
)

// targetContacts keeps when peers last received bytes of a target, as they report.
type targetContacts struct {
	mu         sync.Mutex
	lastByteAt map[string]time.Time
}

// record applies a peer's report: the milliseconds since it received bytes of a target plus 1, or 0 if it reaches none.
func (tc *targetContacts) record(peer string, contactMs int64) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.lastByteAt == nil {
		tc.lastByteAt = make(map[string]time.Time)
	}
	if contactMs <= 0 {
		delete(tc.lastByteAt, peer)
		return
	}
	tc.lastByteAt[peer] = time.Now().Add(-time.Duration(contactMs-1) * time.Millisecond)
}

// contactedSince reports whether a peer has received bytes of a target since a time.
func (tc *targetContacts) contactedSince(peer string, since time.Time) bool {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.lastByteAt[peer].After(since)
}

func (tc *targetContacts) remove(peer string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	delete(tc.lastByteAt, peer)
}

func (su *Supervisor) newProber() *prober.Prober {
	return prober.New(prober.Options{
		Targets: su.probeTargets,
		Probe:   su.probeTarget,
		PeersReach: func(since time.Time) bool {
			return len(su.peersWithContact(since)) > 0
		},
		CutOff: func() {
			su.balancer.ForgiveFailures()
			for _, ts := range su.throttler.ForgiveFailures() {
				su.updateCold(ts, coldFromCut, su.throttler.ColdLeft(ts) == 0)
			}
			su.logger.Info("requests given up at cut connections", "requests", su.forwarder.AbandonSilent(silentRequestTime))
			su.reporter.AddToCounter("cuts_from_targets", 1)
		},
		Restored: func() {},
		Logger:   su.logger,
	})
}

// probeTargets returns the targets to which connections may be tried: those that take requests.
func (su *Supervisor) probeTargets() []prober.Target {
	var targets []prober.Target
	for _, ta := range su.balancer.All() {
		if su.balancer.Available(ta) {
			targets = append(targets, prober.Target{ID: ta.ID(), Group: ta.Service() + "/" + ta.FailureDomain()})
		}
	}
	return targets
}

// probeTarget opens a connection to a target.
func (su *Supervisor) probeTarget(ctx context.Context, target string) error {
	ta, ok := su.balancer.Target(target)
	if !ok {
		return forwarder.ErrUnusable
	}
	fo, ok := su.forwarderTarget(ta)
	if !ok {
		return forwarder.ErrUnusable
	}
	return su.forwarder.Probe(ctx, fo)
}

// forwarderTarget returns the destination of sends to a target; false if its service is not configured.
func (su *Supervisor) forwarderTarget(ta *balancer.Target) (forwarder.Target, bool) {
	cf := su.configuration.Load()
	if cf == nil {
		return forwarder.Target{}, false
	}
	service, ok := cf.Service(ta.Service())
	if !ok {
		return forwarder.Target{}, false
	}
	return acceptor.ForwarderTarget(ta, service, su.instanceCount()), true
}

func (su *Supervisor) newRelayer() *relayer.Relayer {
	return relayer.New(relayer.Options{
		Peers: func() []relayer.Peer {
			return su.peersWithContact(time.Now().Add(-contactTime - 2*su.exchanger.Interval()))
		},
		Call: func(ctx context.Context, address string, rq *wire.RelayRequest) (relayer.Stream, error) {
			return su.exchanger.Relay(ctx, address, rq)
		},
		Refuses: func() bool { return su.prober.Cut() || su.draining() },
		Forward: su.forwardForPeer,
		Random:  rand.Float64,
	})
}

// peersWithContact returns the peers that have received bytes of a target since a time and with which the exchange of
// state works.
func (su *Supervisor) peersWithContact(since time.Time) []relayer.Peer {
	var peers []relayer.Peer
	for _, in := range su.keeper.Instances() {
		if in.Present && !su.silentPeers.contains(in.Name) && su.targetContacts.contactedSince(in.Name, since) {
			peers = append(peers, relayer.Peer{
				Name: in.Name, Address: in.Address, Region: su.settings.RegionOf(in.FailureDomain),
			})
		}
	}
	return peers
}

// forwardForPeer sends a request to a target for a peer that is cut off from the targets.
func (su *Supervisor) forwardForPeer(ctx context.Context, message *wire.RelayRequest) (*forwarder.Response, error) {
	ts, rq := relayer.DecodeRequest(message)
	ta, ok := su.balancer.Target(ts.Target)
	if !ok || !ta.SameAs(ts) {
		return nil, forwarder.NewSendError(forwarder.ErrUnusable, false)
	}
	fo, ok := su.forwarderTarget(ta)
	if !ok {
		return nil, forwarder.NewSendError(forwarder.ErrUnusable, false)
	}
	rq.ResponseID = platform.ResponseID
	if !su.acquireForPeer(ctx, ta, rq) {
		return nil, forwarder.NewSendError(forwarder.ErrUnusable, false)
	}
	rq.Usable = func() bool {
		return su.balancer.Available(ta) && (rq.SendBefore.IsZero() || time.Now().Before(rq.SendBefore))
	}
	su.reporter.AddToCounter("relayed", 1)
	sentAt := time.Now()
	rs, err := su.forwarder.Send(ctx, fo, rq)
	if err != nil {
		su.logger.Info("relayed request failed", "id", rq.ID, "target", ta.ID(), "error", err)
		return nil, err
	}
	su.recordRelayedAnswer(ta, rs, sentAt)
	return rs, nil
}

// recordRelayedAnswer records what a target says of itself in an answer to a request that was relayed at the given time.
func (su *Supervisor) recordRelayedAnswer(ta *balancer.Target, rs *forwarder.Response, sentAt time.Time) {
	// Another target that has the address now answers for itself.
	misdirected := rs.Status() == http.StatusMisdirectedRequest
	if tl, ok := platform.ParseTargetLoad(rs.Header()); ok {
		su.balancer.SetLoad(ta.ID(), tl.Running+tl.Waiting)
		if (tl.Pace > 0 || tl.PaceErr != nil) && !misdirected {
			su.paceAnswered(ta, tl)
		}
	}
	if platform.Leaving(rs.Header()) {
		su.markTargetLeaving(ta.Start(), leavingFromAnswer)
	}
	if co := platform.ParseColdness(rs.Header()); co.Named && !misdirected && su.coldTime(ta) > 0 {
		su.coldAnswered(ta.Start(), co, sentAt)
	}
	if wait := platform.BackOff(rs.Status(), rs.Header()); wait > 0 {
		su.balancer.BackOff(ta.ID(), wait)
	}
}
