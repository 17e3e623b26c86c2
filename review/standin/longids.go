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
	longIDStreams = 17500
	longIDLength  = 15500
	longIDClients = 24
)

// longIDs sends streams whose Request-Id is long but within the limit of headers, and watches the memory of the instance.
func longIDs(wo *world, trouble bool) (int, error) {
	for number := range 4 {
		if _, err := wo.addWorker(fmt.Sprintf("i-engine%d", number), "asesor", "gt-central-a", 64, true, 0); err != nil {
			return 0, err
		}
	}
	if err := wo.configure(1); err != nil {
		return 0, err
	}
	if err := wo.addEntries(map[string]int{"gt-central-a": 2, "gt-central-b": 1}, "gt-central-a", "gt-central-b"); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	en, length := wo.entries[0], longIDLength
	if !trouble {
		length = 16
	}
	wo.record.line("memory of %s before: %d MB; limit %d MB; Request-Id of %d bytes", en.name, en.residentBytes()>>20, memoryMB, length)
	var next, served, other atomic.Int64
	var tasks sync.WaitGroup
	stop := make(chan struct{})
	for range longIDClients {
		tasks.Go(func() { sendStreams(en.front, length, &next, &served, &other, stop) })
	}
	done := make(chan struct{})
	go func() {
		tasks.Wait()
		close(done)
	}()
	code := held
	limit := time.After(85 * time.Second)
	var most int64
	lastLine := time.Now()
	for code == held {
		select {
		case <-done:
			wo.record.line("all sent: %d served, %d others; memory at most %d MB", served.Load(), other.Load(), most>>20)
			time.Sleep(time.Second)
			wo.record.line("memory a second later: %d MB", en.residentBytes()>>20)
			return code, nil
		case <-limit:
			close(stop)
			<-done
			wo.record.line("time is up: %d served, %d others; memory at most %d MB", served.Load(), other.Load(), most>>20)
			return code, nil
		case <-en.exited:
			wo.record.line("the process of %s has ended by itself after %d streams", en.name, served.Load())
			code = broken
		case <-time.After(50 * time.Millisecond):
		}
		bytes := en.residentBytes()
		most = max(most, bytes)
		if time.Since(lastLine) > 2*time.Second {
			lastLine = time.Now()
			wo.record.line("%d streams served, %d others: memory %d MB", served.Load(), other.Load(), bytes>>20)
		}
		if bytes > memoryMB<<20 {
			wo.record.line("memory %d MB is over the limit of %d MB after %d streams (%d others): the machine kills the process", bytes>>20, memoryMB,
				served.Load(), other.Load())
			code = broken
		}
	}
	close(stop)
	<-done
	return code, nil
}

// sendStreams sends streams one after the other on a kept connection and reads their answers to the end.
func sendStreams(address string, length int, next, served, other *atomic.Int64, stop chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for {
		select {
		case <-stop:
			return
		default:
		}
		number := next.Add(1)
		if number > longIDStreams {
			return
		}
		if conn == nil {
			opened, err := net.DialTimeout("tcp4", address, time.Second)
			if err != nil {
				other.Add(1)
				time.Sleep(20 * time.Millisecond)
				continue
			}
			conn, reader = opened, bufio.NewReaderSize(opened, 32<<10)
		}
		id := fmt.Sprintf("%016x", number)
		id += strings.Repeat("f", length-len(id))
		_ = conn.SetDeadline(time.Now().Add(7 * time.Second))
		_, err := fmt.Fprintf(conn, "POST /queued/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel-Name: base\r\nToken-Counts: 1,1\r\n"+
			"Prompt-Prefix: 5c1e07a2:1\r\nDeadline-Ms: 6000\r\nX-Api-Key: %s\r\nContent-Length: 2\r\n\r\nhi", host, id, apiKey)
		ok := false
		if err == nil {
			var rs *http.Response
			if rs, err = http.ReadResponse(reader, nil); err == nil {
				_, err = io.Copy(io.Discard, rs.Body)
				ok = rs.StatusCode == http.StatusOK && err == nil
			}
		}
		if ok {
			served.Add(1)
		} else {
			other.Add(1)
		}
		if err != nil {
			_ = conn.Close()
			conn = nil
		}
	}
}
