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
	// mirrorInterval is the time between two looks at whether a peer knows more of the store.
	mirrorInterval = 400 * time.Millisecond
	// readerLag is how much later than other peers a reader may tell of a change of the operator's keys.
	readerLag = 300 * time.Millisecond
	// neverFailed stands for the age of a failure that there has not been.
	neverFailed = -time.Millisecond
)

// watchers are those of the copies that peers may follow, in the exchanger's order.
func (su *Supervisor) watchers() [exchanger.CopyCount]*watcher.Watcher {
	return [exchanger.CopyCount]*watcher.Watcher{
		exchanger.CopyOperator: su.operatorWatcher, exchanger.CopyTargets: su.targetWatcher, exchanger.CopyOwn: su.ownWatcher,
	}
}

// revisions are those of the store up to which the operator's keys and the targets are known.
func (su *Supervisor) revisions() revisions {
	return revisions{operator: su.operatorWatcher.Revision(), targets: su.targetWatcher.Revision()}
}

func (su *Supervisor) newFollower() *follower.Follower {
	return follower.New(follower.Options{
		Self:       su.settings.IP(),
		Domain:     su.domainPeers,
		PeersKnown: su.ownWatcher.Listed,
		Fetch:      su.exchanger.Mirror,
		Apply:      su.takeReader,
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

// mirror tells a peer what changed in this instance's copies of the store's keys, once something has or the time is up.
func (su *Supervisor) mirror(ctx context.Context, rq exchanger.MirrorRequest) exchanger.MirrorResponse {
	marks := rq.Cursors
	if rq.Start != su.start {
		marks = exchanger.Cursors{}
	}
	su.awaitChange(ctx, marks, su.currentWithin(rq.Wait))
	mi := exchanger.MirrorResponse{Start: su.start, Current: true, FailureAge: neverFailed}
	if failed := su.trouble.LastFailure(); !failed.IsZero() {
		mi.FailureAge = time.Since(failed)
	}
	for index, wa := range su.watchers() {
		mi.Changes[index] = wa.ChangesSince(marks[index])
		mi.Current = mi.Current && wa.Current()
	}
	return mi
}

// currentWithin is the part of a wait for which the copies count as kept up to date by the store unless it goes on being
// silent: a follower is told when they do no more.
func (su *Supervisor) currentWithin(wait time.Duration) time.Duration {
	for _, wa := range su.watchers() {
		wait = min(wait, wa.CurrentFor())
	}
	return wait
}

func (su *Supervisor) awaitChange(ctx context.Context, marks exchanger.Cursors, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	was := su.watchers()
	select {
	case <-was[exchanger.CopyOperator].Changed(marks[exchanger.CopyOperator]):
	case <-was[exchanger.CopyTargets].Changed(marks[exchanger.CopyTargets]):
	case <-was[exchanger.CopyOwn].Changed(marks[exchanger.CopyOwn]):
	case <-timer.C:
	case <-ctx.Done():
	}
}

// takeReader takes in the changes of a reader, which the store serves.
func (su *Supervisor) takeReader(mi exchanger.MirrorResponse) [exchanger.CopyCount]bool {
	taken := su.takeMirror(mi)
	for index, wa := range su.watchers() {
		if taken[index] {
			wa.MarkReachable()
		}
	}
	return taken
}

// takeMirror takes in a peer's changes. A failure of the store that the peer saw counts as seen here: keys that
// disappear around it may come back.
func (su *Supervisor) takeMirror(mi exchanger.MirrorResponse) [exchanger.CopyCount]bool {
	if mi.FailureAge >= 0 {
		su.trouble.RecordFailureAt(time.Now().Add(-mi.FailureAge))
	}
	for _, ch := range mi.Changes {
		su.hearEra(platform.Era(ch.Revision))
	}
	var taken [exchanger.CopyCount]bool
	for index, wa := range su.watchers() {
		taken[index] = wa.ApplyChanges(mi.Changes[index])
	}
	return taken
}

// checkReader stops following a reader that has not told of a change that other peers know.
func (su *Supervisor) checkReader() {
	if su.changeTold.ahead(su.operatorChange.Load(), time.Now()) > readerLag {
		su.follower.DropReader()
	}
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
	mi, err := su.exchanger.Mirror(ctx, address, exchanger.MirrorRequest{})
	if err != nil {
		su.logger.Warn("copy of the store not had from peer", "peer", peer, "error", err)
		return false
	}
	su.takeMirror(mi)
	revision := mi.Changes[exchanger.CopyOperator].Revision
	su.logger.Info("store followed through peer", "peer", peer,
		"operator-revision", revision, "target-revision", mi.Changes[exchanger.CopyTargets].Revision)
	return revision > 0
}
