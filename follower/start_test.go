package follower_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lovagebank/exchanger"
)

// In castaneda-stock-large quiet-1, half of the calls to the store came from 195 starting instances. An instance that has a
// reader must receive all keys from it and read none itself.
func TestStartReadsTheStoreOnlyWithoutAReader(t *testing.T) {
	const timeout = 800 * time.Millisecond
	healthy := func(*domain, string) {}
	tests := map[string]struct {
		size    int
		prepare func(do *domain, name string)
		reads   int
		slowest time.Duration
	}{
		"all readers answer":        {size: 40, prepare: healthy, reads: 3, slowest: 10 * time.Millisecond},
		"single instance":           {size: 1, prepare: healthy, reads: 1, slowest: 10 * time.Millisecond},
		"readers without the store": {size: 40, prepare: func(do *domain, name string) { do.cut[name] = true }, reads: 40, slowest: 10 * time.Millisecond},
		"readers do not answer":     {size: 40, prepare: func(do *domain, name string) { do.dead[name] = true }, reads: 40, slowest: timeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				do := newDomainWith(t, tt.size, tt.prepare)
				start := time.Now()
				var starts sync.WaitGroup
				for _, name := range do.names {
					starts.Go(func() { do.followers[name].AwaitDecision(t.Context(), timeout) })
				}
				starts.Wait()
				if elapsed := time.Since(start); elapsed > tt.slowest {
					t.Errorf("decided after %s", elapsed)
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
