package supervisor

import (
	"sync"
	"time"
)

// revisions are those of the store up to which an instance knows the operator's keys and the targets.
type revisions struct {
	operator int64
	targets  int64
}

// newer keeps the revisions that peers tell.
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

// best returns the peer that knows most beyond what is known here.
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

// changeTold is the newest change of the operator's keys that a peer told of.
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

// ahead is how long a peer has known of a change beyond the given revision.
func (ch *changeTold) ahead(known int64, now time.Time) time.Duration {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.revision <= known {
		return 0
	}
	return now.Sub(ch.at)
}
