package supervisor

import "sync"

// silent are the peers that did not answer, so that losing and regaining one is logged once.
type silent struct {
	mu    sync.Mutex
	peers map[string]bool
}

// lose notes that a peer did not answer; it is true the first time.
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

// regain notes that a peer was heard; it is true if it was lost before.
func (si *silent) regain(peer string) bool {
	si.mu.Lock()
	defer si.mu.Unlock()
	was := si.peers[peer]
	delete(si.peers, peer)
	return was
}
