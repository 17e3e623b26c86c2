package publisher

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"lovagebank/auditor"
	"lovagebank/configurer"
	"lovagebank/sleeper"
	"lovagebank/storer"
	"lovagebank/wire"
)

const (
	// maxProposeAttempts is the maximum number of attempts, each with a read and a write, of one proposal.
	maxProposeAttempts = 16
	proposeRetryWait   = 50 * time.Millisecond
	cleanUpTimeout     = 2 * time.Second
)

// Kind is the kind of a change, as recorded in the audit trail.
type Kind string

// The kinds of change.
const (
	KindPlan        Kind = "plan"
	KindUses        Kind = "uses"
	KindKeyIssue    Kind = "key-issue"
	KindKeyWithdraw Kind = "key-withdraw"
)

// Change replaces the texts of documents, based on a given revision.
type Change struct {
	// ID makes the change idempotent: a change that is sent again with the same ID is accepted once.
	ID     string
	Author string
	Kind   Kind
	// Base is the revision that the texts were edited from; 0 if there is none yet.
	Base uint64
	// Texts are the new texts of the documents that change.
	Texts []Text
}

// Text is the new text of one document.
type Text struct {
	Name string
	Text string
}

// Edit is a change that is applied to the latest revision, again after each conflict with another change.
type Edit struct {
	ID     string
	Author string
	Kind   Kind
	// Fingerprint identifies the content of the edit, to distinguish a repeated edit from another with the same ID.
	Fingerprint string
	// Apply returns the changed documents. An error ends the edit and is returned.
	Apply func(do configurer.Documents) (configurer.Documents, error)
}

// proposal is a change that is being written to the store.
type proposal struct {
	id     string
	author string
	kind   Kind
	digest []byte
	// base is the revision that the change must be based on, unless anyBase is set.
	base    uint64
	anyBase bool
	apply   func(do configurer.Documents) (configurer.Documents, error)
	// maybeAccepted is set after an attempt that may have taken effect.
	maybeAccepted bool
}

// Propose puts a change in force atomically and returns the revision that the change made. The error is
// configurer.Faults for an invalid text, a *Conflict if another change was accepted first, or one of this package's
// errors.
func (pu *Publisher) Propose(ctx context.Context, ch Change) (uint64, error) {
	pr := &proposal{
		id: ch.ID, author: ch.Author, kind: ch.Kind, digest: digestOf(ch.Texts), base: ch.Base,
		apply: func(do configurer.Documents) (configurer.Documents, error) {
			for _, tx := range ch.Texts {
				if _, exists := do.Text(tx.Name); !exists {
					return do, oops.In("publisher").Errorf("there is no document %q", tx.Name)
				}
				do = do.With(tx.Name, tx.Text)
			}
			return do, nil
		},
	}
	return pu.propose(ctx, pr)
}

// Edit puts an edit in force, based on the latest revision, and returns the revision that it made. Its errors are those
// of Propose, without *Conflict, and those of the edit's Apply.
func (pu *Publisher) Edit(ctx context.Context, ed Edit) (uint64, error) {
	pr := &proposal{
		id: ed.ID, author: ed.Author, kind: ed.Kind, digest: hashOf(ed.Fingerprint), anyBase: true, apply: ed.Apply,
	}
	return pu.propose(ctx, pr)
}

func digestOf(texts []Text) []byte {
	hash := sha256.New()
	for _, tx := range texts {
		for _, part := range []string{tx.Name, tx.Text} {
			_ = binary.Write(hash, binary.BigEndian, uint64(len(part)))
			hash.Write([]byte(part))
		}
	}
	return hash.Sum(nil)
}

func (pu *Publisher) propose(ctx context.Context, pr *proposal) (uint64, error) {
	if pr.id == "" || pr.author == "" {
		return 0, oops.In("publisher").Errorf("a change needs an id and an author")
	}
	for attempt := 1; ; attempt++ {
		revision, retry, err := pu.attempt(ctx, pr)
		if !retry {
			return revision, err
		}
		if attempt == maxProposeAttempts || !sleeper.For(ctx, proposeRetryWait) {
			return 0, pr.failure(err)
		}
	}
}

// failure wraps an error in ErrUnknown if the change may have been accepted, and otherwise in ErrNotAccepted.
func (pr *proposal) failure(err error) error {
	if pr.maybeAccepted {
		return errors.Join(ErrUnknown, err)
	}
	return errors.Join(ErrNotAccepted, err)
}

// attempt reads the store and, unless that already decides the outcome, writes the change. retry is true if another
// attempt is needed to decide the outcome.
func (pu *Publisher) attempt(ctx context.Context, pr *proposal) (revision uint64, retry bool, err error) {
	sd, ve, err := pu.load(ctx)
	if err != nil {
		return 0, false, pr.failure(err)
	}
	if acceptedAt, found, err := pu.findAccepted(ctx, sd, pr); found || err != nil {
		return acceptedAt, false, err
	}
	if sd.manifest.Revision < max(pu.Revision(), pu.highestSeen.Load()) {
		if pr.maybeAccepted {
			return 0, false, pr.failure(ErrStoreBehind)
		}
		return 0, false, ErrStoreBehind
	}
	if !pr.anyBase && sd.manifest.Revision != pr.base {
		return 0, false, conflictOf(pr, sd.manifest)
	}
	next, err := pu.nextVersion(ve, sd, pr)
	if err != nil {
		return 0, false, err
	}
	if next == nil {
		return sd.manifest.Revision, false, nil
	}
	return pu.commit(ctx, sd, ve, next, pr)
}

// findAccepted looks for the change among those accepted earlier and returns the revision that it made.
func (pu *Publisher) findAccepted(ctx context.Context, sd storedManifest, pr *proposal) (uint64, bool, error) {
	if mark := findMark(sd.manifest, pr.id); mark != nil {
		if string(mark.Digest) != string(pr.digest) {
			return 0, false, ErrChangeReused
		}
		return mark.Revision, true, nil
	}
	// A change with a fixed base can only have made the revision after that base.
	if pr.anyBase || sd.manifest.Revision <= pr.base || pu.options.FindAuditEntry == nil {
		return 0, false, nil
	}
	en, found, err := pu.options.FindAuditEntry(ctx, pr.base+1)
	if err != nil {
		return 0, false, pr.failure(err)
	}
	return pr.base + 1, found && en.ChangeId == pr.id, nil
}

func conflictOf(pr *proposal, ma *wire.Manifest) *Conflict {
	return &Conflict{base: pr.base, revision: ma.Revision, winner: ma.Author, changeID: ma.ChangeId}
}

// nextVersion returns the validated version that results from the change, or nil if the change changes nothing.
func (pu *Publisher) nextVersion(ve *version, sd storedManifest, pr *proposal) (*version, error) {
	var before configurer.Documents
	if ve != nil {
		before = ve.documents
	}
	after, err := pr.apply(before)
	if err != nil {
		return nil, err
	}
	ma := proto.CloneOf(sd.manifest)
	ma.Revision++
	ma.ChangeId, ma.Author = pr.id, pr.author
	appendMark(ma, &wire.ChangeMark{ChangeId: pr.id, Author: pr.author, Revision: ma.Revision, Digest: pr.digest})
	var patches []*wire.Patch
	for _, name := range configurer.DocumentNames() {
		old, _ := before.Text(name)
		text, _ := after.Text(name)
		if old == text && findDocumentVersion(ma, name) != nil {
			continue
		}
		if len(text) > maxTextBytes {
			return nil, oops.In("publisher").Errorf("document %s is longer than %d bytes", name, maxTextBytes)
		}
		setDocumentVersion(ma, &wire.DocumentVersion{Name: name, Revision: ma.Revision, TextHash: hashOf(text)})
		patches = append(patches, makePatch(name, ma.Revision, old, text))
	}
	if len(patches) == 0 {
		return nil, nil
	}
	appendPatches(ma, patches)
	return newVersion(ve, ma, after)
}

func setDocumentVersion(ma *wire.Manifest, dv *wire.DocumentVersion) {
	for at, old := range ma.Documents {
		if old.Name == dv.Name {
			ma.Documents[at] = dv
			return
		}
	}
	ma.Documents = append(ma.Documents, dv)
}

// commit writes the changed documents to the store, and then the manifest with the audit entry in one transaction. Its
// boolean result is true if another attempt is needed.
func (pu *Publisher) commit(ctx context.Context, sd storedManifest, ve, next *version, pr *proposal) (uint64, bool, error) {
	checks, err := pu.upload(ctx, next)
	if err != nil {
		return 0, !isRefused(err), pr.failure(err)
	}
	value, err := proto.Marshal(next.manifest)
	if err != nil {
		return 0, false, oops.In("publisher").Wrapf(err, "encode the manifest")
	}
	entry, err := pu.options.AuditStep(ctx, auditEntry(ve, next, pr))
	if err != nil {
		return 0, false, pr.failure(err)
	}
	steps := append([]storer.Step{storer.Swap(manifestKey, value, sd.index), entry}, checks...)
	_, err = pu.options.Transact(ctx, steps)
	switch {
	case err == nil:
		pu.adopt(next)
		pu.cleanUp(ctx, sd.manifest, next.manifest)
		return next.revision(), false, nil
	case errors.Is(err, storer.ErrUnknown):
		pr.maybeAccepted = true
		return 0, true, err
	case errors.Is(err, storer.ErrConflict):
		return 0, true, err
	default:
		return 0, pr.maybeAccepted, pr.failure(err)
	}
}

// isRefused reports whether a write certainly had no effect and an immediate retry would not succeed.
func isRefused(err error) bool {
	return errors.Is(err, storer.ErrRefused) && !errors.Is(err, storer.ErrConflict)
}

func auditEntry(ve, next *version, pr *proposal) *wire.AuditEntry {
	cp := configurer.Compare(ve.baseSnapshot(), next.snapshot)
	names, all := cp.AffectedOrganisations()
	return &wire.AuditEntry{
		RevisionBefore: next.revision() - 1, RevisionAfter: next.revision(), AtMs: time.Now().UnixMilli(),
		Author: pr.author, ChangeId: pr.id, Kind: string(pr.kind), Summary: cp.Summary(auditor.MaxSummaryBytes),
		Organisations: names, AllOrganisations: all,
	}
}

// storeMax sets a counter to a value unless the counter is higher already.
func storeMax(counter *atomic.Uint64, value uint64) {
	for {
		old := counter.Load()
		if old >= value || counter.CompareAndSwap(old, value) {
			return
		}
	}
}
