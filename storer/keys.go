package storer

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const keyPath = "/v1/kv/"

// Get reads one key, never from a stale replica. It returns ErrNotFound or ErrUnavailable.
func (cl *Client) Get(ctx context.Context, key string) (Entry, error) {
	query := url.Values{"consistent": {""}}
	ls, err := cl.read(ctx, call{operation: OperationGet, path: keyPath + escape(key), query: query})
	if err != nil {
		return Entry{}, err
	}
	if len(ls.entries) == 0 {
		return Entry{}, ErrNotFound
	}
	return ls.entries[0], nil
}

// List reads all keys with a prefix, never from a stale replica. No key is no error.
func (cl *Client) List(ctx context.Context, prefix string) (Listing, error) {
	query := url.Values{"consistent": {""}, "recurse": {""}}
	return cl.read(ctx, call{operation: OperationList, path: keyPath + escape(prefix), query: query})
}

// Watch waits until a key with the prefix changes after index, at most for wait, and returns all keys with the prefix.
// Index zero returns at once. When the store's index goes down the listing is read afresh and marked as Reset; the
// caller compares what it holds with the entries and keeps whichever is newer by its own revision.
func (cl *Client) Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) (Listing, error) {
	query := url.Values{"recurse": {""}}
	if index > 0 {
		query.Set("index", strconv.FormatUint(index, 10))
		query.Set("wait", wait.String())
	}
	// The store spreads the ends of waits by up to a sixteenth.
	rq := call{operation: OperationWatch, path: keyPath + escape(prefix), query: query, wait: wait + wait/16}
	ls, err := cl.read(ctx, rq)
	if err != nil || ls.index >= index {
		return ls, err
	}
	ls, err = cl.List(ctx, prefix)
	if err == nil && ls.index < index {
		ls.index, ls.reset = 0, true
	}
	return ls, err
}

// DeletePrefix deletes all keys with a prefix. Deleting none is no error, so it may be repeated after ErrUnknown.
func (cl *Client) DeletePrefix(ctx context.Context, prefix string) error {
	query := url.Values{"recurse": {""}}
	_, err := cl.call(ctx, call{
		operation: OperationDelete, method: http.MethodDelete, path: keyPath + escape(prefix), query: query,
	})
	return err
}

func (cl *Client) read(ctx context.Context, rq call) (Listing, error) {
	rq.method = http.MethodGet
	an, err := cl.call(ctx, rq)
	if err != nil {
		return Listing{}, err
	}
	var kvs []kvEntry
	if err := an.decode(&kvs); err != nil {
		return Listing{}, errors.Join(ErrUnavailable, err)
	}
	ls := Listing{entries: make([]Entry, 0, len(kvs)), index: an.index}
	for _, kv := range kvs {
		ls.entries = append(ls.entries, kv.entry())
	}
	return ls, nil
}

// escape quotes a key for a path; slashes stay.
func escape(key string) string { return (&url.URL{Path: key}).EscapedPath() }
