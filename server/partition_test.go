package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"lovagebank/faker"
	"lovagebank/leaser"
	"lovagebank/seeder"
)

var errPartitioned = errors.New("network partitioned")

// partition simulates a network partition: it refuses and closes connections that cross the border of the isolated
// failure domain.
type partition struct {
	mu sync.Mutex
	// domainOf maps an address to its failure domain. The platform's addresses are in none.
	domainOf map[string]string
	isolated string
	open     map[net.Conn]bool
}

func newPartition() *partition {
	return &partition{domainOf: make(map[string]string), open: make(map[net.Conn]bool)}
}

func (pa *partition) setDomain(address, domain string) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.domainOf[address] = domain
}

// dialFrom returns the dial function of the instances of a domain.
func (pa *partition) dialFrom(domain string) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if pa.crosses(domain, address) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errPartitioned}
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		pa.mu.Lock()
		defer pa.mu.Unlock()
		pa.open[conn] = pa.domainOf[address] != domain
		return conn, nil
	}
}

func (pa *partition) crosses(from, address string) bool {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	to := pa.domainOf[address]
	return pa.isolated != "" && from != to && (from == pa.isolated || to == pa.isolated)
}

// isolate isolates a domain, or ends the partition if the domain is empty.
func (pa *partition) isolate(domain string) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.isolated = domain
	for conn, border := range pa.open {
		if border && domain != "" {
			_ = conn.Close()
		}
		delete(pa.open, conn)
	}
}

// partitionFleet is two instances in each of three failure domains, and the fake platform.
type partitionFleet struct {
	platform  *faker.Platform
	partition *partition
	byDomain  map[string][]*Server
}

func startPartitionFleet(t *testing.T) *partitionFleet {
	t.Helper()
	domains := []string{"a", "b", "c"}
	pf, err := faker.StartPlatform(faker.PlatformOptions{
		Domains: domains, Bases: []string{faker.BaseCastaneda}, Engine: faker.EngineOptions{Slots: 8, Batch: 8},
	})
	if err != nil {
		t.Fatal(err)
	}
	sa := faker.NewSample(4)
	if err := seeder.Seed(t.Context(), pf.StoreURL(), seeder.Lists{Plans: sa.Plans(), Uses: sa.Uses(), Keys: sa.Keys()}); err != nil {
		t.Fatal(err)
	}
	fl := &partitionFleet{platform: pf, partition: newPartition(), byDomain: make(map[string][]*Server)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for index := range 6 {
		domain := domains[index%len(domains)]
		sv := newDialingServer(t, pf, index, domain, fl.partition.dialFrom(domain))
		fl.partition.setDomain(sv.settings.PeerAddress(), domain)
		fl.byDomain[domain] = append(fl.byDomain[domain], sv)
		running.Go(func() { _ = sv.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
		_ = pf.Close()
	})
	for _, servers := range fl.byDomain {
		for _, sv := range servers {
			eventually(t, "ready", func() bool { return sv.ready() == nil && len(sv.gossiper.Members()) == 6 })
		}
	}
	for _, servers := range fl.byDomain {
		for _, tg := range servers[0].gossiper.Targets() {
			fl.partition.setDomain(tg.GetAddress(), tg.GetFailureDomain())
		}
	}
	return fl
}

// eventually waits for a state that must be reached, checking it every 50 ms up to 1200 times.
func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for range 1200 {
		if reached() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("not reached: %s", what)
}

func (fl *partitionFleet) serves(t *testing.T, sv *Server) bool {
	t.Helper()
	status, err := sendChat(t.Context(), "http://"+sv.settings.CallerAddress()+"/v1/chat/completions", "castaneda-parts-0001")
	return err == nil && status == http.StatusOK
}

// checkFloor checks that a domain that does not hold the shared bucket grants its floor and no more. Floors make up a
// fifth of the burst, and each of the three domains has a third of that.
func (fl *partitionFleet) checkFloor(t *testing.T, sv *Server) {
	t.Helper()
	if home, _ := sv.leases.Holder(leaser.HomeName(faker.SampleCastaneda)); fl.holds("c", home) {
		return
	}
	pl, _ := sv.publisher.Current().PlanOf(faker.SampleCastaneda)
	floor := int64(pl.Burst() / 15)
	eventually(t, "the floor is granted", func() bool { return grants(t, sv, floor*9/10) })
	if grants(t, sv, floor*12/10) {
		t.Error("the isolated domain granted more than its floor")
	}
}

func (fl *partitionFleet) holds(domain, instance string) bool {
	for _, sv := range fl.byDomain[domain] {
		if sv.identity == instance {
			return true
		}
	}
	return false
}

// grants reports whether tokens are granted within 100 ms. Granted tokens are returned.
func grants(t *testing.T, sv *Server, tokens int64) bool {
	t.Helper()
	gr, err := sv.limiter.Charge(t.Context(), faker.SampleCastaneda, tokens, time.Now().Add(100*time.Millisecond))
	if err != nil {
		return false
	}
	gr.Settle(0)
	return true
}

// TestIsolatedDomainKeepsServing isolates a failure domain from all others and from the platform. Both sides must keep
// serving with their own targets and their share of the rate. After the partition all instances must be members and
// serve again.
func TestIsolatedDomainKeepsServing(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a fleet for half a minute")
	}
	fl := startPartitionFleet(t)
	isolated, others := fl.byDomain["c"], slices.Concat(fl.byDomain["a"], fl.byDomain["b"])
	fl.partition.isolate("c")
	for _, sv := range isolated {
		eventually(t, "the isolated domain has only its own members", func() bool { return len(sv.gossiper.Members()) == 2 })
		eventually(t, "the isolated domain serves", func() bool { return fl.serves(t, sv) })
	}
	fl.checkFloor(t, isolated[0])
	for _, sv := range others {
		eventually(t, "the other domains have only the remaining members", func() bool { return len(sv.gossiper.Members()) == 4 })
		eventually(t, "the other domains serve", func() bool { return fl.serves(t, sv) })
	}
	fl.partition.isolate("")
	for _, sv := range slices.Concat(isolated, others) {
		eventually(t, "all instances are members again", func() bool { return len(sv.gossiper.Members()) == 6 })
		eventually(t, "all instances serve", func() bool { return fl.serves(t, sv) })
	}
	for _, en := range fl.platform.Engines() {
		if stats := en.Stats(); stats.EvictionsInUse > 0 {
			t.Errorf("%d evictions in use", stats.EvictionsInUse)
		}
	}
}
