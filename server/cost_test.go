package server

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"lovagebank/configurer"
	"lovagebank/faker"
	"lovagebank/seeder"
)

const (
	// warmUpTime is how long a fleet runs before the measurement, and measurementTime how long the measurement takes.
	warmUpTime      = 8 * time.Second
	measurementTime = 10 * time.Second
)

// BenchmarkControl runs whole instances in one process, without requests, and reports the cost of each. The processor
// time includes the fake platform, so it is an upper bound.
//
//	go test ./server -run '^$' -bench Control -benchtime 1x
func BenchmarkControl(b *testing.B) {
	for _, count := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) { measureControl(b, count, 1200) })
	}
	for _, adapters := range []int{1200, 35000} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) { measureControl(b, 8, adapters) })
	}
}

func measureControl(b *testing.B, count, adapters int) {
	for b.Loop() {
		before := heapBytes()
		fl := startCostFleet(b, count, adapters)
		time.Sleep(warmUpTime)
		calls, bytes, used := fl.storeCalls(), fl.controlBytes(), processorTime(b)
		time.Sleep(measurementTime)
		seconds := measurementTime.Seconds()
		per := func(value float64) float64 { return value / float64(count) }
		b.ReportMetric(per(float64(fl.storeCalls()-calls)/seconds), "store-calls/s")
		b.ReportMetric(per(float64(fl.controlBytes()-bytes)/seconds), "peer-B/s")
		b.ReportMetric(per((processorTime(b)-used).Seconds()/seconds*100), "%core")
		b.ReportMetric(per(float64(heapBytes()-before)/(1<<20)), "heap-MB")
		fl.stop()
	}
}

// costFleet is a set of instances in this process.
type costFleet struct {
	servers []*Server
	stop    func()
}

func startCostFleet(b *testing.B, count, adapters int) *costFleet {
	b.Helper()
	domains := []string{"a", "b", "c", "d"}
	pf, err := faker.StartPlatform(faker.PlatformOptions{
		Domains: domains, Bases: []string{faker.BaseCastaneda, faker.BaseIndus},
		Engine: faker.EngineOptions{Slots: 8, Batch: 8, TokenTime: time.Millisecond},
	})
	if err != nil {
		b.Fatal(err)
	}
	sa := faker.NewSample(adapters)
	if err := seeder.Seed(b.Context(), pf.StoreURL(), seeder.Lists{Plans: sa.Plans(), Uses: sa.Uses(), Keys: sa.Keys()}); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	fl := &costFleet{}
	for index := range count {
		sv := newCostServer(b, pf, index, domains[index%len(domains)])
		fl.servers = append(fl.servers, sv)
		running.Go(func() { _ = sv.Run(ctx) })
	}
	fl.stop = func() {
		cancel()
		running.Wait()
		_ = pf.Close()
	}
	return fl
}

func newCostServer(b testing.TB, pf *faker.Platform, index int, domain string) *Server {
	b.Helper()
	return newDialingServer(b, pf, index, domain, nil)
}

func newDialingServer(b testing.TB, pf *faker.Platform, index int, domain string, dial dialFunc) *Server {
	b.Helper()
	id := fmt.Sprintf("instance-%d", index+1)
	peer := freeAddress(b)
	pf.RegisterInstance(id, domain, peer)
	settings, err := configurer.ParseSettings(id, pf.Settings(faker.InstanceOptions{
		ID: id, Domain: domain, LogLevel: "error",
		CallerAddress: freeAddress(b), PeerAddress: peer, OperatorAddress: freeAddress(b),
	}))
	if err != nil {
		b.Fatal(err)
	}
	sv, err := newServer(settings, dial)
	if err != nil {
		b.Fatal(err)
	}
	return sv
}

func freeAddress(b testing.TB) string {
	b.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	return socket.Addr().String()
}

func (fl *costFleet) storeCalls() int64 {
	var total int64
	for _, sv := range fl.servers {
		for _, co := range sv.store.Counts() {
			total += co.Calls()
		}
		for _, co := range sv.list.Counts() {
			total += co.Calls()
		}
	}
	return total
}

func (fl *costFleet) controlBytes() int64 {
	var total int64
	for _, sv := range fl.servers {
		total += sv.connector.ControlBytes()
	}
	return total
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
