package operator

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"lovagebank/configurer"
	"lovagebank/publisher"
)

// latest returns the documents that the store holds. If the store does not answer, it returns the documents in force at
// this instance, and reachable is false.
func (op *Operator) latest(ctx context.Context) (do configurer.Documents, revision uint64, reachable bool) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	do, revision, err := op.options.Publisher.Latest(readCtx)
	if err == nil {
		return do, revision, true
	}
	do, revision = op.options.Publisher.Documents()
	return do, revision, false
}

func (op *Operator) getDocument(rw http.ResponseWriter, hr *http.Request) {
	name := chi.URLParam(hr, "name")
	do, revision, reachable := op.latest(hr.Context())
	text, known := do.Text(name)
	if !known || name == configurer.DocumentKeys {
		writeFailure(rw, http.StatusNotFound, Failure{Code: CodeNotFound, Message: "there is no such list; allowed: plans, uses"})
		return
	}
	writeJSON(rw, http.StatusOK, Document{Name: name, Revision: revision, Text: text, StoreReachable: reachable})
}

func (op *Operator) postChange(rw http.ResponseWriter, hr *http.Request) {
	var ch Change
	if !readJSON(rw, hr, &ch) {
		return
	}
	if !checkChangeID(rw, ch.ChangeID) {
		return
	}
	var texts []publisher.Text
	for _, dt := range ch.Documents {
		if _, known := changeKind(dt.Name); !known {
			writeFailure(rw, http.StatusBadRequest, Failure{Code: CodeBadRequest, Message: "unknown document; allowed: plans, uses"})
			return
		}
		texts = append(texts, publisher.Text{Name: dt.Name, Text: dt.Text})
	}
	if len(texts) == 0 {
		writeFailure(rw, http.StatusBadRequest, Failure{Code: CodeBadRequest, Message: "the change has no documents"})
		return
	}
	ctx, cancel := context.WithTimeout(hr.Context(), proposeTimeout)
	defer cancel()
	if ch.DryRun {
		op.dryRunChange(ctx, rw, ch)
		return
	}
	kind, _ := changeKind(texts[0].Name)
	revision, err := op.options.Publisher.Propose(ctx, publisher.Change{
		ID: ch.ChangeID, Author: Name(ctx), Kind: kind, Base: ch.Base, Texts: texts,
	})
	if err != nil {
		writeError(rw, err)
		return
	}
	writeJSON(rw, http.StatusOK, Accepted{Revision: revision, ChangeID: ch.ChangeID})
}

// dryRunChange checks a change against the latest documents without applying it.
func (op *Operator) dryRunChange(ctx context.Context, rw http.ResponseWriter, ch Change) {
	do, revision, _ := op.latest(ctx)
	for _, dt := range ch.Documents {
		do = do.With(dt.Name, dt.Text)
	}
	if _, err := configurer.NewSnapshot(revision+1, do); err != nil {
		writeError(rw, err)
		return
	}
	writeJSON(rw, http.StatusOK, Accepted{Revision: revision, ChangeID: ch.ChangeID, DryRun: true})
}

// changeKind returns the kind under which the audit trail records the replacement of a list. It reports false for a
// document that operators cannot replace.
func changeKind(document string) (publisher.Kind, bool) {
	switch document {
	case configurer.DocumentPlans:
		return publisher.KindPlan, true
	case configurer.DocumentUses:
		return publisher.KindUses, true
	default:
		return "", false
	}
}

// checkChangeID answers with an error and returns false if a change id is empty or longer than maxChangeIDBytes.
func checkChangeID(rw http.ResponseWriter, id string) bool {
	if id == "" || len(id) > maxChangeIDBytes {
		writeFailure(rw, http.StatusBadRequest, Failure{Code: CodeBadRequest, Message: "a change-id of 1 to 128 bytes is needed"})
		return false
	}
	return true
}
