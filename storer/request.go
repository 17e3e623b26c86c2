package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// maxResponseBytes is the maximum size of a response; the rest is not read.
	maxResponseBytes = 64 << 20
	// maxMessageBytes is the maximum length of the part of a response body that an error message quotes.
	maxMessageBytes = 200
	indexHeader     = "X-Consul-Index"
)

// request is an HTTP request to the store.
type request struct {
	operation Operation
	method    string
	path      string
	query     url.Values
	body      []byte
	// wait is the maximum time that the store holds a blocking query open.
	wait time.Duration
}

func (rq request) writes() bool { return rq.method != http.MethodGet }

// returnsList reports whether the request returns a list, so that finding no key is an empty result and not an error.
func (rq request) returnsList() bool {
	return rq.operation == OperationList || rq.operation == OperationWatch
}

// response is a response of the store with status 200.
type response struct {
	index uint64
	body  []byte
}

func (rp *response) decode(into any) error {
	if err := json.Unmarshal(rp.body, into); err != nil {
		return fmt.Errorf("store's answer: %w", err)
	}
	return nil
}

func baseURL(address string) string {
	address = strings.TrimSuffix(address, "/")
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

func (cl *Client) send(ctx context.Context, rq request) (*response, error) {
	// A request without a connection cannot have been sent, regardless of the error.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	hrq, err := http.NewRequestWithContext(ctx, rq.method, cl.base+rq.path+"?"+rq.query.Encode(), bytes.NewReader(rq.body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	resp, err := cl.http.Do(hrq)
	if err != nil {
		return nil, connectionError(rq, connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, connectionError(rq, true, err)
	}
	if resp.StatusCode == http.StatusNotFound && rq.returnsList() {
		resp.StatusCode, body = http.StatusOK, []byte("[]")
	}
	if err := statusError(rq, resp.StatusCode, body); err != nil {
		return nil, err
	}
	index, _ := strconv.ParseUint(resp.Header.Get(indexHeader), 10, 64)
	return &response{index: index, body: body}, nil
}

// connectionError returns the error of a request that got no complete response.
func connectionError(rq request, sent bool, cause error) error {
	if sent && rq.writes() {
		return fmt.Errorf("%s: %w: %w", rq.operation, ErrUnknown, cause)
	}
	return fmt.Errorf("%s: %w: %w", rq.operation, ErrUnavailable, cause)
}

// statusError returns the error for a response status, or nil for status 200.
func statusError(rq request, status int, body []byte) error {
	kind := ErrRefused
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict && rq.operation == OperationTransact:
		return conflictOf(body)
	case status == http.StatusNotFound:
		kind = ErrNotFound
	case status == http.StatusTooManyRequests:
		kind = ErrUnavailable
	case status >= http.StatusInternalServerError && rq.writes():
		kind = ErrUnknown
	case status >= http.StatusInternalServerError:
		kind = ErrUnavailable
	}
	return fmt.Errorf("%s: %w: status %d: %s", rq.operation, kind, status, body[:min(len(body), maxMessageBytes)])
}

// retryable reports whether a call may be sent again: it had no effect and another attempt may succeed.
func retryable(err error) bool {
	return errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrOverBudget)
}
