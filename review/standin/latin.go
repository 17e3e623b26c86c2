//go:build review

package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// cutLasts is how long the machine is partitioned from the workers, and cutContact is bounds.contactMs.
	cutLasts   = 11 * time.Second
	cutContact = 3 * time.Second
	// latinHeader is a header of the requests: a name in ISO 8859-1, where á is the byte 0xE1.
	latinHeader = "X-Dealer: Cob\xe1n"
	asciiHeader = "X-Dealer: Coban"
)

// link is the path from one machine to a worker. It can be cut: open connections are reset and new ones refused.
type link struct {
	listen string
	to     string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newLink(to string) (*link, error) {
	li := &link{to: to, listen: "127.0.0.1:0", conns: make(map[net.Conn]bool)}
	return li, li.open()
}

func (li *link) open() error {
	listener, err := net.Listen("tcp4", li.listen)
	if err != nil {
		return err
	}
	li.mu.Lock()
	li.listener, li.listen = listener, listener.Addr().String()
	li.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go li.pass(conn)
		}
	}()
	return nil
}

func (li *link) pass(conn net.Conn) {
	other, err := net.DialTimeout("tcp4", li.to, time.Second)
	if err != nil {
		_ = conn.Close()
		return
	}
	li.mu.Lock()
	li.conns[conn], li.conns[other] = true, true
	li.mu.Unlock()
	go func() {
		_, _ = io.Copy(other, conn)
		_ = other.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(conn, other)
	_ = conn.Close()
	_ = other.Close()
	li.mu.Lock()
	delete(li.conns, conn)
	delete(li.conns, other)
	li.mu.Unlock()
}

func (li *link) cut() {
	li.mu.Lock()
	defer li.mu.Unlock()
	_ = li.listener.Close()
	for conn := range li.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// linkedView is the store as one machine sees it: the entries of workers name the machine's links to them.
type linkedView struct {
	next  http.Handler
	links map[string]*link
}

func (lv *linkedView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	lv.next.ServeHTTP(answer, r)
	body := answer.Body.Bytes()
	var page map[string]any
	if strings.HasPrefix(r.URL.Path, "/-/kv-") && json.Unmarshal(body, &page) == nil {
		for _, list := range []string{"items", "events"} {
			items, _ := page[list].([]any)
			for _, it := range items {
				lv.rewrite(it.(map[string]any))
			}
		}
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	if page != nil && (page["items"] != nil || page["events"] != nil) {
		body, _ = json.Marshal(page)
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(body)
}

func (lv *linkedView) rewrite(it map[string]any) {
	key, _ := it["key"].(string)
	value, ok := it["value"].(string)
	li := lv.links[strings.TrimPrefix(key, "servers/")]
	if !ok || li == nil {
		return
	}
	var entry map[string]any
	text, err := base64.StdEncoding.DecodeString(value)
	if err != nil || json.Unmarshal(text, &entry) != nil {
		return
	}
	entry["addr"] = li.listen
	text, _ = json.Marshal(entry)
	it["value"] = base64.StdEncoding.EncodeToString(text)
}

// latin partitions one machine from all workers while requests carry a header in ISO 8859-1.
func latin(wo *world, trouble bool) (int, error) {
	zones := []string{"gt-central-a", "gt-central-b", "gt-central-c"}
	links := make(map[string]*link)
	var workers []*worker
	for number := range 6 {
		wk, err := wo.addWorker(fmt.Sprintf("i-bodega%d", number), "bodega", zones[number%3], 6, false, 60*time.Millisecond)
		if err != nil {
			return 0, err
		}
		if os.Getenv("HEADER") == "answer" {
			wk.dealer = strings.TrimPrefix(latinHeader, "X-Dealer: ")
		}
		workers = append(workers, wk)
		if links[wk.id], err = newLink(wk.address); err != nil {
			return 0, err
		}
	}
	if err := wo.configure(1); err != nil {
		return 0, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	view := &http.Server{Handler: &linkedView{next: wo.store, links: links}}
	go func() { _ = view.Serve(listener) }()
	wo.closers = append(wo.closers, func() { _ = view.Close() })
	wo.views = map[string]string{zones[0]: listener.Addr().String()}
	if err := wo.addEntries(map[string]int{zones[0]: 1, zones[1]: 1, zones[2]: 1}, zones...); err != nil {
		return 0, err
	}
	header := latinHeader
	// HEADER=ascii sends it in ASCII; HEADER=answer does too, and has the workers send it in ISO 8859-1 in their answers.
	if os.Getenv("HEADER") != "" {
		header = asciiHeader
	}
	stop := make(chan struct{})
	var cutAt atomic.Int64
	var mu sync.Mutex
	counts := make(map[string]map[string]int)
	var sending sync.WaitGroup
	for _, en := range wo.entries {
		sending.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				sending.Go(func() {
					judged := cutAt.Load() > 0 && time.Since(time.UnixMilli(cutAt.Load())) > cutContact
					result := orderWithHeader(en.front, fmt.Sprintf("%s%08x", en.name[len(en.name)-1:], number), header)
					mu.Lock()
					defer mu.Unlock()
					when := "before"
					if judged {
						when = "judged"
					}
					if counts[en.name+" "+when] == nil {
						counts[en.name+" "+when] = make(map[string]int)
					}
					counts[en.name+" "+when][result]++
				})
			}
		})
	}
	time.Sleep(5 * time.Second)
	cutAt.Store(time.Now().UnixMilli())
	if trouble {
		for _, li := range links {
			li.cut()
		}
		wo.record.line("%s is partitioned from all workers", wo.entries[0].name)
	}
	time.Sleep(cutLasts)
	close(stop)
	sending.Wait()
	served, all := make(map[bool]int), make(map[bool]int)
	for _, en := range wo.entries {
		for _, when := range []string{"before", "judged"} {
			wo.record.line("first tries at %s, %s: %v", en.name, when, counts[en.name+" "+when])
		}
		for result, count := range counts[en.name+" judged"] {
			all[en == wo.entries[0]] += count
			if result == "200" {
				served[en == wo.entries[0]] += count
			}
		}
	}
	ran := 0
	for _, wk := range workers {
		ran += len(wk.all())
	}
	failed := all[true] - served[true]
	cutShare, otherShare := float64(served[true])/float64(max(all[true], 1)), float64(served[false])/float64(max(all[false], 1))
	wo.record.line("workers ran %d requests; judged: at the machine that is cut %.2f are served, at the others %.2f; %d failed there", ran, cutShare,
		otherShare, failed)
	if cutShare < otherShare*2/3 && float64(failed) > 10+float64(all[true]+all[false])/50 {
		return broken, nil
	}
	return held, nil
}

// orderWithHeader sends an unsafe request with a further header on a new connection and returns how it was answered.
func orderWithHeader(address, id, header string) string {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /order/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n%s\r\nX-Api-Key: %s\r\n"+
		"Content-Length: 2\r\n\r\nhi", host, id, header, apiKey)
	if err != nil {
		return "not sent"
	}
	rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	_ = rs.Body.Close()
	return strconv.Itoa(rs.StatusCode)
}
