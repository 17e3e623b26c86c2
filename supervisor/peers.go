package supervisor

import (
	"context"
	"errors"
	"net"
	"time"

	"lovagebank/balancer"
	"lovagebank/exchanger"
	"lovagebank/orderer"
	"lovagebank/pauser"
	"lovagebank/router"
)

const (
	// reportInterval is the time between two settings of the gauges.
	reportInterval = 2 * time.Second
	// toldInterval is the time between two looks of the balancer at the targets held by this instance itself.
	toldInterval = 100 * time.Millisecond
	// tellUsesAfter is how long after a request its target's holder is told at the latest. A holder that hears later may
	// give up an adapter in use.
	tellUsesAfter = 250 * time.Millisecond
)

var errHolderUnknown = errors.New("the target's holder is not known")

func (su *Supervisor) peerAddress() string {
	return net.JoinHostPort(su.settings.IP(), su.settings.PeerPort())
}

func (su *Supervisor) newExchanger() *exchanger.Exchanger {
	return exchanger.New(exchanger.Options{
		Self:    su.settings.IP(),
		Peers:   su.peers,
		Compose: su.compose,
		Apply:   su.takeState,
		Load:    su.loadHere,
		Turn:    su.turnHere,
		Mirror:  su.mirror,
		ExchangeFailed: func(peer string, err error) {
			su.reporter.AddToCounter("exchange_failures", 1)
			if su.silent.lose(peer) {
				su.logger.Warn("peer lost", "peer", peer, "error", err)
			}
		},
	})
}

func (su *Supervisor) peers() []exchanger.Peer {
	instances := su.keeper.Instances()
	peers := make([]exchanger.Peer, 0, len(instances))
	for _, in := range instances {
		peers = append(peers, exchanger.Peer{Name: in.Name, Address: in.Address})
		su.allotter.AddPeer(in.Name)
	}
	if su.ownWatcher.Listed() {
		su.allotter.SetPeersComplete()
	}
	return peers
}

func (su *Supervisor) instanceGone(name string) {
	su.allotter.Remove(name)
	su.holdings.gone(name)
	su.silent.regain(name)
	su.profiler.Remove(name)
	su.teller.Remove(name)
	su.logger.Info("instance gone", "peer", name)
}

// load has a target load an adapter by way of its holder.
func (su *Supervisor) load(ctx context.Context, holder string, ta *balancer.Target, rq orderer.Request) error {
	if holder == su.settings.IP() {
		return su.loadHere(ctx, ta.ID(), rq)
	}
	address, ok := su.peerNamed(holder)
	if !ok {
		return errHolderUnknown
	}
	refusal, err := su.exchanger.Load(ctx, address, ta.ID(), rq)
	if err != nil {
		if ctx.Err() == nil {
			su.balancer.HolderFailed(ta.ID())
		}
		return err
	}
	if refusal != "" {
		return errors.New(refusal)
	}
	return nil
}

// peerNamed returns the address of a peer.
func (su *Supervisor) peerNamed(name string) (string, bool) {
	for _, in := range su.keeper.Instances() {
		if in.Name == name {
			return in.Address, true
		}
	}
	return "", false
}

func (su *Supervisor) loadHere(ctx context.Context, target string, rq orderer.Request) error {
	or, ok := su.holdings.orderer(target)
	if !ok {
		return orderer.ErrNotHolder
	}
	return or.Load(ctx, rq)
}

func (ho *holdings) newOrderer(ta *balancer.Target, engine *router.Engine) *orderer.Orderer {
	su := ho.su
	return orderer.New(orderer.Options{
		Target:    ta,
		Engine:    engine,
		Holder:    su.settings.IP(),
		Authority: func() (int64, bool) { return su.keeper.Authority(ta.ID()) },
		Newest:    su.releaser.NewestVersion,
		MayReplace: func(ad balancer.Adapter) bool {
			return su.releaser.MayReplace(ad, su.balancer.Rank(ta.ID(), ad))
		},
		Report: su.targets.Report,
		OnLeaving: func() {
			su.targetLeaving(balancer.Leaver{Target: ta.ID(), Started: ta.Started()})
		},
		Order:     su.targets.Order,
		OnChanged: func() {},
		Logger:    su.logger,
	})
}

// followPeers tells the balancer and the orderers of this instance what it knows itself, and asks a peer for its copy
// of the store when the store does not serve this instance.
func (su *Supervisor) followPeers(ctx context.Context) {
	mirrorAt, reportAt := time.Now(), time.Now()
	for pauser.For(ctx, toldInterval) {
		held := su.holdings.held()
		su.makeWord(held)
		for _, ho := range held {
			if or, ok := su.holdings.orderer(ho.Target); ok {
				or.RecordUse(su.settings.IP(), su.balancer.TakeUses(ho.Target))
			}
		}
		su.tellUses()
		if time.Since(reportAt) > reportInterval {
			reportAt = time.Now()
			su.reportState()
		}
		su.checkReader()
		if su.trouble.FailedWithin(troubleMemory) && time.Since(mirrorAt) > mirrorInterval {
			mirrorAt = time.Now()
			su.askMirror(ctx)
		}
	}
}

// tellUses has the holders of targets told that requests went to them.
func (su *Supervisor) tellUses() {
	holders := make(map[string]bool)
	for _, target := range su.balancer.Unreported(tellUsesAfter) {
		if holder := su.keeper.Holder(target); holder != "" {
			holders[holder] = true
		}
	}
	if len(holders) > 0 {
		su.exchanger.ExchangeNow(holders)
	}
}

// reportState sets the gauges.
func (su *Supervisor) reportState() {
	su.reporter.SetGauge("store_calls", float64(su.store.Calls()))
	su.reporter.SetGauge("store_calls_failed", float64(su.store.FailedCalls()))
	su.reporter.SetGauge("targets", float64(su.balancer.TargetCount()))
	su.reporter.SetGauge("targets_held", float64(len(su.keeper.Held())))
	su.reporter.SetGauge("peers", float64(su.instances()-1))
	su.reporter.SetGauge("log_lines_dropped", float64(su.recorder.Dropped()))
	su.reportEngines()
}
