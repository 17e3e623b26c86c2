package watcher

import (
	"time"

	"lovagebank/platform"
)

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
	// Revision is the store revision up to which the copy was complete, but for the deferred removals.
	Revision int64
	// Deferred holds all removals up to the revision that the copy defers. Their keys are still among its items.
	Deferred []DeferredRemoval
}

// DeferredRemoval is a removal of a key that a copy defers.
type DeferredRemoval struct {
	Item platform.Item
	// Left is how much longer it is deferred.
	Left time.Duration
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
	hi.wake()
}

// deferred counts a removal that has been deferred as a change, so that followers hear of it.
func (hi *history) deferred() {
	hi.cursor++
	hi.wake()
}

func (hi *history) wake() {
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
	for _, dr := range wa.deferredRemovals {
		ch.Deferred = append(ch.Deferred, DeferredRemoval{Item: dr.item, Left: time.Until(dr.until)})
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

// ApplyChanges applies the changes of a peer's copy. It returns false and changes nothing if the peer sent its whole copy
// and that copy is behind this one. Keys that the peer's copy lacks are removed without delay, because the peer has
// already deferred their removal where necessary. Removals that it still defers are deferred here too: this copy may pass
// their revisions without having received them.
func (wa *Watcher) ApplyChanges(ch Changes) bool {
	switch {
	case ch.Whole && ch.Revision < wa.Revision():
		return false
	case ch.Whole:
		wa.applyAll(platform.Page{Items: ch.Items, Revision: ch.Revision}, source{complete: ch.Revision, certain: true})
	default:
		for _, it := range ch.Items {
			wa.apply(it, source{certain: true})
		}
	}
	// The deferred removals come before the revision: whoever fetches this copy has to be told of them with it.
	for _, dr := range ch.Deferred {
		wa.deferPeerRemoval(dr.Item, dr.Left)
	}
	wa.completeTo(ch.Revision, ch.Whole)
	if ch.Whole {
		wa.op.Listed()
	}
	return true
}
