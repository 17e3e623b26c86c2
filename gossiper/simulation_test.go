package gossiper

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"lovagebank/storer"
	"lovagebank/wire"
)

// TestMain sets a fixed seed for rapid, which the command line can override.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// simulation drives states without goroutines, in steps of simulated time, and counts the bytes and messages exchanged.
type simulation struct {
	states   map[string]*state
	ids      []string
	now      time.Time
	bytes    int
	messages int
	random   *rand.Rand
	// Silent members neither call nor answer.
	silent map[string]bool
}

func newSimulation(domains, members int) *simulation {
	sm := &simulation{
		states: make(map[string]*state), now: time.Unix(1e9, 0), silent: make(map[string]bool),
		random: rand.New(rand.NewPCG(1, 1)),
	}
	for index := range members {
		id := fmt.Sprintf("instance-%04d-8f3a", index)
		sm.ids = append(sm.ids, id)
		sm.states[id] = newState(&wire.Member{
			Id: id, PeerAddress: id, FailureDomain: fmt.Sprintf("domain-%d", index%domains), Region: "north",
		}, sm.now)
	}
	return sm
}

// syncAll makes all states equal, as they are after a long time without changes.
func (sm *simulation) syncAll(targets []storer.Registration) {
	for _, st := range sm.states {
		for _, id := range sm.ids {
			st.merge(record{member: sm.states[id].self}, sm.now)
		}
		st.mergeTargetList(KindEngine, targets, sm.now)
		st.rumors, st.urgent, st.synced = newRumors(), false, true
	}
}

func (sm *simulation) count(message proto.Message) {
	sm.bytes += proto.Size(message)
	sm.messages++
}

// exchange runs one exchange between two states, as exchange in run.go does.
func (sm *simulation) exchange(from *state, pe peer) {
	to := sm.states[pe.address]
	if to == nil || sm.silent[pe.address] {
		from.suspect(pe.id, sm.now)
		return
	}
	rq := from.request(piggyback{})
	for range maxSyncRounds {
		sm.count(rq)
		rs := proto.CloneOf(to.serve(proto.CloneOf(rq), piggyback{}, sm.now))
		sm.count(rs)
		if rq = from.handleResponse(pe.address, rs, sm.now); rq == nil {
			return
		}
	}
}

// runSecond simulates one second: the urgent rounds first, then the tick of each state.
func (sm *simulation) runSecond(tick int) {
	for range int(time.Second / urgentInterval) {
		sm.now = sm.now.Add(urgentInterval)
		for _, id := range sm.ids {
			if st := sm.states[id]; st.urgent && !sm.silent[id] {
				st.urgent = false
				sm.exchangeWithPeers(st, true, urgentSameDomainPeers)
				sm.exchangeWithPeers(st, false, urgentOtherDomains)
			}
		}
	}
	sm.runTicks(tick)
}

// runTicks runs the periodic exchanges of each member for one tick.
func (sm *simulation) runTicks(tick int) {
	for index, id := range sm.ids {
		st := sm.states[id]
		if sm.silent[id] {
			continue
		}
		st.expire(sm.now)
		sm.exchangeWithPeers(st, true, 1)
		if (tick+index)%otherDomainTicks == 0 {
			sm.exchangeWithPeers(st, false, 1)
		}
	}
}

// exchangeWithPeers runs exchanges of a state with count random peers, picked as in run.go.
func (sm *simulation) exchangeWithPeers(st *state, sameDomain bool, count int) {
	peers := st.peers(sameDomain)
	slices.SortFunc(peers, func(left, right peer) int { return strings.Compare(left.id, right.id) })
	if sameDomain {
		peers = pick(peers, count, sm.random.Shuffle)
	} else {
		peers = pickDomains(peers, count, sm.random.Shuffle)
	}
	for _, pe := range peers {
		sm.exchange(st, pe)
	}
}

func (sm *simulation) converged() bool {
	digest := sm.states[sm.ids[0]].table.digest()
	for _, st := range sm.states {
		if st.table.digest() != digest {
			return false
		}
	}
	return true
}

func engines(count int) []storer.Registration {
	list := make([]storer.Registration, count)
	for index := range list {
		list[index] = storer.NewRegistration(fmt.Sprintf("engine-%04d-77c1", index), "10.20.30.40", 9000, map[string]string{
			metaFailureDomain: fmt.Sprintf("domain-%d", index%11), metaRegion: "north", metaBase: "base-1",
			metaSlots: "16", metaBatch: "64",
		})
	}
	return list
}

// TestTablesConverge applies random events at random members, and expects all tables to become equal.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sm := newSimulation(2, 6)
		sm.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		sm.syncAll(engines(20))
		for tick := range rapid.IntRange(1, 12).Draw(rt, "seconds") {
			st := sm.states[rapid.SampledFrom(sm.ids).Draw(rt, "member")]
			switch rapid.SampledFrom([]string{"leave", "target", "list", "suspect", "none"}).Draw(rt, "event") {
			case "leave":
				st.setOwnState(wire.MemberState_MEMBER_STATE_LEAVING, sm.now)
			case "target":
				st.observeTarget("engine-0003-77c1", rapid.Bool().Draw(rt, "leaving"), sm.now)
			case "list":
				st.mergeTargetList(KindEngine, engines(rapid.IntRange(15, 25).Draw(rt, "listed")), sm.now)
			case "suspect":
				st.suspect(rapid.SampledFrom(sm.ids).Draw(rt, "suspect"), sm.now)
			}
			sm.runSecond(tick)
		}
		for tick := range 30 {
			sm.runSecond(tick)
		}
		if !sm.converged() {
			rt.Fatal("tables differ")
		}
		for _, id := range sm.ids {
			if len(sm.states[id].members()) != len(sm.ids) {
				rt.Fatalf("%s lists %d members", id, len(sm.states[id].members()))
			}
		}
	})
}

// TestTableComparisonSendsUnspreadRecords guards against records that are lost once they are no longer spread as rumors:
// the table comparison must find them.
func TestTableComparisonSendsUnspreadRecords(t *testing.T) {
	sm := newSimulation(1, 2)
	sm.syncAll(engines(10))
	ahead := sm.states[sm.ids[1]]
	ahead.mergeTargetList(KindEngine, engines(500), sm.now)
	ahead.rumors, ahead.urgent = newRumors(), false
	for tick := range 10 {
		sm.runSecond(tick)
	}
	if !sm.converged() || len(sm.states[sm.ids[0]].targets()) != 500 {
		t.Errorf("%d targets known", len(sm.states[sm.ids[0]].targets()))
	}
}

// TestTableComparisonSendsTombstones guards against a member that keeps a removed target because it missed the rumor.
func TestTableComparisonSendsTombstones(t *testing.T) {
	sm := newSimulation(1, 2)
	sm.syncAll(engines(10))
	ahead := sm.states[sm.ids[1]]
	for range unlistedReadings {
		ahead.mergeTargetList(KindEngine, engines(9), sm.now)
	}
	ahead.rumors, ahead.urgent = newRumors(), false
	for tick := range 10 {
		sm.runSecond(tick)
	}
	if !sm.converged() || len(sm.states[sm.ids[0]].targets()) != 9 {
		t.Errorf("%d targets known", len(sm.states[sm.ids[0]].targets()))
	}
}

func TestSilentMemberIsMarkedDead(t *testing.T) {
	sm := newSimulation(1, 3)
	sm.syncAll(nil)
	sm.silent[sm.ids[2]] = true
	for tick := range 10 {
		sm.runSecond(tick)
	}
	for _, id := range sm.ids[:2] {
		if got := sm.states[id].table.member(sm.ids[2]).State; got != wire.MemberState_MEMBER_STATE_DEAD {
			t.Errorf("%s sees the silent member as %v", id, got)
		}
	}
}

func TestTargetIsRemovedAfterTwoReadingsWithoutIt(t *testing.T) {
	sm := newSimulation(1, 1)
	st := sm.states[sm.ids[0]]
	steps := []struct{ listed, want int }{{3, 3}, {2, 3}, {3, 3}, {2, 3}, {2, 2}, {0, 2}, {0, 0}, {3, 3}}
	for index, step := range steps {
		st.mergeTargetList(KindEngine, engines(step.listed), sm.now)
		if got := len(st.targets()); got != step.want {
			t.Errorf("step %d: %d targets, want %d", index, got, step.want)
		}
	}
}

// BenchmarkGossip reports the message bytes that one instance sends and receives per second, excluding HTTP/2 overhead
// and the platform's list, and the CPU time of its state. If busy is false, nothing changes; if it is true, a target
// starts or stops leaving every two seconds, and a member leaves and returns every ten.
func BenchmarkGossip(b *testing.B) {
	sizes := []struct{ domains, members, targets int }{{3, 8, 18}, {3, 64, 400}, {11, 370, 2400}}
	for _, size := range sizes {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/targets=%d/busy=%v", size.members, size.targets, busy), func(b *testing.B) {
				sm := newSimulation(size.domains, size.members)
				sm.syncAll(engines(size.targets))
				seconds := 0
				for b.Loop() {
					if busy {
						sm.applyChanges(seconds, size.targets)
					}
					sm.runSecond(seconds)
					seconds++
				}
				perInstance := float64(seconds * size.members)
				b.ReportMetric(2*float64(sm.bytes)/perInstance, "bytes/s")
				b.ReportMetric(2*float64(sm.messages)/perInstance, "messages/s")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/perInstance, "cpu-µs/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// applyChanges applies the changes of one second in a busy deployment.
func (sm *simulation) applyChanges(second, targets int) {
	st := sm.states[sm.ids[second%len(sm.ids)]]
	if second%2 == 0 {
		st.observeTarget(fmt.Sprintf("engine-%04d-77c1", second%targets), second%4 == 0, sm.now)
	}
	switch second % 10 {
	case 3:
		st.setOwnState(wire.MemberState_MEMBER_STATE_LEAVING, sm.now)
	case 8:
		sm.states[sm.ids[(second-5)%len(sm.ids)]].setOwnState(wire.MemberState_MEMBER_STATE_LIVE, sm.now)
	}
}
