package supervisor

import (
	"context"
	"errors"
	"net"
	"time"

	"lovagebank/allotter"
	"lovagebank/balancer"
	"lovagebank/exchanger"
	"lovagebank/orderer"
	"lovagebank/pauser"
	"lovagebank/quarantiner"
	"lovagebank/router"
	"lovagebank/wire"
)

const (
	// reportInterval is the time between two settings of the gauges.
	reportInterval = 2 * time.Second
	// toldInterval is the time between two looks of the balancer at the targets held by this instance itself.
	toldInterval = 100 * time.Millisecond
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
		Take:    su.takeState,
		Load:    su.loadHere,
		Mirror:  su.mirror,
		Failed: func(peer string, err error) {
			su.reporter.Count("exchange_failures", 1)
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
		su.allotter.Member(in.Name)
	}
	if su.ownWatcher.Listed() {
		su.allotter.Complete()
	}
	return peers
}

func (su *Supervisor) instanceGone(name string) {
	su.allotter.Gone(name)
	su.holdings.gone(name)
	su.silent.regain(name)
	su.logger.Info("instance gone", "peer", name)
}

// load has a target load an adapter by way of its holder.
func (su *Supervisor) load(ctx context.Context, holder string, ta *balancer.Target, rq orderer.Request) error {
	if holder == su.settings.IP() {
		return su.loadHere(ctx, ta.ID(), rq)
	}
	for _, in := range su.keeper.Instances() {
		if in.Name != holder {
			continue
		}
		refusal, err := su.exchanger.Load(ctx, in.Address, ta.ID(), rq)
		if err != nil {
			return err
		}
		if refusal != "" {
			return errors.New(refusal)
		}
		return nil
	}
	return errHolderUnknown
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
		Newest:    su.releaser.Newest,
		MayReplace: func(ad balancer.Adapter) bool {
			return su.releaser.MayReplace(ad, su.balancer.Place(ta.ID(), ad))
		},
		Report:  su.targets.Report,
		Order:   su.targets.Order,
		Changed: func() {},
		Logger:  su.logger,
	})
}

// compose is what this instance tells a peer.
func (su *Supervisor) compose(peer string) *wire.FleetState {
	state := &wire.FleetState{Instance: su.settings.IP(), Start: su.start, Leaving: su.draining.Load()}
	known := su.revisions()
	state.OperatorRevision, state.TargetRevision = known.operator, known.targets
	state.OperatorChange = su.operatorChange.Load()
	for name, ta := range su.allotter.Tallies() {
		state.Tallies = append(state.Tallies, &wire.OrganisationTally{
			Organisation: name, Admitted: ta.Admitted, Asked: ta.Asked, Left: ta.Left, Settled: ta.Settled,
		})
	}
	for _, ho := range su.holdings.held() {
		state.Held = append(state.Held, heldTarget(ho))
	}
	for _, target := range su.keeper.HeldBy(peer) {
		if uses := su.balancer.TakeUses(target); len(uses) > 0 {
			state.Uses = append(state.Uses, targetUse(target, uses))
		}
	}
	for _, cr := range su.quarantiner.Crashes() {
		state.Crashes = append(state.Crashes, &wire.Crash{Fingerprint: cr.Fingerprint, Count: int32(cr.Count)})
	}
	return state
}

func heldTarget(ho balancer.Holding) *wire.HeldTarget {
	held := &wire.HeldTarget{
		Target: ho.Target, Active: ho.Holder != "", Load: int32(ho.Load), LoadAgeMs: int32(ho.LoadAge.Milliseconds()),
	}
	models := make(map[string]*wire.HeldModel)
	for ad, version := range ho.Adapters {
		model, ok := models[ad.Model]
		if !ok {
			model = &wire.HeldModel{Name: ad.Model}
			models[ad.Model] = model
			held.Models = append(held.Models, model)
		}
		if ad.Name == "" {
			model.Version = version
			continue
		}
		model.Adapters = append(model.Adapters, &wire.HeldAdapter{Name: ad.Name, Version: version})
	}
	return held
}

func targetUse(target string, uses map[balancer.Adapter]balancer.Use) *wire.TargetUse {
	tu := &wire.TargetUse{Target: target}
	for ad, us := range uses {
		tu.Adapters = append(tu.Adapters, &wire.AdapterUse{
			Model: ad.Model, Name: ad.Name, Sent: int32(us.Sent), Running: int32(us.Running),
		})
	}
	return tu
}

// takeState takes in what a peer tells.
func (su *Supervisor) takeState(state *wire.FleetState) {
	peer := state.GetInstance()
	if su.silent.regain(peer) {
		su.logger.Info("peer regained", "peer", peer)
	}
	tallies := make(map[string]allotter.Tally, len(state.GetTallies()))
	for _, ta := range state.GetTallies() {
		tallies[ta.GetOrganisation()] = allotter.Tally{
			Admitted: ta.GetAdmitted(), Asked: ta.GetAsked(), Left: ta.GetLeft(), Settled: ta.GetSettled(),
		}
	}
	su.allotter.Heard(allotter.Telling{
		Instance: peer, Start: state.GetStart(), Leaving: state.GetLeaving(), Tallies: tallies,
	})
	for _, held := range state.GetHeld() {
		su.balancer.Heard(holding(peer, held))
	}
	for _, tu := range state.GetUses() {
		if or, ok := su.holdings.orderer(tu.GetTarget()); ok {
			or.Used(peer, adapterUses(tu))
		}
	}
	crashes := make([]quarantiner.Crash, 0, len(state.GetCrashes()))
	for _, cr := range state.GetCrashes() {
		crashes = append(crashes, quarantiner.Crash{Fingerprint: cr.GetFingerprint(), Count: int(cr.GetCount())})
	}
	su.quarantiner.Heard(peer, crashes)
	su.newer.note(peer, revisions{operator: state.GetOperatorRevision(), targets: state.GetTargetRevision()})
	su.changeTold.raise(state.GetOperatorChange())
}

func holding(peer string, held *wire.HeldTarget) balancer.Holding {
	ho := balancer.Holding{
		Target:   held.GetTarget(),
		Adapters: make(map[balancer.Adapter]int64),
		Load:     int(held.GetLoad()),
		LoadAge:  time.Duration(held.GetLoadAgeMs()) * time.Millisecond,
	}
	if held.GetActive() {
		ho.Holder = peer
	}
	for _, model := range held.GetModels() {
		ho.Adapters[balancer.Adapter{Model: model.GetName()}] = model.GetVersion()
		for _, ad := range model.GetAdapters() {
			ho.Adapters[balancer.Adapter{Model: model.GetName(), Name: ad.GetName()}] = ad.GetVersion()
		}
	}
	return ho
}

func adapterUses(tu *wire.TargetUse) map[balancer.Adapter]balancer.Use {
	uses := make(map[balancer.Adapter]balancer.Use, len(tu.GetAdapters()))
	for _, au := range tu.GetAdapters() {
		ad := balancer.Adapter{Model: au.GetModel(), Name: au.GetName()}
		uses[ad] = balancer.Use{Sent: int(au.GetSent()), Running: int(au.GetRunning())}
	}
	return uses
}

// followPeers tells the balancer and the orderers of this instance what it knows itself, and asks a peer for its copy
// of the store when the store does not serve this instance.
func (su *Supervisor) followPeers(ctx context.Context) {
	mirrorAt, reportAt := time.Now(), time.Now()
	for pauser.For(ctx, toldInterval) {
		for _, ho := range su.holdings.held() {
			su.balancer.Heard(ho)
			if or, ok := su.holdings.orderer(ho.Target); ok {
				or.Used(su.settings.IP(), su.balancer.TakeUses(ho.Target))
			}
		}
		if time.Since(reportAt) > reportInterval {
			reportAt = time.Now()
			su.reportState()
		}
		su.checkReader()
		if su.troubled(troubleMemory) && time.Since(mirrorAt) > mirrorInterval {
			mirrorAt = time.Now()
			su.askMirror(ctx)
		}
	}
}

// reportState sets the gauges.
func (su *Supervisor) reportState() {
	su.reporter.Set("store_calls", float64(su.store.Calls()))
	su.reporter.Set("store_calls_failed", float64(su.store.Failed()))
	su.reporter.Set("targets", float64(su.balancer.Targets()))
	su.reporter.Set("targets_held", float64(len(su.keeper.Held())))
	su.reporter.Set("peers", float64(su.instances()-1))
	su.reporter.Set("log_lines_dropped", float64(su.recorder.Dropped()))
}
