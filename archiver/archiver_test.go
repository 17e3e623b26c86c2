package archiver

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"

	"google.golang.org/protobuf/proto"

	"lovagebank/storer"
	"lovagebank/wire"
)

// fakeStore keeps values in memory; every second write loses its answer after the effect.
type fakeStore struct {
	values map[string][]byte
	writes int
}

func (fs *fakeStore) get(_ context.Context, key string) (storer.Entry, error) {
	value, ok := fs.values[key]
	if !ok {
		return storer.Entry{}, storer.ErrNotFound
	}
	return storer.NewEntry(key, value, 1, ""), nil
}

func (fs *fakeStore) commit(_ context.Context, steps ...storer.Step) ([]storer.Entry, error) {
	fs.writes++
	for _, st := range steps {
		if _, taken := fs.values[st.Key()]; taken {
			return nil, storer.ErrConflict
		}
		fs.values[st.Key()] = st.Value()
	}
	if fs.writes%2 == 0 {
		return nil, storer.ErrUnknown
	}
	return nil, nil
}

func TestKeepAndRead(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		size    int
		parts   int32
		dropped bool
	}{
		"empty":               {},
		"in the record":       {size: 1000},
		"one part":            {size: 10_000, parts: 1},
		"several parts":       {size: 3*partSize + 7, parts: 4},
		"larger than is kept": {size: MaxBytes + 1, dropped: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				fs := &fakeStore{values: make(map[string][]byte)}
				ar := New(Options{Get: fs.get, Commit: fs.commit})
				answer := &wire.Answer{Status: 200, Body: bytes.Repeat([]byte("a"), test.size)}
				kept, err := ar.Store(t.Context(), "k", "n", answer)
				if err != nil || kept.GetParts() != test.parts || kept.GetDropped() != test.dropped {
					t.Fatalf("kept %d parts, dropped %v, error %v", kept.GetParts(), kept.GetDropped(), err)
				}
				if test.dropped {
					return
				}
				if got, err := ar.Read(t.Context(), "k", kept); err != nil || !proto.Equal(got, answer) {
					t.Errorf("read %d bytes, error %v", len(got.GetBody()), err)
				}
			})
		})
	}
}
