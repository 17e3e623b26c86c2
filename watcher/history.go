package watcher

import "lovagebank/platform"

// maxRemoved is the maximum number of removed keys in a history.
const maxRemoved = 1024

// Changes lists the changes of a copy after a cursor.
type Changes struct {
	// Items are the current states of the keys that changed; an item that is Deleted was removed.
	Items []platform.Item
	// Whole means that Items holds all keys of the copy, because the cursor belonged to another copy or was too old.
	Whole bool
	// Cursor identifies this state of the copy. It counts up from 1 and is valid only in the process that issued it.
	Cursor uint64
	// Revision is the store revision up to which the copy was complete.
	Revision int64
}

// history numbers the changes of a copy in the order in which they were applied. That order differs from the order of the
// store's revisions, as a removal may be deferred.
type history struct {
	cursor  uint64
	cursors map[string]uint64
	removed map[string]platform.Item
	// minCursor is the oldest cursor after which the history holds all removals.
	minCursor uint64
	// changed is closed on the next change.
	changed chan struct{}
}

func newHistory() history {
	return history{
		cursor: 1, minCursor: 1,
		cursors: make(map[string]uint64), removed: make(map[string]platform.Item), changed: make(chan struct{}),
	}
}

func (hi *history) record(it platform.Item) {
	hi.cursor++
	delete(hi.removed, it.Key)
	hi.cursors[it.Key] = hi.cursor
	if it.Deleted {
		hi.removed[it.Key] = it
	}
	if len(hi.removed) > maxRemoved {
		for key := range hi.removed {
			delete(hi.cursors, key)
		}
		clear(hi.removed)
		hi.minCursor = hi.cursor
	}
	close(hi.changed)
	hi.changed = make(chan struct{})
}

// ChangesSince returns the changes after a cursor that this copy issued, or all keys if the cursor is 0.
func (wa *Watcher) ChangesSince(cursor uint64) Changes {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	hi := &wa.history
	ch := Changes{Whole: cursor < hi.minCursor || cursor > hi.cursor, Cursor: hi.cursor, Revision: wa.revision}
	for key, it := range wa.items {
		if ch.Whole || hi.cursors[key] > cursor {
			ch.Items = append(ch.Items, it)
		}
	}
	for key, it := range hi.removed {
		if !ch.Whole && hi.cursors[key] > cursor {
			ch.Items = append(ch.Items, it)
		}
	}
	return ch
}

// Changed returns a channel that is closed once the copy has changed after a cursor.
func (wa *Watcher) Changed(cursor uint64) <-chan struct{} {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if wa.history.cursor == cursor {
		return wa.history.changed
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// ApplyChanges applies the changes of a peer's copy. It returns false and changes nothing if the peer sent its whole copy and
// that copy is behind this one. Keys that the peer's copy lacks are removed without delay, because the peer has already
// deferred their removal where necessary.
func (wa *Watcher) ApplyChanges(ch Changes) bool {
	if ch.Whole {
		if ch.Revision < wa.Revision() {
			return false
		}
		wa.applyListing(platform.Page{Items: ch.Items, Revision: ch.Revision}, true)
		return true
	}
	for _, it := range ch.Items {
		wa.apply(it, true)
	}
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.revision = max(wa.revision, ch.Revision)
	return true
}
