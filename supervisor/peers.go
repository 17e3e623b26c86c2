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
	"lovagebank/watcher"
	"lovagebank/wire"
)

const (
	// mirrorInterval is the time between two looks at whether a peer knows more of the store.
	mirrorInterval = 400 * time.Millisecond
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
		Newest:    su.versions.newest,
		Report:    su.targets.Report,
		Order:     su.targets.Order,
		Changed:   func() {},
		Logger:    su.logger,
	})
}

// compose is what this instance tells a peer.
func (su *Supervisor) compose(peer string) *wire.FleetState {
	state := &wire.FleetState{Instance: su.settings.IP(), Start: su.start, Leaving: su.draining.Load()}
	known := su.revisions()
	state.OperatorRevision, state.TargetRevision = known.operator, known.targets
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

// revisions are those of the store up to which the operator's keys and the targets are known.
func (su *Supervisor) revisions() revisions {
	return revisions{operator: su.operatorWatcher.Revision(), targets: su.targetWatcher.Revision()}
}

// mirror is this instance's copy of the store's keys.
func (su *Supervisor) mirror() exchanger.Mirror {
	return exchanger.Mirror{
		Operator: copyOf(su.operatorWatcher),
		Targets:  copyOf(su.targetWatcher),
		Own:      copyOf(su.ownWatcher),
	}
}

func copyOf(wa *watcher.Watcher) exchanger.Copy {
	// The revision goes first: what comes in between is in the copy, and is told again.
	revision := wa.Revision()
	return exchanger.Copy{Items: wa.Items(), Revision: revision}
}

// askMirror takes in the copy of a peer that knows more of the store. An instance that has never read the store asks
// those that the settings name.
func (su *Supervisor) askMirror(ctx context.Context) {
	if su.configuration.Load() == nil {
		su.askSeeds(ctx)
		return
	}
	peer, ok := su.newer.best(su.revisions())
	if !ok {
		return
	}
	for _, in := range su.keeper.Instances() {
		if in.Name == peer {
			su.learnFrom(ctx, peer, in.Address)
		}
	}
}

func (su *Supervisor) askSeeds(ctx context.Context) {
	for _, address := range su.settings.Seeds() {
		if address != su.settings.ControlAddress() && su.learnFrom(ctx, address, address) {
			return
		}
	}
}

// learnFrom takes in a peer's copy of the store; false where there is none.
func (su *Supervisor) learnFrom(ctx context.Context, peer, address string) bool {
	mi, err := su.exchanger.Mirror(ctx, address)
	if err != nil {
		su.logger.Warn("copy of the store not had from peer", "peer", peer, "error", err)
		return false
	}
	su.operatorWatcher.Learn(mi.Operator.Items, mi.Operator.Revision)
	su.targetWatcher.Learn(mi.Targets.Items, mi.Targets.Revision)
	su.ownWatcher.Learn(mi.Own.Items, mi.Own.Revision)
	su.logger.Info("store followed through peer", "peer", peer,
		"operator-revision", mi.Operator.Revision, "target-revision", mi.Targets.Revision)
	return mi.Operator.Revision > 0
}
