package supervisor

import (
	"context"
	"errors"
	"net"
	"time"

	"lovagebank/balancer"
	"lovagebank/exchanger"
	"lovagebank/orderer"
	"lovagebank/permitter"
	"lovagebank/router"
	"lovagebank/sleeper"
)

const (
	// gaugeInterval is the time between two updates of the gauges.
	gaugeInterval = 2 * time.Second
	// localUpdateInterval is the time between two updates of the balancer with the targets that this instance holds.
	localUpdateInterval = 100 * time.Millisecond
	// maxUseReportDelay is the time after which a request that its target's holder does not know yet triggers an update
	// to the holder. A holder that learns of it later may evict an adapter in use.
	maxUseReportDelay = 250 * time.Millisecond
)

var errHolderUnknown = errors.New("the target's holder is not known")

func (su *Supervisor) peerAddress() string {
	return net.JoinHostPort(su.settings.IP(), su.settings.PeerPort())
}

func (su *Supervisor) newExchanger() *exchanger.Exchanger {
	return exchanger.New(exchanger.Options{
		Self:        su.settings.IP(),
		Peers:       su.peers,
		Compose:     su.composeUpdate,
		Apply:       su.applyUpdate,
		Load:        su.loadLocally,
		Turn:        su.reserveTurn,
		GrantSend:   su.grantSend,
		GrantPermit: su.grantPermit,
		GivenBack:   func(pe permitter.Permit, rejected bool) { su.permitter.GivenBack(pe, rejected) },
		Mirror:      su.mirror,
		Relay:       su.relayer.Serve,
		Dial:        su.op.Dial,
		ExchangeFailed: func(peer string, err error) {
			su.reporter.AddToCounter("exchange_failures", 1)
			if su.silentPeers.add(peer) {
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

func (su *Supervisor) removeInstance(name string) {
	su.allotter.Remove(name)
	su.holdings.removeInstance(name)
	su.silentPeers.remove(name)
	su.targetContacts.remove(name)
	su.profiler.Remove(name)
	su.encoder.Remove(name)
	su.parts.Remove(name)
	su.logger.Info("instance removed", "peer", name)
}

// loadAdapter has a target's holder load an adapter onto the target.
func (su *Supervisor) loadAdapter(ctx context.Context, holder string, ta *balancer.Target, rq orderer.Request) error {
	if holder == su.settings.IP() {
		return su.loadLocally(ctx, ta.ID(), rq)
	}
	address, ok := su.addressOf(holder)
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

// addressOf returns the address of a peer, or false if the peer is unknown.
func (su *Supervisor) addressOf(name string) (string, bool) {
	for _, in := range su.keeper.Instances() {
		if in.Name == name {
			return in.Address, true
		}
	}
	return "", false
}

func (su *Supervisor) loadLocally(ctx context.Context, target string, rq orderer.Request) error {
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
		Reachable: func() bool { return !su.prober.Cut() },
		Newest:    su.releaser.NewestVersion,
		MayReplace: func(ad balancer.Adapter) bool {
			return su.releaser.MayReplace(ad, su.balancer.Rank(ta.ID(), ad))
		},
		Report: su.requestReport,
		OnLeaving: func() {
			su.markTargetLeaving(ta.Start(), leavingFromReport)
		},
		Order:     su.targets.Order,
		OnChanged: func() {},
		Logger:    su.logger,
	})
}

// runUpdates passes the state of the held targets and the local requests to the balancer and the orderers of this
// instance, and fetches a peer's copy of the store while the store fails.
func (su *Supervisor) runUpdates(ctx context.Context) {
	mirrorAt, reportAt := time.Now(), time.Now()
	for sleeper.For(ctx, localUpdateInterval) {
		updates := su.holdings.updates()
		su.updateHeld(updates)
		for _, tu := range updates {
			if or, ok := su.holdings.orderer(tu.Target); ok {
				or.RecordUse(su.settings.IP(), su.balancer.TakeUses(tu.Target))
				su.mergeSpeedSums(tu.Target, su.takeSpeedSums(tu.Target))
			}
		}
		su.reportUses()
		su.evaluateParts(ctx)
		if time.Since(reportAt) > gaugeInterval {
			reportAt = time.Now()
			su.setGauges()
		}
		su.dropLaggingReader()
		su.settleDepartures()
		su.settleEvacuations()
		if su.storeFailures.FailedWithin(recentFailureWindow) && time.Since(mirrorAt) > mirrorInterval {
			mirrorAt = time.Now()
			su.fetchMirror(ctx)
		}
	}
}

// reportUses sends updates to the holders of targets to which this instance has sent unreported requests.
func (su *Supervisor) reportUses() {
	holders := make(map[string]bool)
	for _, target := range su.balancer.Unreported(maxUseReportDelay) {
		if holder := su.keeper.Holder(target); holder != "" {
			holders[holder] = true
		}
	}
	if len(holders) > 0 {
		su.exchanger.ExchangeNow(holders)
	}
}

// setGauges sets the gauges of the instance.
func (su *Supervisor) setGauges() {
	su.reporter.SetGauge("store_calls", float64(su.store.Calls()))
	su.reporter.SetGauge("store_calls_failed", float64(su.store.FailedCalls()))
	su.reporter.SetGauge("targets", float64(su.balancer.TargetCount()))
	su.reporter.SetGauge("domains_evacuated", float64(len(su.evacuator.All())))
	su.reporter.SetGauge("targets_held", float64(len(su.keeper.Held())))
	su.reporter.SetGauge("peers", float64(su.instanceCount()-1))
	su.reporter.SetGauge("log_lines_dropped", float64(su.recorder.Dropped()))
	su.reportMemory()
	su.reportEngines()
	su.reportSpeeds()
}
