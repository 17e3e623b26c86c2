package auditor

import (
	"context"
	"slices"
	"time"

	"lovagebank/wire"
)

const (
	defaultLimit = 100
	// MaxEntriesPerPage bounds the entries of one answer.
	MaxEntriesPerPage = 1000
	// mostSegmentsRead bounds the calls to the store that one answer costs.
	mostSegmentsRead = 64
)

// Filter picks entries. A zero field picks all.
type Filter struct {
	// After picks entries whose revision after the change is above it.
	After uint64
	// Since and Until bound the time of the change; Until itself is outside.
	Since time.Time
	Until time.Time
	// Organisation picks changes that concern it, those for all organisations included.
	Organisation string
	Kind         string
	Author       string
	// ChangeID picks one edit.
	ChangeID string
	// Limit is the most entries, the newest ones first kept; zero means 100.
	Limit int
}

// Matches tells whether the filter picks an entry.
func (fi Filter) Matches(en *wire.AuditEntry) bool {
	at := time.UnixMilli(en.AtMs)
	switch {
	case en.RevisionAfter <= fi.After,
		!fi.Since.IsZero() && at.Before(fi.Since),
		!fi.Until.IsZero() && !at.Before(fi.Until),
		fi.Kind != "" && fi.Kind != en.Kind,
		fi.Author != "" && fi.Author != en.Author,
		fi.ChangeID != "" && fi.ChangeID != en.ChangeId:
		return false
	}
	return fi.Organisation == "" || en.AllOrganisations || slices.Contains(en.Organisations, fi.Organisation)
}

// Page is the answer of a List.
type Page struct {
	entries  []*wire.AuditEntry
	complete bool
}

// Entries returns the entries that the filter picked, oldest first.
func (pa Page) Entries() []*wire.AuditEntry { return pa.entries }

// Complete is false when older entries may match as well, beyond the limit of entries or of segments read.
func (pa Page) Complete() bool { return pa.complete }

// List reads the newest entries that a filter picks. latest is the revision in force.
func (au *Auditor) List(ctx context.Context, latest uint64, fi Filter) (Page, error) {
	limit := fi.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	limit = min(limit, MaxEntriesPerPage)
	var pa Page
	for back := uint64(0); back < RetainedSegments; back++ {
		if back > segmentOf(latest) || segmentOf(latest)-back < segmentOf(fi.After+1) {
			pa.complete = true
			break
		}
		if back == mostSegmentsRead {
			break
		}
		segment, _, err := au.read(ctx, segmentKey(segmentOf(latest)-back))
		if err != nil {
			return Page{}, err
		}
		if !pa.addNewest(segment.Entries, fi, limit) {
			break
		}
		pa.complete = back == RetainedSegments-1
	}
	slices.Reverse(pa.entries)
	return pa, nil
}

// addNewest adds a segment's entries, newest first; it is false once the limit is reached.
func (pa *Page) addNewest(entries []*wire.AuditEntry, fi Filter, limit int) bool {
	for _, en := range slices.Backward(entries) {
		if !fi.Matches(en) {
			continue
		}
		if len(pa.entries) == limit {
			return false
		}
		pa.entries = append(pa.entries, en)
	}
	return true
}

// Entry returns the entry of the change that made a revision, while the retention holds it.
func (au *Auditor) Entry(ctx context.Context, revision uint64) (*wire.AuditEntry, bool, error) {
	segment, _, err := au.read(ctx, segmentKey(segmentOf(revision)))
	if err != nil {
		return nil, false, err
	}
	for _, en := range segment.Entries {
		if en.RevisionAfter == revision {
			return en, true, nil
		}
	}
	return nil, false, nil
}
