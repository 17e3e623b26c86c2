package follower_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"lovagebank/exchanger"
	"lovagebank/follower"
	"lovagebank/watcher"
)

// domain is a set of instances of one failure domain, each with a follower. Dead instances do not answer, cut instances have
// lost the store, and outdated instances have copies older than those of their followers.
type domain struct {
	names     []string
	followers map[string]*follower.Follower

	mu       sync.Mutex
	dead     map[string]bool
	cut      map[string]bool
	outdated map[string]bool
}

func newDomain(t *testing.T, size int) *domain {
	return newDomainWith(t, size, func(*domain, string) {})
}

// newDomainWith calls prepare with each instance's name before any follower runs.
func newDomainWith(t *testing.T, size int, prepare func(do *domain, name string)) *domain {
	do := &domain{
		followers: make(map[string]*follower.Follower), dead: make(map[string]bool), cut: make(map[string]bool),
		outdated: make(map[string]bool),
	}
	for index := range size {
		do.names = append(do.names, fmt.Sprintf("10.0.0.%d", index+1))
	}
	for _, name := range do.names {
		prepare(do, name)
	}
	ctx, stop := context.WithCancel(t.Context())
	for _, name := range do.names {
		fo := follower.New(follower.Options{
			Self:   name,
			Domain: func() []follower.Instance { return do.others(name) },
			Fetch:  do.ask,
			Apply: func(mi exchanger.MirrorResponse) (applied [exchanger.CopyCount]bool) {
				for index, ch := range mi.Changes {
					applied[index] = ch.Revision > 0
				}
				return applied
			},
			Logger: log.New(io.Discard),
		})
		do.followers[name] = fo
		go fo.Run(ctx)
	}
	t.Cleanup(func() {
		stop()
		for _, fo := range do.followers {
			<-fo.Done()
		}
	})
	return do
}

func (do *domain) others(self string) []follower.Instance {
	var others []follower.Instance
	for _, name := range do.names {
		if name != self {
			others = append(others, follower.Instance{Name: name, Address: name})
		}
	}
	return others
}

// set changes the condition of instances under the lock.
func (do *domain) set(change func()) {
	do.mu.Lock()
	defer do.mu.Unlock()
	change()
}

func (do *domain) ask(ctx context.Context, address string, rq exchanger.MirrorRequest) (exchanger.MirrorResponse, error) {
	do.mu.Lock()
	dead, cut, outdated := do.dead[address], do.cut[address], do.outdated[address]
	do.mu.Unlock()
	if dead {
		<-time.After(rq.Wait)
		return exchanger.MirrorResponse{}, errors.New("no answer")
	}
	mi := exchanger.MirrorResponse{Start: address, Current: !cut}
	for index := range mi.Changes {
		mi.Changes[index] = watcher.Changes{Cursor: 7, Revision: 1}
		if outdated {
			mi.Changes[index].Revision = 0
		}
	}
	if rq.Cursors[0] > 0 {
		<-time.After(rq.Wait)
	}
	return mi, ctx.Err()
}

// readers returns the instances that read the store themselves.
func (do *domain) readers() []string {
	var readers []string
	for _, name := range do.names {
		if !do.followers[name].Follows(exchanger.CopyOperator) {
			readers = append(readers, name)
		}
	}
	return readers
}

func TestReaders(t *testing.T) {
	const settle = 3 * time.Second
	scenarios := map[string]func(*testing.T){
		"a small domain has one reader": func(t *testing.T) {
			do := newDomain(t, 3)
			time.Sleep(settle)
			if readers := do.readers(); len(readers) != 1 {
				t.Errorf("read by %v", readers)
			}
		},
		"a large domain of 120 instances has only 8 readers": func(t *testing.T) {
			do := newDomain(t, 120)
			time.Sleep(settle)
			if readers := do.readers(); len(readers) != 8 {
				t.Errorf("read by %d of 120", len(readers))
			}
		},
		"a lone instance reads the store": func(t *testing.T) {
			do := newDomain(t, 1)
			time.Sleep(settle)
			if readers := do.readers(); len(readers) != 1 {
				t.Errorf("read by %v", readers)
			}
		},
		"a reader that stops answering is lost within a call and followed again once it answers": func(t *testing.T) {
			do := newDomain(t, 5)
			time.Sleep(settle)
			reader := do.readers()[0]
			do.set(func() { do.dead[reader] = true })
			time.Sleep(2 * time.Second)
			if readers := do.readers(); len(readers) != 5 {
				t.Errorf("read by %v", readers)
			}
			do.set(func() { do.dead[reader] = false })
			time.Sleep(10 * time.Second)
			if readers := do.readers(); len(readers) != 1 {
				t.Errorf("after its return read by %v", readers)
			}
		},
		"a reader without the store is not followed": func(t *testing.T) {
			do := newDomain(t, 5)
			time.Sleep(settle)
			reader := do.readers()[0]
			do.set(func() { do.cut[reader] = true })
			time.Sleep(2 * time.Second)
			if readers := do.readers(); len(readers) != 5 {
				t.Errorf("read by %v", readers)
			}
		},
		"a reader that has lost the store is followed again soon after it has regained it": func(t *testing.T) {
			do := newDomain(t, 5)
			time.Sleep(settle)
			reader := do.readers()[0]
			do.set(func() { do.cut[reader] = true })
			time.Sleep(4 * time.Second)
			do.set(func() { do.cut[reader] = false })
			time.Sleep(2 * time.Second)
			if readers := do.readers(); len(readers) != 1 {
				t.Errorf("two seconds after its return read by %v", readers)
			}
		},
		"a reader whose copy is older than the local one is not followed until it has caught up": func(t *testing.T) {
			do := newDomain(t, 2)
			do.set(func() { do.outdated[do.names[0]], do.outdated[do.names[1]] = true, true })
			time.Sleep(settle)
			if readers := do.readers(); len(readers) != 2 {
				t.Errorf("read by %v", readers)
			}
			do.set(func() { clear(do.outdated) })
			time.Sleep(settle)
			if readers := do.readers(); len(readers) != 1 {
				t.Errorf("after it caught up read by %v", readers)
			}
		},
		"Wait returns at once when the reader is behind": func(t *testing.T) {
			do := newDomain(t, 2)
			time.Sleep(settle)
			reader := do.readers()[0]
			other := do.others(reader)[0].Name
			start := time.Now()
			time.AfterFunc(time.Minute, do.followers[other].DropReader)
			do.followers[other].Wait(t.Context(), exchanger.CopyOwn)
			if elapsed := time.Since(start); elapsed != time.Minute {
				t.Errorf("returned after %v", elapsed)
			}
		},
		"Wait returns within a call when the reader stops answering": func(t *testing.T) {
			do := newDomain(t, 2)
			time.Sleep(settle)
			reader := do.readers()[0]
			do.set(func() { do.dead[reader] = true })
			start := time.Now()
			do.followers[do.others(reader)[0].Name].Wait(t.Context(), exchanger.CopyOwn)
			if elapsed := time.Since(start); elapsed > 2*time.Second {
				t.Errorf("returned after %v", elapsed)
			}
		},
		"a reader that misses a change known to others is dropped at once": func(t *testing.T) {
			do := newDomain(t, 2)
			time.Sleep(settle)
			for _, fo := range do.followers {
				fo.DropReader()
			}
			if readers := do.readers(); len(readers) != 2 {
				t.Errorf("read by %v", readers)
			}
			time.Sleep(10 * time.Second)
			if readers := do.readers(); len(readers) != 1 {
				t.Errorf("later read by %v", readers)
			}
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) { synctest.Test(t, scenario) })
	}
}
