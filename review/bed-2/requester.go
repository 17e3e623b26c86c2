//go:build review2

package bed

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// Answer is what a requester has seen of a request.
type Answer struct {
	ID     string
	Status int
	Body   string
	Seal   string
	Header http.Header
	Err    error
	SentAt time.Time
	Took   time.Duration
}

// NewID returns an ID for a requester attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// NewClient returns a requester's connections.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}
}

// Ask sends a request to a machine and waits for its answer.
func (in *Instance) Ask(client *http.Client, method, path, id, body string, deadline time.Duration, header map[string]string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+in.Front()+path, reader)
	if err != nil {
		return Answer{ID: id, Err: err}
	}
	rq.Host = Host
	rq.Header.Set("Request-Id", id)
	rq.Header.Set("X-Api-Key", Key)
	rq.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		rq.Header.Set(name, value)
	}
	an := Answer{ID: id, SentAt: time.Now()}
	rs, err := client.Do(rq)
	if err != nil {
		an.Err, an.Took = err, time.Since(an.SentAt)
		return an
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(rs.Body)
	an.Status, an.Body, an.Seal, an.Header, an.Err = rs.StatusCode, string(text), rs.Header.Get("Response-Seal"), rs.Header, err
	an.Took = time.Since(an.SentAt)
	return an
}
