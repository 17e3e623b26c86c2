package supervisor

import "sync"

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
