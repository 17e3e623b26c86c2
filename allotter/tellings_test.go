package allotter_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/allotter"
	"lovagebank/router"
)

// An instance whose key has lapsed may still tell, and end before its key is back. Nobody says that it is gone then: it
// must not keep its part of the allowances for ever.
func TestInstanceThatTellsAfterItsKeyIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		og := router.NewOrganisation(router.OrganisationOptions{Name: "org", TokensPerSecond: rate, BurstTokens: burst})
		al := newMember(tell)
		al.AddPeer("peer")
		al.Apply(allotter.Update{Instance: "peer", Start: "1"})
		al.Remove("peer")
		al.Apply(allotter.Update{Instance: "peer", Start: "1"})
		al.Charge(og, rate/10, 0)
		time.Sleep(time.Minute)
		for range 60 {
			time.Sleep(time.Second)
			for range 9 {
				if de := al.Charge(og, rate/10, 0); !de.Admitted() {
					t.Fatalf("refused nine tenths of the rate, with %d peers", de.Peers())
				}
			}
		}
	})
}

// hostile draws a number that no sane instance tells, or one that it might.
func hostile(random *rand.Rand) float64 {
	switch random.IntN(6) {
	case 0:
		return float64(math.MaxInt64)
	case 1:
		return float64(math.MinInt64)
	case 2:
		return -random.Float64() * burst
	case 3:
		return 0
	default:
		return random.Float64() * 10 * burst
	}
}

// Whatever peers tell, as another program version or a broken one might, no more than the allowance is admitted, and the
// organisation has its allowance again soon after they have gone.
func TestStrangeTellings(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { hearStrangeTellings(t, rand.New(rand.NewPCG(seed, 7))) })
		})
	}
}

func hearStrangeTellings(t *testing.T, random *rand.Rand) {
	const peers = 4
	og := router.NewOrganisation(router.OrganisationOptions{Name: "org", TokensPerSecond: rate, BurstTokens: burst})
	al := newMember(tell)
	for peer := range peers {
		al.AddPeer(strconv.Itoa(peer))
	}
	admitted, begin := 0.0, time.Now()
	for range 400 {
		time.Sleep(25 * time.Millisecond)
		al.Apply(allotter.Update{
			Instance: strconv.Itoa(random.IntN(peers)), Start: strconv.Itoa(random.IntN(2)), Leaving: random.IntN(4) == 0,
			Tallies: map[string]allotter.Tally{"org": {
				Admitted: hostile(random), Requested: hostile(random), Remaining: hostile(random), Settled: random.IntN(2) == 0,
			}},
		})
		if al.Charge(og, rate/20, 0).Admitted() {
			admitted += rate / 20
		}
	}
	if most := burst + rate*time.Since(begin).Seconds(); admitted > most {
		t.Errorf("admitted %.0f tokens of at most %.0f", admitted, most)
	}
	for peer := range peers {
		al.Remove(strconv.Itoa(peer))
	}
	time.Sleep(20 * time.Second)
	if de := al.Charge(og, burst/2, 0); !de.Admitted() {
		t.Errorf("refused 20 s after the last peer has gone, with %.0f tokens left", de.Remaining())
	}
}
