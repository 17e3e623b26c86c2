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

var errCut = errors.New("the network is cut")

// cutter refuses and breaks the connections that cross the border of a failure domain that is cut off.
type cutter struct {
	mu sync.Mutex
	// domainOf gives the failure domain of an address; the platform is in none.
	domainOf map[string]string
	cut      string
	open     map[net.Conn]bool
}

func newCutter() *cutter {
	return &cutter{domainOf: make(map[string]string), open: make(map[net.Conn]bool)}
}

func (cu *cutter) place(address, domain string) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.domainOf[address] = domain
}

// dialFrom returns how an instance of a domain opens connections.
func (cu *cutter) dialFrom(domain string) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if cu.crosses(domain, address) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errCut}
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		cu.mu.Lock()
		defer cu.mu.Unlock()
		cu.open[conn] = cu.domainOf[address] != domain
		return conn, nil
	}
}

func (cu *cutter) crosses(from, address string) bool {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	to := cu.domainOf[address]
	return cu.cut != "" && from != to && (from == cu.cut || to == cu.cut)
}

// set cuts a domain off, or ends that when it is empty.
func (cu *cutter) set(domain string) {
	cu.mu.Lock()
	defer cu.mu.Unlock()
	cu.cut = domain
	for conn, border := range cu.open {
		if border && domain != "" {
			_ = conn.Close()
		}
		delete(cu.open, conn)
	}
}

// cutFleet is two instances in each of three failure domains, and the platform's stand-ins.
type cutFleet struct {
	platform *faker.Platform
	cutter   *cutter
	byDomain map[string][]*Server
}

func startCutFleet(t *testing.T) *cutFleet {
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
	fl := &cutFleet{platform: pf, cutter: newCutter(), byDomain: make(map[string][]*Server)}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for index := range 6 {
		domain := domains[index%len(domains)]
		sv := newDialingServer(t, pf, index, domain, fl.cutter.dialFrom(domain))
		fl.cutter.place(sv.settings.PeerAddress(), domain)
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
			fl.cutter.place(tg.GetAddress(), tg.GetFailureDomain())
		}
	}
	return fl
}

// eventually waits for a state that must come; the test's own deadline bounds it.
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

func (fl *cutFleet) chats(t *testing.T, sv *Server) bool {
	t.Helper()
	status, err := sendOverhead(t.Context(), "http://"+sv.settings.CallerAddress()+"/v1/chat/completions", "castaneda-parts-0001")
	return err == nil && status == http.StatusOK
}

// checkFloor sees that a domain that does not hold the shared part has its floor and no more: of the burst, a third of
// the fifth that floors make up.
func (fl *cutFleet) checkFloor(t *testing.T, sv *Server) {
	t.Helper()
	if home, _ := sv.leases.Holder(leaser.HomeName(faker.SampleCastaneda)); fl.holds("c", home) {
		return
	}
	pl, _ := sv.publisher.Current().PlanOf(faker.SampleCastaneda)
	floor := int64(pl.Burst() / 15)
	eventually(t, "the floor is there", func() bool { return charges(t, sv, floor*9/10) })
	if charges(t, sv, floor*12/10) {
		t.Error("the cut-off domain granted more than its floor")
	}
}

func (fl *cutFleet) holds(domain, instance string) bool {
	for _, sv := range fl.byDomain[domain] {
		if sv.identity == instance {
			return true
		}
	}
	return false
}

// charges tells whether tokens are granted at once; they go back.
func charges(t *testing.T, sv *Server, tokens int64) bool {
	t.Helper()
	gr, err := sv.limiter.Charge(t.Context(), faker.SampleCastaneda, tokens, time.Now().Add(100*time.Millisecond))
	if err != nil {
		return false
	}
	gr.Settle(0)
	return true
}

// TestDomainCutOffGoesOnServing cuts a failure domain off from all others and from the platform. Both sides go on with
// their own targets and their part of the rate; after the cut all know each other and the lists again.
func TestDomainCutOffGoesOnServing(t *testing.T) {
	if testing.Short() {
		t.Skip("runs a fleet for half a minute")
	}
	fl := startCutFleet(t)
	alone, others := fl.byDomain["c"], slices.Concat(fl.byDomain["a"], fl.byDomain["b"])
	fl.cutter.set("c")
	for _, sv := range alone {
		eventually(t, "the cut-off side sees itself alone", func() bool { return len(sv.gossiper.Members()) == 2 })
		eventually(t, "the cut-off side serves", func() bool { return fl.chats(t, sv) })
	}
	fl.checkFloor(t, alone[0])
	for _, sv := range others {
		eventually(t, "the other side sees who is left", func() bool { return len(sv.gossiper.Members()) == 4 })
		eventually(t, "the other side serves", func() bool { return fl.chats(t, sv) })
	}
	fl.cutter.set("")
	for _, sv := range slices.Concat(alone, others) {
		eventually(t, "all know each other again", func() bool { return len(sv.gossiper.Members()) == 6 })
		eventually(t, "all serve", func() bool { return fl.chats(t, sv) })
	}
	for _, en := range fl.platform.Engines() {
		if stats := en.Stats(); stats.EvictionsInUse > 0 {
			t.Errorf("%d evictions in use", stats.EvictionsInUse)
		}
	}
}
