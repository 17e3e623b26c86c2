package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lovagebank/auditor"
	"lovagebank/wire"
)

// getAudit lists accepted changes. With wait, and nothing newer than after, it waits for the next change first.
func (op *Operator) getAudit(rw http.ResponseWriter, hr *http.Request) {
	query := hr.URL.Query()
	fi, wait, err := readFilter(query)
	if err != nil {
		writeFailure(rw, http.StatusBadRequest, Failure{Code: CodeBadRequest, Message: err.Error()})
		return
	}
	if wait > 0 {
		waiting, cancel := context.WithTimeout(hr.Context(), min(wait, mostWait))
		_ = op.options.Publisher.WaitForRevision(waiting, fi.After)
		cancel()
	}
	ctx, cancel := context.WithTimeout(hr.Context(), readTime)
	defer cancel()
	latest := op.options.Publisher.Revision()
	pa, err := op.options.Auditor.List(ctx, latest, fi)
	if err != nil {
		writeFailure(rw, http.StatusServiceUnavailable, Failure{Code: CodeNotAccepted, Message: "the store cannot be reached"})
		return
	}
	page := AuditPage{Revision: latest, Complete: pa.Complete(), Entries: []AuditEntry{}}
	for _, en := range pa.Entries() {
		page.Entries = append(page.Entries, auditEntry(en))
	}
	writeJSON(rw, http.StatusOK, page)
}

func auditEntry(en *wire.AuditEntry) AuditEntry {
	return AuditEntry{
		RevisionBefore: en.RevisionBefore, RevisionAfter: en.RevisionAfter, At: time.UnixMilli(en.AtMs).UTC(),
		Author: en.Author, ChangeID: en.ChangeId, Kind: en.Kind, Summary: en.Summary,
		Organisations: en.Organisations, AllOrganisations: en.AllOrganisations,
	}
}

func readFilter(query url.Values) (fi auditor.Filter, wait time.Duration, err error) {
	fi = auditor.Filter{
		Organisation: query.Get("organisation"), Kind: query.Get("kind"),
		Author: query.Get("author"), ChangeID: query.Get("change-id"),
	}
	parts := []struct {
		name  string
		parse func(text string) error
	}{
		{"after", func(text string) (err error) { fi.After, err = strconv.ParseUint(text, 10, 64); return err }},
		{"limit", func(text string) (err error) { fi.Limit, err = strconv.Atoi(text); return err }},
		{"since", func(text string) (err error) { fi.Since, err = time.Parse(time.RFC3339, text); return err }},
		{"until", func(text string) (err error) { fi.Until, err = time.Parse(time.RFC3339, text); return err }},
		{"wait", func(text string) (err error) { wait, err = time.ParseDuration(text); return err }},
	}
	for _, part := range parts {
		text := query.Get(part.name)
		if text == "" {
			continue
		}
		if err := part.parse(text); err != nil {
			return fi, 0, fmt.Errorf("%s: bad value %q", part.name, text)
		}
	}
	return fi, wait, nil
}
