package supervisor

import "sync"

// silentPeers are the peers that did not answer. The record keeps each loss and each return from being logged twice.
type silentPeers struct {
	mu    sync.Mutex
	peers map[string]bool
}

// add records that a peer did not answer, and reports whether it was not silent before.
func (sp *silentPeers) add(peer string) bool {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if sp.peers == nil {
		sp.peers = make(map[string]bool)
	}
	first := !sp.peers[peer]
	sp.peers[peer] = true
	return first
}

// remove records an update from a peer, or its removal, and reports whether it was silent before.
func (sp *silentPeers) remove(peer string) bool {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	wasSilent := sp.peers[peer]
	delete(sp.peers, peer)
	return wasSilent
}

// contains reports whether a peer did not answer lately.
func (sp *silentPeers) contains(peer string) bool {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	return sp.peers[peer]
}
