package auditor

import (
	"context"
	"slices"
	"time"

	"lovagebank/wire"
)

const (
	// defaultLimit is the number of entries listed if the filter sets no limit.
	defaultLimit = 100
	// MaxEntriesPerPage is the maximum number of entries in one page.
	MaxEntriesPerPage = 1000
	// maxSegmentsRead limits the store calls made for one page.
	maxSegmentsRead = 64
)

// Filter selects audit entries. A zero field matches all entries.
type Filter struct {
	// After selects entries whose revision after the change is greater.
	After uint64
	// Since and Until limit the time of the change; Since is inclusive, Until exclusive.
	Since time.Time
	Until time.Time
	// Organisation selects changes that affect it, including changes that affect all organisations.
	Organisation string
	Kind         string
	Author       string
	// ChangeID selects a single change.
	ChangeID string
	// Limit is the maximum number of entries, of which the newest are returned. Zero means 100; values above MaxEntriesPerPage
	// are reduced to it.
	Limit int
}

// Matches reports whether the filter selects an entry. Limit is not considered.
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

// Page is the result of List.
type Page struct {
	entries  []*wire.AuditEntry
	complete bool
}

// Entries returns the selected entries, oldest first.
func (pa Page) Entries() []*wire.AuditEntry { return pa.entries }

// Complete returns false if older entries may match as well, beyond the limit of entries or of segments read.
func (pa Page) Complete() bool { return pa.complete }

// List returns the newest entries that a filter selects. latest is the current revision. An error means that a
// segment could not be read or decoded.
func (au *Auditor) List(ctx context.Context, latest uint64, fi Filter) (Page, error) {
	limit := fi.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	limit = min(limit, MaxEntriesPerPage)
	var pa Page
	for offset := uint64(0); offset < RetainedSegments; offset++ {
		if offset > segmentOf(latest) || segmentOf(latest)-offset < segmentOf(fi.After+1) {
			pa.complete = true
			break
		}
		if offset == maxSegmentsRead {
			break
		}
		segment, _, err := au.read(ctx, segmentKey(segmentOf(latest)-offset))
		if err != nil {
			return Page{}, err
		}
		if !pa.addMatching(segment.Entries, fi, limit) {
			break
		}
		pa.complete = offset == RetainedSegments-1
	}
	slices.Reverse(pa.entries)
	return pa, nil
}

// addMatching adds a segment's matching entries, newest first. It returns false if an entry matches beyond the limit.
func (pa *Page) addMatching(entries []*wire.AuditEntry, fi Filter, limit int) bool {
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

// Entry returns the entry of the change that created a revision, and whether it is still retained. An error means
// that its segment could not be read or decoded.
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
