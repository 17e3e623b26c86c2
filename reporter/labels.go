package reporter

import "sync"

// boundedLabels limits the number of values that a metric label takes during the life of an instance.
type boundedLabels struct {
	mu        sync.Mutex
	maxValues int
	seen      map[string]bool
}

func newBoundedLabels(maxValues int) *boundedLabels {
	return &boundedLabels{maxValues: maxValues, seen: make(map[string]bool)}
}

// limit returns the value itself if it is already in use or the limit allows one more, and otherwise
// otherOrganisation.
func (la *boundedLabels) limit(value string) string {
	la.mu.Lock()
	defer la.mu.Unlock()
	if la.seen[value] {
		return value
	}
	if len(la.seen) >= la.maxValues {
		return otherOrganisation
	}
	la.seen[value] = true
	return value
}
