package operator

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"lovagebank/configurer"
	"lovagebank/publisher"
)

// maxWithdrawnKeys is the number of withdrawn keys that stay on the list. Only the latest are kept; the audit trail
// records the others.
const maxWithdrawnKeys = 1000

var (
	errAlreadyIssued = errors.New("a key was issued under this change id; it was shown then and cannot be shown again: " +
		"withdraw it and issue another")
	errNoKey = errors.New("there is no such key")
)

func (op *Operator) getKeys(rw http.ResponseWriter, hr *http.Request) {
	do, revision, _ := op.latest(hr.Context())
	sn := op.options.Publisher.Current()
	if sn == nil || sn.Revision() != revision {
		var err error
		if sn, err = configurer.NewSnapshot(revision, do); err != nil {
			writeError(rw, err)
			return
		}
	}
	list := KeyList{Revision: revision, Keys: []Key{}}
	organisation := hr.URL.Query().Get("organisation")
	for _, ke := range sn.Keys() {
		if organisation == "" || ke.Organisation() == organisation {
			list.Keys = append(list.Keys, Key{
				ID: ke.ID(), Organisation: ke.Organisation(), Expires: ke.Expires(), Withdrawn: ke.Withdrawn(),
			})
		}
	}
	writeJSON(rw, http.StatusOK, list)
}

func (op *Operator) postKey(rw http.ResponseWriter, hr *http.Request) {
	var ki KeyIssue
	if !readJSON(rw, hr, &ki) {
		return
	}
	raw, err := hex.DecodeString(ki.Hash)
	if err != nil || len(raw) != 32 {
		writeFailure(rw, http.StatusBadRequest, Failure{Code: CodeBadRequest, Message: "the hash is not a SHA-256 in hexadecimal"})
		return
	}
	if !ki.Expires.IsZero() && ki.Expires.Before(time.Now()) {
		writeFailure(rw, http.StatusBadRequest, Failure{Code: CodeBadRequest, Message: "the key would expire in the past"})
		return
	}
	op.edit(rw, hr, ki.DryRun, publisher.Edit{
		ID: ki.ChangeID, Kind: publisher.KindKeyIssue, Fingerprint: fmt.Sprint("issue ", ki.ID, ki.Organisation, ki.Hash, ki.Expires),
		Apply: func(do configurer.Documents) (configurer.Documents, error) {
			text, _ := do.Text(configurer.DocumentKeys)
			if configurer.HasSection(text, "key "+ki.ID) {
				if strings.Contains(text, ki.Hash) {
					return do, nil
				}
				return do, errAlreadyIssued
			}
			text = configurer.PruneKeys(text, maxWithdrawnKeys)
			text = configurer.AddKey(text, ki.ID, ki.Organisation, [32]byte(raw), ki.Expires)
			return do.With(configurer.DocumentKeys, text), nil
		},
	})
}

func (op *Operator) postWithdraw(rw http.ResponseWriter, hr *http.Request) {
	var kw KeyWithdrawal
	if !readJSON(rw, hr, &kw) {
		return
	}
	id := chi.URLParam(hr, "id")
	op.edit(rw, hr, kw.DryRun, publisher.Edit{
		ID: kw.ChangeID, Kind: publisher.KindKeyWithdraw, Fingerprint: "withdraw " + id,
		Apply: func(do configurer.Documents) (configurer.Documents, error) {
			text, _ := do.Text(configurer.DocumentKeys)
			text, found := configurer.WithdrawKey(text, id)
			if !found {
				return do, errNoKey
			}
			return do.With(configurer.DocumentKeys, text), nil
		},
	})
}

// edit applies an edit and answers with the outcome. For a dry run it only checks the edit.
func (op *Operator) edit(rw http.ResponseWriter, hr *http.Request, dryRun bool, ed publisher.Edit) {
	if !checkChangeID(rw, ed.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(hr.Context(), proposeTimeout)
	defer cancel()
	ed.Author = Name(ctx)
	var revision uint64
	var err error
	if dryRun {
		revision, err = op.dryRunEdit(ctx, ed)
	} else {
		revision, err = op.options.Publisher.Edit(ctx, ed)
	}
	if errors.Is(err, publisher.ErrChangeReused) && ed.Kind == publisher.KindKeyIssue {
		err = errAlreadyIssued
	}
	if err != nil {
		writeError(rw, err)
		return
	}
	writeJSON(rw, http.StatusOK, Accepted{Revision: revision, ChangeID: ed.ID, DryRun: dryRun})
}

func (op *Operator) dryRunEdit(ctx context.Context, ed publisher.Edit) (uint64, error) {
	do, revision, _ := op.latest(ctx)
	after, err := ed.Apply(do)
	if err != nil {
		return 0, err
	}
	_, err = configurer.NewSnapshot(revision+1, after)
	return revision, err
}
