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

// TestMain fixes the seed of random orders, unless the command line names one.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// simulation drives states without goroutines, in steps of simulated time.
type simulation struct {
	states  map[string]*state
	ids     []string
	now     time.Time
	bytes   int
	carried int
	random  *rand.Rand
	// silent members neither call nor answer.
	silent map[string]bool
}

func newSimulation(domains, members int) *simulation {
	sm := &simulation{
		states: make(map[string]*state), now: time.Unix(1e9, 0), silent: make(map[string]bool),
		random: rand.New(rand.NewPCG(1, 1)),
	}
	for at := range members {
		id := fmt.Sprintf("instance-%04d-8f3a", at)
		sm.ids = append(sm.ids, id)
		sm.states[id] = newState(&wire.Member{
			Id: id, PeerAddress: id, FailureDomain: fmt.Sprintf("domain-%d", at%domains), Region: "north",
		}, sm.now)
	}
	return sm
}

// acquaint makes all states equal, as after a long time without change.
func (sm *simulation) acquaint(targets []storer.Registration) {
	for _, st := range sm.states {
		for _, id := range sm.ids {
			st.hear(record{member: sm.states[id].self}, sm.now)
		}
		st.listTargets(KindEngine, targets, sm.now)
		st.rumors, st.urgent, st.synced = newRumors(), false, true
	}
}

func (sm *simulation) count(message proto.Message) {
	sm.bytes += proto.Size(message)
	sm.carried++
}

// exchange has one state call another, as exchange in run.go does.
func (sm *simulation) exchange(from *state, pe peer) {
	to := sm.states[pe.address]
	if to == nil || sm.silent[pe.address] {
		from.suspect(pe.id, sm.now)
		return
	}
	rq := from.request(extras{})
	for range syncRounds {
		sm.count(rq)
		rs := proto.CloneOf(to.serve(proto.CloneOf(rq), extras{}, sm.now))
		sm.count(rs)
		if rq = from.answered(pe.address, rs, sm.now); rq == nil {
			return
		}
	}
}

// second passes: urgent rounds first, then each state's turn.
func (sm *simulation) second(tick int) {
	for range int(time.Second / urgentPause) {
		sm.now = sm.now.Add(urgentPause)
		for _, id := range sm.ids {
			if st := sm.states[id]; st.urgent && !sm.silent[id] {
				st.urgent = false
				sm.call(st, true, urgentNear)
				sm.call(st, false, urgentFar)
			}
		}
	}
	sm.turns(tick)
}

// turns lets each member make the calls of one second.
func (sm *simulation) turns(tick int) {
	for at, id := range sm.ids {
		st := sm.states[id]
		if sm.silent[id] {
			continue
		}
		st.tick(sm.now)
		sm.call(st, true, 1)
		if (tick+at)%farTicks == 0 {
			sm.call(st, false, 1)
		}
	}
}

// call has a state exchange with peers that it picks as in run.go.
func (sm *simulation) call(st *state, near bool, count int) {
	peers := st.peers(near)
	slices.SortFunc(peers, func(left, right peer) int { return strings.Compare(left.id, right.id) })
	if near {
		peers = pick(peers, count, sm.random.Shuffle)
	} else {
		peers = pickDomains(peers, count, sm.random.Shuffle)
	}
	for _, pe := range peers {
		sm.exchange(st, pe)
	}
}

func (sm *simulation) equal() bool {
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
	for at := range list {
		list[at] = storer.NewRegistration(fmt.Sprintf("engine-%04d-77c1", at), "10.20.30.40", 9000, map[string]string{
			metaFailureDomain: fmt.Sprintf("domain-%d", at%11), metaRegion: "north", metaBase: "base-1",
			metaSlots: "16", metaBatch: "64",
		})
	}
	return list
}

// TestTablesConverge applies events in any order at any member, and expects all to agree in the end.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sm := newSimulation(2, 6)
		sm.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		sm.acquaint(engines(20))
		for tick := range rapid.IntRange(1, 12).Draw(rt, "seconds") {
			st := sm.states[rapid.SampledFrom(sm.ids).Draw(rt, "member")]
			switch rapid.SampledFrom([]string{"leave", "target", "list", "suspect", "none"}).Draw(rt, "event") {
			case "leave":
				st.say(wire.MemberState_MEMBER_STATE_LEAVING, sm.now)
			case "target":
				st.observeTarget("engine-0003-77c1", rapid.Bool().Draw(rt, "leaving"), sm.now)
			case "list":
				st.listTargets(KindEngine, engines(rapid.IntRange(15, 25).Draw(rt, "listed")), sm.now)
			case "suspect":
				st.suspect(rapid.SampledFrom(sm.ids).Draw(rt, "suspect"), sm.now)
			}
			sm.second(tick)
		}
		for tick := range 30 {
			sm.second(tick)
		}
		if !sm.equal() {
			rt.Fatal("tables differ")
		}
		for _, id := range sm.ids {
			if len(sm.states[id].members()) != len(sm.ids) {
				rt.Fatalf("%s counts on %d members", id, len(sm.states[id].members()))
			}
		}
	})
}

// TestTablesAreCompared expects that what no rumor carries any more is found by comparing tables.
func TestTablesAreCompared(t *testing.T) {
	sm := newSimulation(1, 2)
	sm.acquaint(engines(10))
	late := sm.states[sm.ids[1]]
	late.listTargets(KindEngine, engines(500), sm.now)
	late.rumors, late.urgent = newRumors(), false
	for tick := range 10 {
		sm.second(tick)
	}
	if !sm.equal() || len(sm.states[sm.ids[0]].targets()) != 500 {
		t.Errorf("%d targets known", len(sm.states[sm.ids[0]].targets()))
	}
}

// TestTombstonesAreCompared has one member miss that a target is gone.
func TestTombstonesAreCompared(t *testing.T) {
	sm := newSimulation(1, 2)
	sm.acquaint(engines(10))
	late := sm.states[sm.ids[1]]
	for range unlistedReadings {
		late.listTargets(KindEngine, engines(9), sm.now)
	}
	late.rumors, late.urgent = newRumors(), false
	for tick := range 10 {
		sm.second(tick)
	}
	if !sm.equal() || len(sm.states[sm.ids[0]].targets()) != 9 {
		t.Errorf("%d targets known", len(sm.states[sm.ids[0]].targets()))
	}
}

func TestSilentMemberDies(t *testing.T) {
	sm := newSimulation(1, 3)
	sm.acquaint(nil)
	sm.silent[sm.ids[2]] = true
	for tick := range 10 {
		sm.second(tick)
	}
	for _, id := range sm.ids[:2] {
		if got := sm.states[id].table.member(sm.ids[2]).State; got != wire.MemberState_MEMBER_STATE_DEAD {
			t.Errorf("%s sees the silent member as %v", id, got)
		}
	}
}

func TestTargetIsGoneAfterTwoReadings(t *testing.T) {
	sm := newSimulation(1, 1)
	st := sm.states[sm.ids[0]]
	steps := []struct{ listed, want int }{{3, 3}, {2, 3}, {3, 3}, {2, 3}, {2, 2}, {0, 2}, {0, 0}, {3, 3}}
	for at, step := range steps {
		st.listTargets(KindEngine, engines(step.listed), sm.now)
		if got := len(st.targets()); got != step.want {
			t.Errorf("step %d: %d targets, want %d", at, got, step.want)
		}
	}
}

// BenchmarkGossip reports the bytes of messages that one instance sends and receives in a second, without those of
// HTTP/2 and of the platform's list, and the time that its state takes. Quiet: nothing changes. Busy: a target changes
// its word every two seconds, and a member leaves and comes back every ten.
func BenchmarkGossip(b *testing.B) {
	sizes := []struct{ domains, members, targets int }{{3, 8, 18}, {3, 64, 400}, {11, 370, 2400}}
	for _, size := range sizes {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/targets=%d/busy=%v", size.members, size.targets, busy), func(b *testing.B) {
				sm := newSimulation(size.domains, size.members)
				sm.acquaint(engines(size.targets))
				seconds := 0
				for b.Loop() {
					if busy {
						sm.disturb(seconds, size.targets)
					}
					sm.second(seconds)
					seconds++
				}
				perInstance := float64(seconds * size.members)
				b.ReportMetric(2*float64(sm.bytes)/perInstance, "bytes/s")
				b.ReportMetric(2*float64(sm.carried)/perInstance, "messages/s")
				b.ReportMetric(float64(b.Elapsed().Microseconds())/perInstance, "cpu-µs/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// disturb makes the changes of a busy deployment.
func (sm *simulation) disturb(second, targets int) {
	st := sm.states[sm.ids[second%len(sm.ids)]]
	if second%2 == 0 {
		st.observeTarget(fmt.Sprintf("engine-%04d-77c1", second%targets), second%4 == 0, sm.now)
	}
	switch second % 10 {
	case 3:
		st.say(wire.MemberState_MEMBER_STATE_LEAVING, sm.now)
	case 8:
		sm.states[sm.ids[(second-5)%len(sm.ids)]].say(wire.MemberState_MEMBER_STATE_LIVE, sm.now)
	}
}
