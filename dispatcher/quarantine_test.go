package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lovagebank/requester"
)

var quarantineStart = time.Unix(1000, 0)

func at(seconds int) time.Time { return quarantineStart.Add(time.Duration(seconds) * time.Second) }

// crashedRun is the run of a request on a target that died, with its times in seconds.
type crashedRun struct {
	fingerprint string
	target      string
	from, to    int
}

func TestQuarantine(t *testing.T) {
	tests := map[string]struct {
		ran     []crashedRun
		stopped string
		free    string
	}{
		"a second crash quarantines the request": {ran: []crashedRun{{"p", "t1", 0, 1}, {"p", "t2", 2, 3}}, stopped: "p"},
		"one crash does not":                     {ran: []crashedRun{{"p", "t1", 0, 1}}, free: "p"},
		"a second crash of the same target":      {ran: []crashedRun{{"p", "t1", 0, 1}, {"p", "t1", 2, 3}}, stopped: "p"},
		"two copies in one crash":                {ran: []crashedRun{{"p", "t1", 0, 5}, {"p", "t1", 1, 5}}, free: "p"},
		"a request beside a crashing one is not quarantined": {
			ran:     []crashedRun{{"p", "t1", 0, 1}, {"n", "t1", 0, 1}, {"p", "t2", 2, 3}},
			stopped: "p", free: "n",
		},
		"a request beside two crashing ones is not quarantined": {
			ran: []crashedRun{
				{"p", "t1", 0, 1}, {"n", "t1", 0, 1}, {"q", "t2", 2, 3}, {"n", "t2", 2, 3}, {"p", "t3", 4, 5}, {"q", "t4", 4, 5},
			},
			stopped: "pq", free: "n",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qu, peer := newQuarantine(time.Hour), newQuarantine(time.Hour)
			for index, ra := range test.ran {
				here := qu
				if index%2 == 1 {
					here = peer
				}
				here.recordDeath(ra.fingerprint, death{ra.target, at(ra.from), at(ra.to)})
			}
			now := at(60)
			qu.merge(peer.entries(now), now)
			peer.merge(qu.entries(now), now)
			for _, one := range []*quarantine{qu, peer} {
				for _, fingerprint := range test.stopped {
					if !one.isQuarantined(string(fingerprint), now) {
						t.Errorf("%c is not quarantined", fingerprint)
					}
				}
				for _, fingerprint := range test.free {
					if one.isQuarantined(string(fingerprint), now) {
						t.Errorf("%c is quarantined", fingerprint)
					}
				}
			}
			if test.stopped != "" && qu.isQuarantined(test.stopped[:1], now.Add(2*time.Hour)) {
				t.Error("the quarantine does not expire")
			}
		})
	}
}

func TestQuarantineOutcome(t *testing.T) {
	qu := newQuarantine(time.Hour)
	if rf := qu.admit("p", at(0)); rf != nil {
		t.Fatal(rf)
	}
	qu.recordDeath("p", death{"t1", at(0), at(1)})
	qu.recordDeath("p", death{"t2", at(2), at(3)})
	if rf := qu.admit("p", at(4)); rf == nil || rf.Outcome() != requester.OutcomeUnknown {
		t.Errorf("while a copy runs: %v", rf)
	}
	qu.end("p")
	if rf := qu.admit("p", at(4)); rf == nil || rf.Outcome() != requester.OutcomeNotRun || rf.RetryAfter() == 0 {
		t.Errorf("when none runs: %v", rf)
	}
}

// TestQuarantineReleasesHarmlessRequests runs crashing requests among harmless ones as holders do, with at most one
// suspect on a target at a time. A crashing request crashes at most two targets, and every harmless one runs in the
// end.
func TestQuarantineReleasesHarmlessRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		qu := newQuarantine(time.Hour)
		crashing := map[string]bool{"p": true, "q": rapid.Bool().Draw(rt, "two crashing")}
		var waiting []string
		for index := range 12 {
			waiting = append(waiting, fmt.Sprint("n", index))
		}
		waiting = rapid.Permutation(append(waiting, "p", "q")).Draw(rt, "order")
		crashes := map[string]int{}
		now := 0
		for round := 0; len(waiting) > 0 && round < 200; round++ {
			now += 10
			batch, rest := drawBatch(rt, qu, waiting, at(now))
			waiting = rest
			var culprit string
			for _, fingerprint := range batch {
				if crashing[fingerprint] {
					culprit = fingerprint
				}
			}
			if culprit == "" {
				for _, fingerprint := range batch {
					qu.clearDeaths(fingerprint, at(now+1))
				}
				continue
			}
			crashes[culprit]++
			for _, fingerprint := range batch {
				qu.recordDeath(fingerprint, death{fmt.Sprint("t", round%4), at(now), at(now + 1)})
			}
			for _, fingerprint := range batch {
				if !crashing[fingerprint] || !qu.isQuarantined(fingerprint, at(now+1)) {
					waiting = append(waiting, fingerprint)
				}
			}
		}
		if len(waiting) > 0 {
			rt.Fatalf("never ran: %v", waiting)
		}
		for fingerprint, count := range crashes {
			if count > deathLimit {
				rt.Fatalf("%s crashed %d targets", fingerprint, count)
			}
		}
	})
}

// drawBatch draws waiting requests that may run now, with at most one suspect among them.
func drawBatch(rt *rapid.T, qu *quarantine, waiting []string, now time.Time) (batch, rest []string) {
	size := rapid.IntRange(1, 4).Draw(rt, "size")
	suspects := 0
	for _, fingerprint := range waiting {
		suspect := qu.isSuspect(fingerprint, now)
		if len(batch) == size || qu.isQuarantined(fingerprint, now) || suspect && suspects > 0 {
			rest = append(rest, fingerprint)
			continue
		}
		if suspect {
			suspects++
		}
		batch = append(batch, fingerprint)
	}
	return batch, rest
}
