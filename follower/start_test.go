package follower_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/exchanger"
)

// The pattern of castaneda-stock-large quiet-1: half of the calls to the store were those of 195 instances that start. One
// that has a reader hears all keys from it and reads none itself.
func TestStartReadsTheStoreOnlyWithoutAReader(t *testing.T) {
	const patience = 800 * time.Millisecond
	sound := func(*domain, string) {}
	tests := map[string]struct {
		size    int
		prepare func(do *domain, name string)
		reads   int
		slowest time.Duration
	}{
		"all there":             {size: 40, prepare: sound, reads: 3, slowest: 10 * time.Millisecond},
		"alone":                 {size: 1, prepare: sound, reads: 1, slowest: 10 * time.Millisecond},
		"readers without store": {size: 40, prepare: func(do *domain, name string) { do.cut[name] = true }, reads: 40, slowest: 10 * time.Millisecond},
		"readers dead":          {size: 40, prepare: func(do *domain, name string) { do.dead[name] = true }, reads: 40, slowest: patience},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				do := newDomainWith(t, tt.size, tt.prepare)
				began := time.Now()
				var starts sync.WaitGroup
				for _, name := range do.names {
					starts.Go(func() { do.followers[name].AwaitDecision(t.Context(), patience) })
				}
				starts.Wait()
				if took := time.Since(began); took > tt.slowest {
					t.Errorf("decided after %s", took)
				}
				reads := 0
				for _, name := range do.names {
					if !do.followers[name].Follows(exchanger.CopyTargets) {
						reads++
					}
				}
				if reads != tt.reads {
					t.Errorf("%d of %d read the store", reads, tt.size)
				}
			})
		})
	}
}
