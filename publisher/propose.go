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
	"lovagebank/pauser"
	"lovagebank/storer"
	"lovagebank/wire"
)

const (
	// proposeAttempts bounds the reads and writes of one proposal.
	proposeAttempts = 16
	proposePause    = 50 * time.Millisecond
	cleanUpTimeout  = 2 * time.Second
)

// Kind tells, in the audit trail, what sort of change was made.
type Kind string

// The kinds of change.
const (
	KindPlan        Kind = "plan"
	KindUses        Kind = "uses"
	KindKeyIssue    Kind = "key-issue"
	KindKeyWithdraw Kind = "key-withdraw"
)

// Change replaces the text of documents.
type Change struct {
	// ID makes the change idempotent: sent again with the same ID it is accepted once.
	ID     string
	Author string
	Kind   Kind
	// Base is the revision that the texts were made from; 0 before there is one.
	Base uint64
	// Texts are the documents that change.
	Texts []Text
}

// Text is the new text of one document.
type Text struct {
	Name string
	Text string
}

// Edit is a change that is made anew on the latest revision until no other change comes between.
type Edit struct {
	ID     string
	Author string
	Kind   Kind
	// Fingerprint identifies what is to be done, to tell a repeated edit from another under the same ID.
	Fingerprint string
	// Apply makes the change. An error ends the edit and is returned.
	Apply func(do configurer.Documents) (configurer.Documents, error)
}

// proposal is a change on its way into the store.
type proposal struct {
	id     string
	author string
	kind   Kind
	digest []byte
	// base is the revision that the change must start from, unless it may start from any.
	base    uint64
	anyBase bool
	apply   func(do configurer.Documents) (configurer.Documents, error)
	// unsure is set once an attempt may have taken effect.
	unsure bool
}

// Propose brings a change into force, all of it or nothing. It returns the revision that the change made. The error is
// configurer.Faults for a bad text, a *Conflict when another change came first, or one of this package's.
func (pu *Publisher) Propose(ctx context.Context, ch Change) (uint64, error) {
	pr := &proposal{
		id: ch.ID, author: ch.Author, kind: ch.Kind, digest: digestOf(ch.Texts), base: ch.Base,
		apply: func(do configurer.Documents) (configurer.Documents, error) {
			for _, tx := range ch.Texts {
				if _, known := do.Text(tx.Name); !known {
					return do, oops.In("publisher").Errorf("there is no document %q", tx.Name)
				}
				do = do.With(tx.Name, tx.Text)
			}
			return do, nil
		},
	}
	return pu.propose(ctx, pr)
}

// Edit brings an edit into force, on whatever revision is the latest.
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
		revision, again, err := pu.attempt(ctx, pr)
		if !again {
			return revision, err
		}
		if attempt == proposeAttempts || !pauser.For(ctx, proposePause) {
			return 0, pr.failure(err)
		}
	}
}

// failure says whether the change can have been accepted.
func (pr *proposal) failure(err error) error {
	if pr.unsure {
		return errors.Join(ErrUnknown, err)
	}
	return errors.Join(ErrNotAccepted, err)
}

// attempt reads the store and, unless that settles the matter, writes the change. again is true when only another
// attempt can tell.
func (pu *Publisher) attempt(ctx context.Context, pr *proposal) (revision uint64, again bool, err error) {
	sd, ve, err := pu.load(ctx)
	if err != nil {
		return 0, false, pr.failure(err)
	}
	if mark, found, err := pu.accepted(ctx, sd, pr); found || err != nil {
		return mark, false, err
	}
	if sd.manifest.Revision < max(pu.Revision(), pu.highest.Load()) {
		if pr.unsure {
			return 0, false, pr.failure(ErrStoreBehind)
		}
		return 0, false, ErrStoreBehind
	}
	if !pr.anyBase && sd.manifest.Revision != pr.base {
		return 0, false, conflictOf(pr, sd.manifest)
	}
	next, err := pu.prepare(ve, sd, pr)
	if err != nil {
		return 0, false, err
	}
	if next == nil {
		return sd.manifest.Revision, false, nil
	}
	return pu.write(ctx, sd, ve, next, pr)
}

// accepted looks for the change among those already accepted.
func (pu *Publisher) accepted(ctx context.Context, sd stored, pr *proposal) (uint64, bool, error) {
	if mark := findMark(sd.manifest, pr.id); mark != nil {
		if string(mark.Digest) != string(pr.digest) {
			return 0, false, ErrChangeReused
		}
		return mark.Revision, true, nil
	}
	// A change of a certain base can only have made the revision that follows it.
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

// prepare makes the version that the change leads to, and checks it. It returns nil when the change changes nothing.
func (pu *Publisher) prepare(ve *version, sd stored, pr *proposal) (*version, error) {
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
	keepMark(ma, &wire.ChangeMark{ChangeId: pr.id, Author: pr.author, Revision: ma.Revision, Digest: pr.digest})
	var patches []*wire.Patch
	for _, name := range configurer.DocumentNames() {
		old, _ := before.Text(name)
		text, _ := after.Text(name)
		if old == text && versionOf(ma, name) != nil {
			continue
		}
		if len(text) > longestText {
			return nil, oops.In("publisher").Errorf("document %s is longer than %d bytes", name, longestText)
		}
		setVersion(ma, &wire.DocumentVersion{Name: name, Revision: ma.Revision, TextHash: hashOf(text)})
		patches = append(patches, makePatch(name, ma.Revision, old, text))
	}
	if len(patches) == 0 {
		return nil, nil
	}
	keepPatches(ma, patches)
	return newVersion(ve, ma, after)
}

func setVersion(ma *wire.Manifest, dv *wire.DocumentVersion) {
	for at, old := range ma.Documents {
		if old.Name == dv.Name {
			ma.Documents[at] = dv
			return
		}
	}
	ma.Documents = append(ma.Documents, dv)
}

// write stores the changed documents, and then the manifest with the audit entry in one transaction.
func (pu *Publisher) write(ctx context.Context, sd stored, ve, next *version, pr *proposal) (uint64, bool, error) {
	checks, err := pu.upload(ctx, next)
	if err != nil {
		return 0, !refused(err), pr.failure(err)
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
		pr.unsure = true
		return 0, true, err
	case errors.Is(err, storer.ErrConflict):
		return 0, true, err
	default:
		return 0, pr.unsure, pr.failure(err)
	}
}

// refused tells that a write certainly took no effect and that trying again at once won't help.
func refused(err error) bool {
	return errors.Is(err, storer.ErrRefused) && !errors.Is(err, storer.ErrConflict)
}

func auditEntry(ve, next *version, pr *proposal) *wire.AuditEntry {
	cp := configurer.Compare(ve.base(), next.snapshot)
	names, all := cp.AffectedOrganisations()
	return &wire.AuditEntry{
		RevisionBefore: next.revision() - 1, RevisionAfter: next.revision(), AtMs: time.Now().UnixMilli(),
		Author: pr.author, ChangeId: pr.id, Kind: string(pr.kind), Summary: cp.Summary(auditor.MaxSummaryBytes),
		Organisations: names, AllOrganisations: all,
	}
}

// raise sets a counter to a value unless it is higher already.
func raise(counter *atomic.Uint64, value uint64) {
	for {
		old := counter.Load()
		if old >= value || counter.CompareAndSwap(old, value) {
			return
		}
	}
}
