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
type peerRevisions struct {
	mu    sync.Mutex
	peers map[string]revisions
}

func (pr *peerRevisions) record(peer string, reported revisions) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if pr.peers == nil {
		pr.peers = make(map[string]revisions)
	}
	pr.peers[peer] = reported
}

// of returns the revisions that a peer has reported.
func (pr *peerRevisions) of(peer string) revisions {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.peers[peer]
}

// furthestAhead returns the peer whose revisions are the furthest ahead of this instance's, or false if none is ahead.
func (pr *peerRevisions) furthestAhead(own revisions) (string, bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	furthest, maxLead := "", int64(0)
	for peer, reported := range pr.peers {
		lead := max(reported.operator-own.operator, 0) + max(reported.targets-own.targets, 0)
		if lead > maxLead {
			furthest, maxLead = peer, lead
		}
	}
	return furthest, furthest != ""
}

// reportedChange is the newest change of the operator's keys that a peer has reported.
type reportedChange struct {
	mu         sync.Mutex
	revision   int64
	reportedAt time.Time
}

func (rc *reportedChange) record(revision int64) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if revision > rc.revision {
		rc.revision, rc.reportedAt = revision, time.Now()
	}
}

// aheadFor returns the time since a peer reported a change newer than the given revision; 0 if none has.
func (rc *reportedChange) aheadFor(known int64, now time.Time) time.Duration {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.revision <= known {
		return 0
	}
	return now.Sub(rc.reportedAt)
}
