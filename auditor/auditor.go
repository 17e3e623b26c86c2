// Package auditor keeps the trail of accepted changes in the platform's store: who changed what, when, and the revision
// before and after. An entry is written in the same transaction as the change that it tells of.
//
// Entries lie in segments of EntriesPerSegment consecutive revisions, one value of the store each. The newest
// RetainedSegments are kept; older ones are deleted when a new segment begins.
package auditor

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"lovagebank/storer"
	"lovagebank/wire"
)

const (
	// EntriesPerSegment is the most entries in one value of the store.
	EntriesPerSegment = 64
	// RetainedSegments is the retention: the entries of the latest 32,768 changes, five days at 6,200 changes a day.
	RetainedSegments = 512
	// MaxSummaryBytes bounds an entry's summary, in bytes.
	MaxSummaryBytes = 400
	// mostOrganisations bounds the organisations that an entry names; beyond, it counts for all.
	mostOrganisations = 16
	// sweptSegments is how many outdated segments one append deletes at the most.
	sweptSegments = 2

	segmentPrefix = "lovagebank/audit/"
)

// Options are the seams of an Auditor, shaped as storer.Client's methods. All are required.
type Options struct {
	Get      func(ctx context.Context, key string) (storer.Entry, error)
	Transact func(ctx context.Context, steps []storer.Step) ([]storer.Entry, error)
}

// Auditor reads and writes the trail. It holds no state and may be used by many goroutines.
type Auditor struct {
	options Options
}

// New makes an auditor.
func New(options Options) *Auditor { return &Auditor{options: options} }

// Truncate cuts an entry's parts to their bounds.
func Truncate(en *wire.AuditEntry) *wire.AuditEntry {
	if len(en.Summary) > MaxSummaryBytes {
		en.Summary = strings.ToValidUTF8(en.Summary[:MaxSummaryBytes], "")
	}
	if len(en.Organisations) > mostOrganisations {
		en.Organisations, en.AllOrganisations = nil, true
	}
	return en
}

// AppendStep returns the operation that adds an entry. It must go into the transaction that raises the revision: together
// they keep the trail whole, and a competing change makes both fail.
func (au *Auditor) AppendStep(ctx context.Context, en *wire.AuditEntry) (storer.Step, error) {
	key := segmentKey(segmentOf(en.RevisionAfter))
	segment, index, err := au.read(ctx, key)
	if err != nil {
		return storer.Step{}, err
	}
	// A store that was put back to an older state may hold entries of revisions that are made anew.
	segment.Entries = before(segment.Entries, en.RevisionAfter)
	segment.Entries = append(segment.Entries, Truncate(en))
	value, err := proto.Marshal(segment)
	if err != nil {
		return storer.Step{}, oops.In("auditor").Wrapf(err, "encode %s", key)
	}
	return storer.Swap(key, value, index), nil
}

func before(entries []*wire.AuditEntry, revision uint64) []*wire.AuditEntry {
	for at, en := range entries {
		if en.RevisionAfter >= revision {
			return entries[:at]
		}
	}
	return entries
}

// Sweep deletes segments beyond the retention, after the change to the given revision was accepted. A failure leaves
// them for a later sweep.
func (au *Auditor) Sweep(ctx context.Context, revision uint64) error {
	if revision%EntriesPerSegment != 0 {
		return nil
	}
	for back := uint64(RetainedSegments); back < RetainedSegments+sweptSegments && back <= segmentOf(revision); back++ {
		key := segmentKey(segmentOf(revision) - back)
		en, err := au.options.Get(ctx, key)
		if errors.Is(err, storer.ErrNotFound) {
			continue
		}
		if err != nil {
			return oops.In("auditor").Wrapf(err, "read %s", key)
		}
		if _, err := au.options.Transact(ctx, []storer.Step{storer.Delete(key, en.Index())}); err != nil {
			return oops.In("auditor").Wrapf(err, "delete %s", key)
		}
	}
	return nil
}

// read returns a segment with its index in the store; an absent one is empty, with index 0.
func (au *Auditor) read(ctx context.Context, key string) (*wire.AuditSegment, uint64, error) {
	segment := &wire.AuditSegment{}
	en, err := au.options.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return segment, 0, nil
	}
	if err != nil {
		return nil, 0, oops.In("auditor").Wrapf(err, "read %s", key)
	}
	if err := proto.Unmarshal(en.Value(), segment); err != nil {
		return nil, 0, oops.In("auditor").Wrapf(err, "decode %s", key)
	}
	return segment, en.Index(), nil
}

func segmentOf(revision uint64) uint64 { return revision / EntriesPerSegment }

func segmentKey(segment uint64) string { return fmt.Sprintf("%s%016d", segmentPrefix, segment) }
