package supervisor

import (
	"context"
	"time"

	"lovagebank/exchanger"
	"lovagebank/follower"
	"lovagebank/platform"
	"lovagebank/watcher"
)

const (
	// mirrorInterval is the minimum time between two checks for a peer with a newer copy of the store.
	mirrorInterval = 400 * time.Millisecond
	// maxReaderLag is the maximum time by which a reader may report a change of the operator's keys later than other peers.
	maxReaderLag = 300 * time.Millisecond
	// noFailureAge is the FailureAge of an instance that has seen no failure of the store.
	noFailureAge = -time.Millisecond
)

// watchers returns the watchers of the copies that peers may follow, in the exchanger's order.
func (su *Supervisor) watchers() [exchanger.CopyCount]*watcher.Watcher {
	return [exchanger.CopyCount]*watcher.Watcher{
		exchanger.CopyOperator: su.operatorWatcher, exchanger.CopyTargets: su.targetWatcher, exchanger.CopyOwn: su.ownWatcher,
	}
}

// revisions returns the store's revisions up to which the copies of the operator's keys and the targets are complete.
func (su *Supervisor) revisions() revisions {
	return revisions{operator: su.operatorWatcher.Revision(), targets: su.targetWatcher.Revision()}
}

func (su *Supervisor) newFollower() *follower.Follower {
	return follower.New(follower.Options{
		Self:       su.settings.IP(),
		Domain:     su.domainPeers,
		PeersKnown: su.ownWatcher.Listed,
		Fetch:      su.exchanger.Mirror,
		Apply:      su.applyReader,
		Logger:     su.logger,
	})
}

func (su *Supervisor) domainPeers() []follower.Instance {
	var peers []follower.Instance
	for _, in := range su.keeper.Instances() {
		if in.Present && in.FailureDomain == su.settings.FailureDomain() {
			peers = append(peers, follower.Instance{Name: in.Name, Address: in.Address})
		}
	}
	return peers
}

// mirror returns to a peer the changes in this instance's copies of the store's keys. It waits for a change, at most for
// the requested time.
func (su *Supervisor) mirror(ctx context.Context, rq exchanger.MirrorRequest) exchanger.MirrorResponse {
	cursors := rq.Cursors
	if rq.Start != su.start {
		cursors = exchanger.Cursors{}
	}
	su.awaitChange(ctx, cursors, su.currentWithin(rq.Wait))
	mi := exchanger.MirrorResponse{Start: su.start, Current: true, FailureAge: noFailureAge}
	if failed := su.storeFailures.LastFailure(); !failed.IsZero() {
		mi.FailureAge = time.Since(failed)
	}
	for index, wa := range su.watchers() {
		mi.Changes[index] = wa.ChangesSince(cursors[index])
		mi.Current = mi.Current && wa.Current()
	}
	return mi
}

// currentWithin limits a wait to the time for which all copies count as kept up to date even if the store stays silent, so
// that a follower receives an answer as soon as they no longer do.
func (su *Supervisor) currentWithin(wait time.Duration) time.Duration {
	for _, wa := range su.watchers() {
		wait = min(wait, wa.CurrentFor())
	}
	return wait
}

func (su *Supervisor) awaitChange(ctx context.Context, cursors exchanger.Cursors, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	watchers := su.watchers()
	select {
	case <-watchers[exchanger.CopyOperator].Changed(cursors[exchanger.CopyOperator]):
	case <-watchers[exchanger.CopyTargets].Changed(cursors[exchanger.CopyTargets]):
	case <-watchers[exchanger.CopyOwn].Changed(cursors[exchanger.CopyOwn]):
	case <-timer.C:
	case <-ctx.Done():
	}
}

// applyReader applies the changes of a reader, whose copies the store keeps up to date. It reports for each copy whether
// its changes were applied.
func (su *Supervisor) applyReader(mi exchanger.MirrorResponse) [exchanger.CopyCount]bool {
	applied := su.applyMirror(mi)
	for index, wa := range su.watchers() {
		if applied[index] {
			wa.MarkReachable()
		}
	}
	return applied
}

// applyMirror applies a peer's changes and reports for each copy whether they were applied. A failure of the store that
// the peer saw counts as seen by this instance too: keys that disappear around it may come back.
func (su *Supervisor) applyMirror(mi exchanger.MirrorResponse) [exchanger.CopyCount]bool {
	if mi.FailureAge >= 0 {
		su.storeFailures.RecordFailureAt(time.Now().Add(-mi.FailureAge))
	}
	for _, ch := range mi.Changes {
		su.checkEra(platform.Era(ch.Revision))
	}
	var applied [exchanger.CopyCount]bool
	for index, wa := range su.watchers() {
		applied[index] = wa.ApplyChanges(mi.Changes[index])
	}
	return applied
}

// dropLaggingReader stops following a reader that has not reported a change that other peers have received.
func (su *Supervisor) dropLaggingReader() {
	if su.reportedChange.aheadFor(su.operatorChange.Load(), time.Now()) > maxReaderLag {
		su.follower.DropReader()
	}
}

// fetchMirror fetches and applies the copy of a peer that has newer revisions of the store. An instance without a
// configuration fetches it from the seeds named in the settings.
func (su *Supervisor) fetchMirror(ctx context.Context) {
	if su.configuration.Load() == nil {
		su.fetchMirrorFromSeeds(ctx)
		return
	}
	peer, ok := su.peerRevisions.furthestAhead(su.revisions())
	if !ok {
		return
	}
	for _, in := range su.keeper.Instances() {
		if in.Name == peer {
			su.fetchMirrorFrom(ctx, peer, in.Address)
		}
	}
}

func (su *Supervisor) fetchMirrorFromSeeds(ctx context.Context) {
	for _, address := range su.settings.Seeds() {
		if address != su.settings.ControlAddress() && su.fetchMirrorFrom(ctx, address, address) {
			return
		}
	}
}

// fetchMirrorFrom fetches and applies a peer's copy of the store. It reports whether the peer had one.
func (su *Supervisor) fetchMirrorFrom(ctx context.Context, peer, address string) bool {
	mi, err := su.exchanger.Mirror(ctx, address, exchanger.MirrorRequest{})
	if err != nil {
		su.logger.Warn("fetching store copy from peer failed", "peer", peer, "error", err)
		return false
	}
	su.applyMirror(mi)
	revision := mi.Changes[exchanger.CopyOperator].Revision
	su.logger.Info("store copy fetched from peer", "peer", peer,
		"operator-revision", revision, "target-revision", mi.Changes[exchanger.CopyTargets].Revision)
	return revision > 0
}
