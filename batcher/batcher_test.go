package batcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"lovagebank/storer"
)

// fakeStore applies transactions in memory. The conditions of taken keys fail. With loseAnswers, transactions take
// effect but return an unknown result.
type fakeStore struct {
	taken        map[string]bool
	loseAnswers  bool
	transactions int
	written      map[string]int
}

func (fs *fakeStore) transact(_ context.Context, steps []storer.Step) ([]storer.Entry, error) {
	fs.transactions++
	var failed []int
	for at, st := range steps {
		if fs.taken[st.Key()] {
			failed = append(failed, at)
		}
	}
	if len(failed) > 0 {
		return nil, storer.NewConflict(failed...)
	}
	for _, st := range steps {
		fs.written[st.Key()]++
	}
	if fs.loseAnswers {
		return nil, storer.ErrUnknown
	}
	return nil, nil
}

func TestCommit(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		taken []string
		lost  bool
		// want returns the expected error of each of 100 writes. maxTransactions is the maximum number of transactions for
		// all of them.
		want            func(key string) error
		maxTransactions int
	}{
		"writes share transactions": {want: func(string) error { return nil }, maxTransactions: 3},
		"a failed condition fails no other write": {
			taken: []string{"k7", "k41"},
			want: func(key string) error {
				if key == "k7" || key == "k41" {
					return storer.ErrConflict
				}
				return nil
			},
			maxTransactions: 5,
		},
		"a lost answer makes all writes in it unknown": {lost: true, want: func(string) error { return storer.ErrUnknown }, maxTransactions: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				fs := &fakeStore{taken: make(map[string]bool), loseAnswers: test.lost, written: make(map[string]int)}
				for _, key := range test.taken {
					fs.taken[key] = true
				}
				errs := commitMany(t, fs, 100)
				for key, err := range errs {
					if want := test.want(key); !errors.Is(err, want) {
						t.Errorf("%s ended with %v, want %v", key, err, want)
					}
					if count := fs.written[key]; count > 1 || (count == 0) != fs.taken[key] {
						t.Errorf("%s was written %d times", key, count)
					}
				}
				if fs.transactions > test.maxTransactions {
					t.Errorf("%d transactions, want at most %d", fs.transactions, test.maxTransactions)
				}
			})
		})
	}
}

// commitMany commits single writes concurrently and returns their errors by key.
func commitMany(t *testing.T, fs *fakeStore, count int) map[string]error {
	t.Helper()
	ba := New(Options{Transact: fs.transact})
	ctx, cancel := context.WithCancel(t.Context())
	go ba.Run(ctx)
	var mu sync.Mutex
	errs := make(map[string]error)
	var all sync.WaitGroup
	for number := range count {
		all.Go(func() {
			key := fmt.Sprint("k", number)
			_, err := ba.Commit(ctx, storer.Swap(key, []byte("v"), 0))
			mu.Lock()
			defer mu.Unlock()
			errs[key] = err
		})
	}
	all.Wait()
	cancel()
	<-ba.Done()
	return errs
}

func TestFullQueueRefusesWrites(t *testing.T) {
	t.Parallel()
	fs := &fakeStore{written: make(map[string]int)}
	ba := New(Options{Transact: fs.transact})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range queueSize {
		_, _ = ba.Commit(ctx, storer.Swap("k", nil, 0))
	}
	if _, err := ba.Commit(t.Context(), storer.Swap("k", nil, 0)); !errors.Is(err, storer.ErrUnavailable) {
		t.Errorf("error %v, want storer.ErrUnavailable", err)
	}
}
