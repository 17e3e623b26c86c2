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

// Get reads one key with a consistent read, never from a stale replica. It returns ErrNotFound if the key does not
// exist, or ErrUnavailable.
func (cl *Client) Get(ctx context.Context, key string) (Entry, error) {
	query := url.Values{"consistent": {""}}
	ls, err := cl.read(ctx, request{operation: OperationGet, path: keyPath + escape(key), query: query})
	if err != nil {
		return Entry{}, err
	}
	if len(ls.entries) == 0 {
		return Entry{}, ErrNotFound
	}
	return ls.entries[0], nil
}

// List reads all keys with a prefix with a consistent read, never from a stale replica. Finding no key is not an error.
func (cl *Client) List(ctx context.Context, prefix string) (Listing, error) {
	query := url.Values{"consistent": {""}, "recurse": {""}}
	return cl.read(ctx, request{operation: OperationList, path: keyPath + escape(prefix), query: query})
}

// Watch waits until a key with the prefix changes after index, but no longer than wait, and returns all keys with the
// prefix. With index zero it returns immediately. If the store's index went down, Watch lists the keys again and marks
// the listing as Reset; the caller then compares its own state with the entries and keeps the newer one by its own
// revision numbers.
func (cl *Client) Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) (Listing, error) {
	query := url.Values{"recurse": {""}}
	if index > 0 {
		query.Set("index", strconv.FormatUint(index, 10))
		query.Set("wait", wait.String())
	}
	// The store extends each wait by a jitter of up to a sixteenth.
	rq := request{operation: OperationWatch, path: keyPath + escape(prefix), query: query, wait: wait + wait/16}
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

// DeletePrefix deletes all keys with a prefix. Finding no key is not an error, so the call may be repeated after
// ErrUnknown.
func (cl *Client) DeletePrefix(ctx context.Context, prefix string) error {
	query := url.Values{"recurse": {""}}
	_, err := cl.call(ctx, request{
		operation: OperationDelete, method: http.MethodDelete, path: keyPath + escape(prefix), query: query,
	})
	return err
}

func (cl *Client) read(ctx context.Context, rq request) (Listing, error) {
	rq.method = http.MethodGet
	rp, err := cl.call(ctx, rq)
	if err != nil {
		return Listing{}, err
	}
	var kvs []kvEntry
	if err := rp.decode(&kvs); err != nil {
		return Listing{}, errors.Join(ErrUnavailable, err)
	}
	ls := Listing{entries: make([]Entry, 0, len(kvs)), index: rp.index}
	for _, kv := range kvs {
		ls.entries = append(ls.entries, kv.entry())
	}
	return ls, nil
}

// escape escapes a key for use in a URL path; slashes stay.
func escape(key string) string { return (&url.URL{Path: key}).EscapedPath() }
