package watcher

import "lovagebank/platform"

// maxGone bounds the removed keys that a history remembers.
const maxGone = 1024

// Changes are what changed in a copy after a mark.
type Changes struct {
	// Items are the keys that changed, as they are now; one that is Deleted is gone.
	Items []platform.Item
	// Whole tells that Items are all keys that there are, as the mark was of another copy or too old.
	Whole bool
	// Cursor names this state of the copy. It counts up from 1 and means nothing to another process.
	Cursor uint64
	// Revision is the store's revision up to which the copy was complete.
	Revision int64
}

// history numbers the changes of a copy in the order in which they were taken in, which is not that of the store's
// revisions: a removal may wait.
type history struct {
	mark  uint64
	marks map[string]uint64
	gone  map[string]platform.Item
	// floor is the oldest mark whose later removals are all known.
	floor uint64
	// news is closed at the next change.
	news chan struct{}
}

func newHistory() history {
	return history{mark: 1, floor: 1, marks: make(map[string]uint64), gone: make(map[string]platform.Item), news: make(chan struct{})}
}

func (hi *history) note(it platform.Item) {
	hi.mark++
	delete(hi.gone, it.Key)
	hi.marks[it.Key] = hi.mark
	if it.Deleted {
		hi.gone[it.Key] = it
	}
	if len(hi.gone) > maxGone {
		for key := range hi.gone {
			delete(hi.marks, key)
		}
		clear(hi.gone)
		hi.floor = hi.mark
	}
	close(hi.news)
	hi.news = make(chan struct{})
}

// ChangesSince returns what changed after a mark that this copy gave out; with the mark 0 all keys.
func (wa *Watcher) ChangesSince(mark uint64) Changes {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	hi := &wa.history
	ch := Changes{Whole: mark < hi.floor || mark > hi.mark, Cursor: hi.mark, Revision: wa.revision}
	for key, it := range wa.items {
		if ch.Whole || hi.marks[key] > mark {
			ch.Items = append(ch.Items, it)
		}
	}
	for key, it := range hi.gone {
		if !ch.Whole && hi.marks[key] > mark {
			ch.Items = append(ch.Items, it)
		}
	}
	return ch
}

// Changed is closed when the copy has changed after a mark.
func (wa *Watcher) Changed(mark uint64) <-chan struct{} {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if wa.history.mark == mark {
		return wa.history.news
	}
	there := make(chan struct{})
	close(there)
	return there
}

// ApplyChanges takes in what changed in a peer's copy. It is false when the peer sent its whole copy and that is behind this
// one, which changes nothing then. What the peer's copy lacks is gone: the peer has waited where that was due.
func (wa *Watcher) ApplyChanges(ch Changes) bool {
	if ch.Whole {
		if ch.Revision < wa.Revision() {
			return false
		}
		wa.takeListing(platform.Page{Items: ch.Items, Revision: ch.Revision}, true)
		return true
	}
	for _, it := range ch.Items {
		wa.take(it, true)
	}
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.revision = max(wa.revision, ch.Revision)
	return true
}
