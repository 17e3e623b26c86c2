package supervisor

import (
	"sync"
	"time"
)

// revisions are the store's revisions up to which an instance's copies of the operator's keys and the targets are complete.
type revisions struct {
	operator int64
	targets  int64
}

// peerRevisions keeps the revisions that peers report.
type newer struct {
	mu    sync.Mutex
	peers map[string]revisions
}

func (ne *newer) note(peer string, known revisions) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.peers == nil {
		ne.peers = make(map[string]revisions)
	}
	ne.peers[peer] = known
}

// furthestAhead returns the peer whose revisions are the furthest ahead of this instance's, or false if none is ahead.
func (ne *newer) best(own revisions) (string, bool) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	found, most := "", int64(0)
	for peer, known := range ne.peers {
		beyond := max(known.operator-own.operator, 0) + max(known.targets-own.targets, 0)
		if beyond > most {
			found, most = peer, beyond
		}
	}
	return found, found != ""
}

// reportedChange is the newest change of the operator's keys that a peer has reported.
type changeTold struct {
	mu       sync.Mutex
	revision int64
	at       time.Time
}

func (ch *changeTold) raise(revision int64) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if revision > ch.revision {
		ch.revision, ch.at = revision, time.Now()
	}
}

// aheadFor returns the time since a peer reported a change newer than the given revision; 0 if none has.
func (ch *changeTold) ahead(known int64, now time.Time) time.Duration {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.revision <= known {
		return 0
	}
	return now.Sub(ch.at)
}
