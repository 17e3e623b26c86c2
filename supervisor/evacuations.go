package supervisor

import (
	"slices"

	"lovagebank/evacuator"
	"lovagebank/keeper"
	"lovagebank/platform"
	"lovagebank/wire"
)

// Sources of an evacuation, for the log.
const (
	evacuationFromStore = "store"
	evacuationFromPeer  = "peer"
)

// applyEvacuation applies a change of a key that evacuates a failure domain.
func (su *Supervisor) applyEvacuation(it platform.Item) {
	domain, ok := platform.DecodeEvacuation(it.Key)
	if !ok {
		su.logger.Warn("entry skipped: no failure domain", "key", it.Key, "revision", it.Revision)
		return
	}
	su.recordEvacuation(evacuator.Evacuation{Domain: domain, Revision: it.Revision, Revoked: it.Deleted}, evacuationFromStore)
}

// applyPeerEvacuation applies a peer's report on a key that evacuates a failure domain. An evacuation is ignored if
// this instance's copy of the store's keys has reached its revision, as the copy decides then.
func (su *Supervisor) applyPeerEvacuation(message *wire.Evacuation) {
	ev := evacuator.Evacuation{Domain: message.GetDomain(), Revision: message.GetRevision(), Revoked: message.GetRevoked()}
	if _, ok := platform.DecodeEvacuation(platform.EvacuationPrefix + ev.Domain); !ok {
		return
	}
	if !ev.Revoked && ev.Revision <= su.operatorWatcher.Revision() {
		return
	}
	su.recordEvacuation(ev, evacuationFromPeer)
}

// settleEvacuations ends the evacuations that were reported by peers only, if this instance's copy of the store's keys
// has passed their revision and does not contain the key.
func (su *Supervisor) settleEvacuations() {
	domains := su.evacuator.All()
	if len(domains) == 0 || !su.operatorWatcher.Listed() {
		return
	}
	revision := su.operatorWatcher.Revision()
	keys := make(map[string]bool)
	for _, it := range su.operatorWatcher.Items() {
		keys[it.Key] = true
	}
	for _, ev := range su.evacuator.Notices() {
		if !ev.Revoked && ev.Revision < revision && !keys[platform.EvacuationPrefix+ev.Domain] {
			su.recordEvacuation(evacuator.Evacuation{Domain: ev.Domain, Revision: revision, Revoked: true}, evacuationFromStore)
		}
	}
}

// recordEvacuation begins or ends an evacuation. While a failure domain is evacuated, its targets get no requests, and
// requests whose bytes have not reached them are discarded. After a revocation the targets may be cold, as they have
// had no requests.
func (su *Supervisor) recordEvacuation(ev evacuator.Evacuation, source string) {
	su.evacuating.Lock()
	defer su.evacuating.Unlock()
	if !su.evacuator.Apply(ev.Domain, ev.Revision, ev.Revoked) {
		return
	}
	targets := su.balancer.TargetsIn(ev.Domain)
	if ev.Revoked {
		for _, ta := range targets {
			if cold := su.coldTime(ta); cold > 0 {
				su.updateCold(ta.Start(), coldFromRevocation, su.throttler.AssumeCold(ta.Start(), cold, ev.Revision))
			}
		}
	}
	su.balancer.SetEvacuated(su.evacuator.All())
	if ev.Revoked {
		su.logger.Info("evacuation revoked", "domain", ev.Domain, "revision", ev.Revision, "source", source,
			"targets", len(targets))
		return
	}
	su.reporter.AddToCounter("evacuations", 1)
	for _, ta := range targets {
		su.discardUnread(ta.ID())
	}
	su.logger.Info("failure domain evacuated", "domain", ev.Domain, "revision", ev.Revision, "source", source,
		"targets", len(targets))
	if len(targets) == 0 && su.targetWatcher.Listed() && su.settings.RegionOf(ev.Domain) == "" && !su.isInstanceDomain(ev.Domain) {
		su.logger.Warn("evacuated failure domain is unknown", "domain", ev.Domain, "revision", ev.Revision)
	}
}

// isInstanceDomain reports whether an instance runs in a failure domain.
func (su *Supervisor) isInstanceDomain(domain string) bool {
	runs := func(in keeper.Instance) bool { return in.FailureDomain == domain }
	return domain == su.settings.FailureDomain() || slices.ContainsFunc(su.keeper.Instances(), runs)
}

// encodeEvacuations returns the evacuations to report to peers, as messages.
func (su *Supervisor) encodeEvacuations() []*wire.Evacuation {
	notices := su.evacuator.Notices()
	messages := make([]*wire.Evacuation, 0, len(notices))
	for _, ev := range notices {
		messages = append(messages, &wire.Evacuation{Domain: ev.Domain, Revision: ev.Revision, Revoked: ev.Revoked})
	}
	return messages
}
