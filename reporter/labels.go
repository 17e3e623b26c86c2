package reporter

import "sync"

// labels bounds the values that a label takes over an instance's life.
type labels struct {
	mu   sync.Mutex
	most int
	seen map[string]bool
}

func newLabels(most int) *labels { return &labels{most: most, seen: make(map[string]bool)} }

// bound returns the value itself while there is room for it, and a common one afterwards.
func (la *labels) bound(value string) string {
	la.mu.Lock()
	defer la.mu.Unlock()
	if la.seen[value] {
		return value
	}
	if len(la.seen) >= la.most {
		return otherOrganisation
	}
	la.seen[value] = true
	return value
}
