//go:build review3

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"lovagebank/wire"
)

// link is a proxy on the way to an address. A cut resets its connections and refuses new ones.
type link struct {
	to      string
	address string

	mu       sync.Mutex
	listener net.Listener
	cut      bool
	open     map[net.Conn]bool
}

func newLink(ip, to string) *link {
	listener, err := net.Listen("tcp4", ip+":0")
	must(err)
	li := &link{to: to, address: listener.Addr().String(), listener: listener, open: make(map[net.Conn]bool)}
	go li.accept(listener)
	return li
}

func (li *link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go li.pass(conn)
	}
}

// pass passes bytes both ways until either side ends.
func (li *link) pass(conn net.Conn) {
	other, err := net.DialTimeout("tcp4", li.to, time.Second)
	if err != nil {
		reset(conn)
		return
	}
	li.mu.Lock()
	cut := li.cut
	if !cut {
		li.open[conn], li.open[other] = true, true
	}
	li.mu.Unlock()
	if cut {
		reset(conn)
		reset(other)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { copyTo(other, conn) })
	both.Go(func() { copyTo(conn, other) })
	both.Wait()
	_ = conn.Close()
	_ = other.Close()
	li.mu.Lock()
	delete(li.open, conn)
	delete(li.open, other)
	li.mu.Unlock()
}

func copyTo(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.(*net.TCPConn).CloseWrite()
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// setCut cuts the link or heals it.
func (li *link) setCut(cut bool) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.cut == cut {
		return
	}
	li.cut = cut
	if cut {
		_ = li.listener.Close()
		for conn := range li.open {
			reset(conn)
		}
		clear(li.open)
		return
	}
	for {
		listener, err := net.Listen("tcp4", li.address)
		if err == nil {
			li.listener = listener
			go li.accept(listener)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// network holds the links between failure domains and to the store. Each failure domain sees the machines and workers of the
// others, and the store, at the addresses of links.
type network struct {
	wo *world
	// answerTime is how long the store takes for an answer.
	answerTime time.Duration
	// lose reports whether the answer to a call from a failure domain is lost after the call has been done; nil for never.
	lose func(zone string, r *http.Request) bool
	// calls follows the calls; nil for none.
	calls *storeCalls
	// late takes a call that is done later and not answered; nil for none.
	late *lateWrite

	mu    sync.Mutex
	links map[string]*link
	// zones maps the addresses of machines and workers to their failure domains.
	zones map[string]string
}

func newNetwork(wo *world) *network {
	return &network{wo: wo, answerTime: 4 * time.Millisecond, links: make(map[string]*link), zones: make(map[string]string)}
}

// linkOf returns the link from a failure domain to an address.
func (nw *network) linkOf(zone, address string) *link {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	key := zone + " " + address
	li, ok := nw.links[key]
	if !ok {
		li = newLink(nw.wo.network+".3.1", address)
		nw.links[key] = li
	}
	return li
}

// storeFor returns the address of the store for the machines of a failure domain.
func (nw *network) storeFor(zone string) string {
	listener, err := net.Listen("tcp4", nw.wo.network+".4.1:0")
	must(err)
	server := &http.Server{Handler: &storeSeen{nw: nw, zone: zone}}
	go func() { _ = server.Serve(listener) }()
	return nw.linkOf(zone, listener.Addr().String()).address
}

// place records in which failure domain an address is.
func (nw *network) place(address, zone string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.zones[address] = zone
}

// seen returns the address at which a failure domain sees another address.
func (nw *network) seen(zone, address string) string {
	nw.mu.Lock()
	where, ok := nw.zones[address]
	nw.mu.Unlock()
	if !ok || where == zone {
		return address
	}
	return nw.linkOf(zone, address).address
}

// cutOff cuts a failure domain off from the others and from the store, or ends that.
func (nw *network) cutOff(zone string, cut bool) {
	nw.mu.Lock()
	var links []*link
	for key, li := range nw.links {
		from, address, _ := strings.Cut(key, " ")
		if from == zone || nw.zones[address] == zone {
			links = append(links, li)
		}
	}
	nw.mu.Unlock()
	for _, li := range links {
		li.setCut(cut)
	}
}

// storeSeen is the store as a failure domain sees it.
type storeSeen struct {
	nw   *network
	zone string
}

func (ss *storeSeen) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if ss.nw.calls != nil {
		ss.nw.calls.record(ss.zone, r)
	}
	if ss.nw.late != nil && ss.nw.late.take(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	answer, silent := httptest.NewRecorder(), ss.nw.wo.silent.Load()
	if !silent {
		ss.nw.wo.store.ServeHTTP(answer, r)
		time.Sleep(ss.nw.answerTime)
		silent = ss.nw.wo.silent.Load()
	}
	if lose := ss.nw.lose; silent || lose != nil && lose(ss.zone, r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(ss.translate(answer.Body.Bytes()))
}

// translate replaces the addresses of other failure domains in an answer of the store by those of links.
func (ss *storeSeen) translate(text []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var body map[string]any
	if decoder.Decode(&body) != nil {
		return text
	}
	ss.translateItem(body)
	for _, list := range []string{"items", "events"} {
		items, _ := body[list].([]any)
		for _, it := range items {
			if fields, ok := it.(map[string]any); ok {
				ss.translateItem(fields)
			}
		}
	}
	return encode(body)
}

func (ss *storeSeen) translateItem(it map[string]any) {
	key, _ := it["key"].(string)
	coded, _ := it["value"].(string)
	value, err := base64.StdEncoding.DecodeString(coded)
	if err != nil || len(value) == 0 {
		return
	}
	switch {
	case strings.HasPrefix(key, "servers/"):
		var entry map[string]any
		if json.Unmarshal(value, &entry) != nil {
			return
		}
		address, _ := entry["addr"].(string)
		entry["addr"] = ss.nw.seen(ss.zone, address)
		it["value"] = base64.StdEncoding.EncodeToString(encode(entry))
	case strings.HasPrefix(key, "lovagebank/instances/"):
		var entry wire.InstanceEntry
		if proto.Unmarshal(value, &entry) != nil {
			return
		}
		entry.Address = ss.nw.seen(ss.zone, entry.GetAddress())
		value, err := proto.Marshal(&entry)
		must(err)
		it["value"] = base64.StdEncoding.EncodeToString(value)
	}
}

// addNode prepares an instance that sees the store and the others through the network.
func (nw *network) addNode(number int, zone string, values map[string]string) *instance {
	all := map[string]string{"platform.addr": nw.storeFor(zone)}
	for name, value := range values {
		all[name] = value
	}
	in := nw.wo.add(number, zone, all)
	nw.place(fmt.Sprintf("%s:7600", in.ip), zone)
	return in
}
