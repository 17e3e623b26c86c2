package supervisor

import "sync"

// silentPeers are the peers that did not answer. The record keeps each loss and each return from being logged twice.
type silent struct {
	mu    sync.Mutex
	peers map[string]bool
}

// add records that a peer did not answer, and reports whether it was not silent before.
func (si *silent) lose(peer string) bool {
	si.mu.Lock()
	defer si.mu.Unlock()
	if si.peers == nil {
		si.peers = make(map[string]bool)
	}
	first := !si.peers[peer]
	si.peers[peer] = true
	return first
}

// remove records an update from a peer, or its removal, and reports whether it was silent before.
func (si *silent) regain(peer string) bool {
	si.mu.Lock()
	defer si.mu.Unlock()
	was := si.peers[peer]
	delete(si.peers, peer)
	return was
}
