package storer

// Entry is a key of the store with its value at the time of a read.
type Entry struct {
	key     string
	value   []byte
	index   uint64
	session string
}

// NewEntry returns an entry; fakes of the store use it.
func NewEntry(key string, value []byte, index uint64, session string) Entry {
	return Entry{key: key, value: value, index: index, session: session}
}

// Key returns the key.
func (en Entry) Key() string { return en.key }

// Value returns the value. It is nil in the result of a write because the store does not echo it.
func (en Entry) Value() []byte { return en.value }

// Index returns the store's index of the entry's last change, which a compare-and-swap compares.
func (en Entry) Index() uint64 { return en.index }

// Session returns the session that locks the key; empty if no session does or if that session has expired.
func (en Entry) Session() string { return en.session }

// Listing is the result of a List or Watch.
type Listing struct {
	entries []Entry
	index   uint64
	reset   bool
}

// NewListing returns a listing; fakes of the store use it.
func NewListing(entries []Entry, index uint64) Listing {
	return Listing{entries: entries, index: index}
}

// Entries returns the entries, sorted by key.
func (ls Listing) Entries() []Entry { return ls.entries }

// Index returns the store's index of the listing, which the next Watch takes.
func (ls Listing) Index() uint64 { return ls.index }

// Reset reports whether the store's index went down, for example after a restore from a backup. The entries may then be
// older than those of earlier listings, and the next Watch starts from index zero.
func (ls Listing) Reset() bool { return ls.reset }

// kvEntry is the store's JSON form of an entry.
type kvEntry struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string
}

func (kv kvEntry) entry() Entry {
	return Entry{key: kv.Key, value: kv.Value, index: kv.ModifyIndex, session: kv.Session}
}
