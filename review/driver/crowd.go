//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdAddresses is the number of addresses from which the crowd comes, and crowdPause how long one of it waits before it connects anew.
	crowdAddresses = 16
	crowdPause     = 300 * time.Millisecond
	// crowdSize is the number of clients of the crowd at each machine, and crowdBody the size of their bodies, of which two bytes are missing.
	crowdSize = 1400
	crowdBody = 3000
	// crowdTime is how long the case lasts.
	crowdTime = 35 * time.Second
	// contact is contactMs of the small deployments.
	contact = 3 * time.Second
)

// try is an attempt of an ordinary requester on a connection of its own.
type try struct {
	requester int
	at        time.Time
	served    bool
}

// crowdMember opens a connection from an address, sends a head and the a small body but for its last two bytes, and stops.
func crowdMember(ctx context.Context, from, to string, number int) {
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	for turn := 0; ctx.Err() == nil; turn++ {
		conn, err := dialer.DialContext(ctx, "tcp4", to)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			_, err = fmt.Fprintf(conn, "POST /order/%x HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nRequest-Id: %08x%08x\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n%0*d",
				number, host, key, 0xc0000000+number, turn, crowdBody, crowdBody-2, 0)
			buffer := make([]byte, 512)
			for err == nil {
				_, err = conn.Read(buffer)
			}
			stop()
			_ = conn.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(crowdPause):
		}
	}
}

// crowd plays a crowd of clients that stop just short of the end of their bodies, beside ordinary requesters.
func crowd(la *lab, trouble bool) (bool, error) {
	for number := range 3 {
		if _, err := la.addWorker(fmt.Sprintf("i-app%d", number), "bodega", "zone-"+string(rune('a'+number%3)), false, 6, nil); err != nil {
			return false, err
		}
	}
	if err := la.configure(1, route("order", "/order/", "unsafe", "bodega", 5000, 1, false),
		route("check", "/check/", "safe", "bodega", 1500, 2, false)); err != nil {
		return false, err
	}
	for number := range 2 {
		in, err := la.addInstance("zone-"+string(rune('a'+number%3)), nil)
		if err != nil {
			return false, err
		}
		if err := in.start(); err != nil {
			return false, err
		}
	}
	if err := la.awaitReady(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var wg sync.WaitGroup
	if trouble {
		time.AfterFunc(5*time.Second, func() {
			la.log("the crowd comes")
			for _, in := range la.instances {
				for number := range crowdSize {
					from := fmt.Sprintf("127.%d.9.%d", la.network, 1+number%crowdAddresses)
					go crowdMember(ctx, from, in.front, 100000*in.number+number)
				}
			}
		})
	}
	broken := false
	for _, in := range la.instances {
		wg.Go(func() {
			if watchRequesters(ctx, la, in) {
				broken = true
			}
		})
	}
	wg.Wait()
	return broken, nil
}

// watchRequesters plays ordinary requesters of an instance, and reports whether the instance took none of their new connections for
// contactMs while it was ready and seven or more tried.
func watchRequesters(ctx context.Context, la *lab, in *instance) bool {
	var mu sync.Mutex
	var tries []try
	var unready []time.Time
	var wg sync.WaitGroup
	var count atomic.Int64
	for requester := range 12 {
		wg.Go(func() {
			for ctx.Err() == nil {
				at := time.Now()
				id := fmt.Sprintf("%02x%014x", 0x40+in.number, count.Add(1))
				re := send(in.front, http.MethodGet, "/check/"+id, id, 3*time.Second, nil, "")
				served := re.err == nil && re.status == http.StatusOK && re.seal == "seal-"+id
				mu.Lock()
				tries = append(tries, try{requester: requester, at: at, served: served})
				mu.Unlock()
				la.logReply(in, id, re)
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			if !in.isReady() {
				mu.Lock()
				unready = append(unready, time.Now())
				mu.Unlock()
			}
			time.Sleep(time.Second)
		}
	})
	wg.Wait()
	served, longest := 0, time.Duration(0)
	var from time.Time
	requesters := map[int]bool{}
	broken := false
	for _, tr := range tries {
		if tr.served {
			served++
			from, requesters = time.Time{}, map[int]bool{}
			continue
		}
		if from.IsZero() {
			from = tr.at
		}
		requesters[tr.requester] = true
		longest = max(longest, tr.at.Sub(from))
		if tr.at.Sub(from) >= contact && len(requesters) >= 7 {
			broken = true
		}
	}
	now, peak := in.memoryMB()
	la.log("%s served %d of %d requests; longest time without one: %s; not ready at %d of the questions; memory %s MB, peak %s MB", in.name, served, len(tries),
		longest.Round(time.Millisecond), len(unready), strconv.Itoa(int(now)), strconv.Itoa(int(peak)))
	return broken && len(unready) == 0
}
