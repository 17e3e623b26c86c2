//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// partClients is the number of requesters, each with one connection and one request at a time, and partRounds how often each asks.
	partClients = 600
	partRounds  = 8
	// partCount is the number of parts of a prompt: the header stays inside 16,384 bytes.
	partCount = 3900
	// partStream is how long a stream lasts.
	partStream = 3500 * time.Millisecond
	// stalledClients send bodies of stalledBytes that stop short of their end and stay open.
	stalledClients = 24
	stalledBytes   = 1 << 20
)

// partBody is the body of each request: a prompt of ordinary length.
var partBody = strings.Repeat("a dealer asks ", 3000)

// manyParts sends streams whose prompts have very many short parts, and watches the memory of the instance.
func manyParts(wo *world, trouble bool) (int, error) {
	for number := range 12 {
		wk, err := wo.addWorker(fmt.Sprintf("i-engine%d", number), "asesor", "gt-central-"+string(rune('a'+number%3)), 64, true, 0)
		if err != nil {
			return 0, err
		}
		wk.stream, wk.queue = partStream, 192
	}
	if err := wo.configure(1); err != nil {
		return 0, err
	}
	zones := []string{"gt-central-a", "gt-central-b", "gt-central-c"}
	if err := wo.addEntries(map[string]int{zones[0]: 1, zones[1]: 1, zones[2]: 1}, zones...); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	en := wo.entries[0]
	// Both have the same number of bytes: many short parts, or one part with a long name.
	prefix := strings.TrimSuffix(strings.Repeat("1:1,", partCount), ",")
	if !trouble {
		prefix = strings.Repeat("1", len(prefix)-5) + ":3900"
	}
	wo.record.line("memory of %s before: %d MB; limit %d MB; Prompt-Prefix of %d bytes with %d parts", en.name, en.residentBytes()>>20, memoryMB,
		len(prefix), strings.Count(prefix, ":"))
	var served, other atomic.Int64
	var tasks sync.WaitGroup
	for number := range partClients {
		tasks.Go(func() {
			for round := range partRounds {
				if askWithParts(en.front, fmt.Sprintf("%08x%08x", number, round), prefix) {
					served.Add(1)
				} else {
					other.Add(1)
				}
			}
		})
	}
	stop := make(chan struct{})
	defer close(stop)
	for number := range stalledClients {
		go sendStalled(en.front, number, stop)
	}
	done := make(chan struct{})
	go func() {
		tasks.Wait()
		close(done)
	}()
	code, most, lastLine := held, int64(0), time.Now()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-en.exited:
			wo.record.line("the process of %s has ended by itself", en.name)
			return broken, nil
		case <-time.After(20 * time.Millisecond):
		}
		bytes := en.residentBytes()
		most = max(most, bytes)
		if time.Since(lastLine) > time.Second {
			lastLine = time.Now()
			wo.record.line("%d streams served, %d others: memory %d MB", served.Load(), other.Load(), bytes>>20)
		}
		if bytes > memoryMB<<20 && code == held {
			wo.record.line("memory %d MB is over the limit of %d MB with %d requesters: the machine kills the process", bytes>>20, memoryMB, partClients)
			code = broken
		}
	}
	wo.record.line("%d streams served, %d others; memory at most %d MB", served.Load(), other.Load(), most>>20)
	return code, nil
}

// askWithParts sends one stream request and reads its answer to the end.
func askWithParts(address, id, prefix string) bool {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		time.Sleep(500 * time.Millisecond)
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(7 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /ask/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel-Name: base\r\nToken-Counts: 1,14\r\n"+
		"Prompt-Prefix: %s\r\nDeadline-Ms: 5000\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n%s", host, id, prefix, apiKey, len(partBody), partBody)
	if err != nil {
		return false
	}
	rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer func() { _ = rs.Body.Close() }()
	_, err = io.Copy(io.Discard, rs.Body)
	return rs.StatusCode == http.StatusOK && err == nil
}

// sendStalled sends bodies of legal size that stop just short of their end, one after the other.
func sendStalled(address string, number int, stop chan struct{}) {
	body := make([]byte, stalledBytes-1)
	for round := 0; ; round++ {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_, _ = fmt.Fprintf(conn, "POST /order/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: cc%06x%08x\r\nDeadline-Ms: 3000\r\nX-Api-Key: %s\r\n"+
			"Content-Length: %d\r\n\r\n", host, number, round, apiKey, stalledBytes)
		_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
		_, _ = conn.Write(body)
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		time.Sleep(100 * time.Millisecond)
	}
}
