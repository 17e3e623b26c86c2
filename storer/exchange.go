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
	// maxAnswerBytes bounds what is read of one answer.
	maxAnswerBytes = 64 << 20
	// maxMessageBytes bounds what an error repeats of an answer.
	maxMessageBytes = 200
	indexHeader     = "X-Consul-Index"
)

// call is one request to the store.
type call struct {
	operation Operation
	method    string
	path      string
	query     url.Values
	body      []byte
	// wait is the time that the store may hold the call open.
	wait time.Duration
}

func (rq call) writes() bool { return rq.method != http.MethodGet }

// recursive tells whether finding no key is an empty answer and no error.
func (rq call) recursive() bool {
	return rq.operation == OperationList || rq.operation == OperationWatch
}

// answer is an answer of status 200.
type answer struct {
	index uint64
	body  []byte
}

func (an *answer) decode(into any) error {
	if err := json.Unmarshal(an.body, into); err != nil {
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

func (cl *Client) send(ctx context.Context, rq call) (*answer, error) {
	// A request that got no connection can't have been sent, whatever the error.
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
		return nil, lost(rq, connected.Load(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, lost(rq, true, err)
	}
	if resp.StatusCode == http.StatusNotFound && rq.recursive() {
		resp.StatusCode, body = http.StatusOK, []byte("[]")
	}
	if err := judge(rq, resp.StatusCode, body); err != nil {
		return nil, err
	}
	index, _ := strconv.ParseUint(resp.Header.Get(indexHeader), 10, 64)
	return &answer{index: index, body: body}, nil
}

// lost is the error of a call that got no whole answer.
func lost(rq call, sent bool, cause error) error {
	if sent && rq.writes() {
		return fmt.Errorf("%s: %w: %w", rq.operation, ErrUnknown, cause)
	}
	return fmt.Errorf("%s: %w: %w", rq.operation, ErrUnavailable, cause)
}

// judge returns the error that a status stands for.
func judge(rq call, status int, body []byte) error {
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

// repeatable tells whether a call may be sent again: it took no effect, and another attempt may fare better.
func repeatable(err error) bool {
	return errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrOverBudget)
}
