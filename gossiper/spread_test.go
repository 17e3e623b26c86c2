package gossiper

import (
	"fmt"
	"testing"
	"time"
)

// spreadRevision sets a revision at one member, and returns the simulated time until all members have it. A member that
// learns of a newer revision fetches it and starts an urgent round, as the publisher does.
func (sm *simulation) spreadRevision(first string, revision uint64) time.Duration {
	start := sm.now
	sm.states[first].setRevision(revision)
	sm.states[first].urgent = true
	for tick := 0; sm.now.Sub(start) < time.Minute; tick++ {
		for range int(time.Second / urgentInterval) {
			sm.now = sm.now.Add(urgentInterval)
			for _, id := range sm.ids {
				if st := sm.states[id]; st.urgent && !sm.silent[id] {
					st.urgent = false
					sm.exchangeWithPeers(st, true, urgentSameDomainPeers)
					sm.exchangeWithPeers(st, false, urgentOtherDomains)
				}
			}
			if sm.fetchRevision(revision) {
				return sm.now.Sub(start)
			}
		}
		sm.runTicks(tick)
		sm.fetchRevision(revision)
	}
	return time.Minute
}

// fetchRevision sets the revision at each member that learned of it, and reports whether all members have it.
func (sm *simulation) fetchRevision(revision uint64) bool {
	all := true
	for _, id := range sm.ids {
		st := sm.states[id]
		if sm.silent[id] || st.self.ConfigurationRevision == revision {
			continue
		}
		for _, me := range st.members() {
			if me.ConfigurationRevision == revision {
				st.setRevision(revision)
				st.urgent = true
				break
			}
		}
		all = all && st.self.ConfigurationRevision == revision
	}
	return all
}

// TestRevisionSpreads expects a change to reach all members from a single one, as when the others cannot reach the store.
func TestRevisionSpreads(t *testing.T) {
	tests := map[string]struct {
		domains, members int
		changes          uint64
		within           time.Duration
	}{
		"8 members":       {3, 8, 20, 2 * time.Second},
		"64 members":      {3, 64, 5, 2 * time.Second},
		"all 370 members": {11, 370, 1, 8 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sm := newSimulation(tc.domains, tc.members)
			sm.syncAll(nil)
			for revision := range tc.changes {
				took := sm.spreadRevision(sm.ids[int(revision)%len(sm.ids)], revision+1)
				if took > tc.within {
					t.Errorf("revision %d took %v", revision+1, took)
				}
			}
		})
	}
}

// BenchmarkRevisionSpread reports the simulated time in which a change at one member reaches all others.
func BenchmarkRevisionSpread(b *testing.B) {
	for _, size := range []struct{ domains, members int }{{3, 8}, {3, 64}, {11, 370}} {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			sm := newSimulation(size.domains, size.members)
			sm.syncAll(nil)
			revision, total, longest := uint64(0), time.Duration(0), time.Duration(0)
			for b.Loop() {
				revision++
				took := sm.spreadRevision(sm.ids[int(revision)%len(sm.ids)], revision)
				total += took
				longest = max(longest, took)
			}
			b.ReportMetric(float64(total.Milliseconds())/float64(revision), "mean-ms")
			b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkJoin reports the messages and bytes that a member with an empty table needs to receive the whole table.
func BenchmarkJoin(b *testing.B) {
	for _, size := range []struct{ domains, members, targets int }{{3, 8, 18}, {3, 64, 400}, {11, 370, 2400}} {
		b.Run(fmt.Sprintf("members=%d/targets=%d", size.members, size.targets), func(b *testing.B) {
			sm := newSimulation(size.domains, size.members)
			sm.syncAll(engines(size.targets))
			joins := 0
			sm.bytes, sm.messages = 0, 0
			for b.Loop() {
				self := sm.states[sm.ids[0]].self
				joiner := newState(self, sm.now)
				sm.exchange(joiner, peer{id: sm.ids[1], address: sm.ids[1]})
				joins++
				if got := len(joiner.targets()); got != size.targets {
					b.Fatalf("%d targets known", got)
				}
			}
			b.ReportMetric(float64(sm.bytes)/float64(joins), "bytes/join")
			b.ReportMetric(float64(sm.messages)/float64(joins), "messages/join")
		})
	}
}
