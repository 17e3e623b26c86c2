// Package auditor maintains the audit trail of accepted changes in the platform's store: who changed what, when, and
// the revision before and after. An entry is written in the same transaction as the change that it describes.
//
// Entries are grouped into segments of EntriesPerSegment consecutive revisions, each stored as one value. The newest
// RetainedSegments segments are kept; older ones are deleted when a new segment begins.
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
	// EntriesPerSegment is the maximum number of entries in one segment, which is one value in the store.
	EntriesPerSegment = 64
	// RetainedSegments is the number of segments retained: the latest 32,768 changes, or five days at 6,200 changes per day.
	RetainedSegments = 512
	// MaxSummaryBytes is the maximum length of an entry's summary, in bytes.
	MaxSummaryBytes = 400
	// maxOrganisations limits the organisations listed in an entry. An entry with more applies to all organisations.
	maxOrganisations = 16
	// maxSweptSegments is the maximum number of outdated segments that one sweep deletes.
	maxSweptSegments = 2

	// segmentPrefix is the prefix of the store keys of segments.
	segmentPrefix = "lovagebank/audit/"
)

// Options configures an Auditor with its store operations, which have the signatures of storer.Client's methods. All
// are required.
type Options struct {
	Get      func(ctx context.Context, key string) (storer.Entry, error)
	Transact func(ctx context.Context, steps []storer.Step) ([]storer.Entry, error)
}

// Auditor reads and writes the audit trail. It is stateless and safe for concurrent use.
type Auditor struct {
	options Options
}

// New returns an Auditor.
func New(options Options) *Auditor { return &Auditor{options: options} }

// Truncate shortens an entry in place to the limits of its fields and returns it. The summary is cut at MaxSummaryBytes
// bytes. An entry with too many organisations is marked as applying to all organisations instead.
func Truncate(en *wire.AuditEntry) *wire.AuditEntry {
	if len(en.Summary) > MaxSummaryBytes {
		en.Summary = strings.ToValidUTF8(en.Summary[:MaxSummaryBytes], "")
	}
	if len(en.Organisations) > maxOrganisations {
		en.Organisations, en.AllOrganisations = nil, true
	}
	return en
}

// AppendStep returns the transaction step that appends an entry. The step must be committed in the same transaction that
// raises the revision. This keeps the trail complete, and a concurrent change makes both fail. An error means that the
// segment could not be read, decoded or encoded.
func (au *Auditor) AppendStep(ctx context.Context, en *wire.AuditEntry) (storer.Step, error) {
	key := segmentKey(segmentOf(en.RevisionAfter))
	segment, index, err := au.read(ctx, key)
	if err != nil {
		return storer.Step{}, err
	}
	// After a store rollback, the segment may hold entries for revisions that are issued again.
	segment.Entries = entriesBefore(segment.Entries, en.RevisionAfter)
	segment.Entries = append(segment.Entries, Truncate(en))
	value, err := proto.Marshal(segment)
	if err != nil {
		return storer.Step{}, oops.In("auditor").Wrapf(err, "encode %s", key)
	}
	return storer.Swap(key, value, index), nil
}

func entriesBefore(entries []*wire.AuditEntry, revision uint64) []*wire.AuditEntry {
	for index, en := range entries {
		if en.RevisionAfter >= revision {
			return entries[:index]
		}
	}
	return entries
}

// Sweep deletes segments beyond the retention. It is called after the change to the given revision was accepted, and
// only acts when this revision begins a new segment. If it fails, a later sweep deletes the remaining segments.
func (au *Auditor) Sweep(ctx context.Context, revision uint64) error {
	if revision%EntriesPerSegment != 0 {
		return nil
	}
	for offset := uint64(RetainedSegments); offset < RetainedSegments+maxSweptSegments && offset <= segmentOf(revision); offset++ {
		key := segmentKey(segmentOf(revision) - offset)
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

// read returns a segment and its index in the store. A missing segment is returned as empty, with index 0.
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
