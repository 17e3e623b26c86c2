package placer

import "time"

const (
	firstBackoff = time.Second
	maxBackoff   = time.Minute
	// backoffSweepSize is the number of entries from which expired ones are dropped.
	backoffSweepSize = 1024
)

type backoffKey struct {
	target  string
	adapter adapterKey
}

type backoffEntry struct {
	failures int
	until    time.Time
}

// backoffs keeps adapters away from targets that failed to load them, for a time that doubles with each failure up to
// maxBackoff.
type backoffs struct {
	entries map[backoffKey]backoffEntry
}

func newBackoffs() backoffs { return backoffs{entries: map[backoffKey]backoffEntry{}} }

func (bo *backoffs) recordFailure(key backoffKey, now time.Time) {
	if len(bo.entries) >= backoffSweepSize {
		for old, entry := range bo.entries {
			if now.After(entry.until.Add(maxBackoff)) {
				delete(bo.entries, old)
			}
		}
	}
	entry := bo.entries[key]
	if now.Before(entry.until) {
		return
	}
	entry.until = now.Add(min(firstBackoff<<min(entry.failures, 8), maxBackoff))
	entry.failures++
	bo.entries[key] = entry
}

func (bo *backoffs) clear(key backoffKey) {
	if len(bo.entries) > 0 {
		delete(bo.entries, key)
	}
}

func (bo *backoffs) active(key backoffKey, now time.Time) bool {
	if len(bo.entries) == 0 {
		return false
	}
	return now.Before(bo.entries[key].until)
}
