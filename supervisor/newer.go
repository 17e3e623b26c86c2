package supervisor

import (
	"strings"
	"sync"

	"lovagebank/platform"
)

// Places of the watchers.
const (
	operatorWatcher = iota
	targetWatcher
)

// newer keeps the revisions of the store that peers tell.
type newer struct {
	mu        sync.Mutex
	revisions map[string]int64
}

func (ne *newer) note(peer string, revision int64) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.revisions == nil {
		ne.revisions = make(map[string]int64)
	}
	ne.revisions[peer] = revision
}

// best returns the peer that knows most, if it knows more than a revision.
func (ne *newer) best(revision int64) (string, bool) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	found := ""
	for peer, known := range ne.revisions {
		if known > revision {
			found, revision = peer, known
		}
	}
	return found, found != ""
}

func splitItems(items []platform.Item) (operator, targets []platform.Item) {
	for _, it := range items {
		if strings.HasPrefix(it.Key, platform.OperatorPrefix) {
			operator = append(operator, it)
		} else {
			targets = append(targets, it)
		}
	}
	return operator, targets
}
