package storer

// Entry is one key of the store with its value, as of one read.
type Entry struct {
	key     string
	value   []byte
	index   uint64
	session string
}

// NewEntry makes an entry; fakes of the store use it.
func NewEntry(key string, value []byte, index uint64, session string) Entry {
	return Entry{key: key, value: value, index: index, session: session}
}

// Key returns the key.
func (en Entry) Key() string { return en.key }

// Value returns the value; nil in results of writes, which the store does not echo.
func (en Entry) Value() []byte { return en.value }

// Index returns the index of the entry's last change, the base of a compare-and-swap.
func (en Entry) Index() uint64 { return en.index }

// Session returns the session that locks the key; empty when none does or when that session has lapsed.
func (en Entry) Session() string { return en.session }

// Listing is the answer of a List or Watch.
type Listing struct {
	entries []Entry
	index   uint64
	reset   bool
}

// NewListing makes a listing; fakes of the store use it.
func NewListing(entries []Entry, index uint64) Listing {
	return Listing{entries: entries, index: index}
}

// Entries returns the entries in the order of their keys.
func (ls Listing) Entries() []Entry { return ls.entries }

// Index returns the store's index of the listing, to pass to the next Watch.
func (ls Listing) Index() uint64 { return ls.index }

// Reset tells that the store's index went down, as after a restore from a backup. The entries may be older than those
// seen before, and the next Watch starts from index zero.
func (ls Listing) Reset() bool { return ls.reset }

// kvEntry is an entry in the store's JSON.
type kvEntry struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string
}

func (kv kvEntry) entry() Entry {
	return Entry{key: kv.Key, value: kv.Value, index: kv.ModifyIndex, session: kv.Session}
}
