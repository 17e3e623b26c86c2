package publisher

import (
	"context"
	"errors"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"lovagebank/storer"
	"lovagebank/wire"
)

// upload stores the parts of the documents that a version changed, and enters them in its manifest. It returns the
// checks that make the manifest's transaction fail if a part was replaced or deleted meanwhile.
func (pu *Publisher) upload(ctx context.Context, ve *version) ([]storer.Step, error) {
	var checks []storer.Step
	for _, dv := range ve.manifest.Documents {
		if dv.Revision != ve.revision() {
			continue
		}
		text, _ := ve.documents.Text(dv.Name)
		packed, err := compress(text)
		if err != nil {
			return nil, err
		}
		dv.StoredHash, dv.Parts, dv.PartIndexes = hashOf(string(packed)), 0, nil
		for len(packed) > 0 {
			size := min(len(packed), partBytes)
			key := partKey(dv.StoredHash, int(dv.Parts))
			index, err := pu.uploadPart(ctx, key, packed[:size])
			if err != nil {
				return nil, err
			}
			packed = packed[size:]
			dv.Parts++
			dv.PartIndexes = append(dv.PartIndexes, index)
			checks = append(checks, storer.Check(key, index))
		}
	}
	if len(checks) > mostParts {
		return nil, oops.In("publisher").Errorf("the change has %d parts, at most %d are allowed", len(checks), mostParts)
	}
	return checks, nil
}

// uploadPart writes a part and returns its index. A part that is there already is written again: its new index
// outdates any deletion under way from when its content was replaced before.
func (pu *Publisher) uploadPart(ctx context.Context, key string, value []byte) (uint64, error) {
	index := uint64(0)
	en, err := pu.options.Get(ctx, key)
	switch {
	case err == nil:
		index = en.Index()
	case !errors.Is(err, storer.ErrNotFound):
		return 0, oops.In("publisher").Wrapf(err, "read %s", key)
	}
	entries, err := pu.options.Transact(ctx, []storer.Step{storer.Swap(key, value, index)})
	if err != nil {
		return 0, oops.In("publisher").Wrapf(err, "write %s", key)
	}
	if len(entries) != 1 {
		return 0, oops.In("publisher").Wrapf(storer.ErrUnknown, "write %s", key)
	}
	return entries[0].Index(), nil
}

// cleanUp deletes the parts that a change replaced. A failure leaves them in the store, where nothing reads them.
func (pu *Publisher) cleanUp(ctx context.Context, before, after *wire.Manifest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanUpTimeout)
	defer cancel()
	var steps []storer.Step
	for _, old := range before.Documents {
		current := versionOf(after, old.Name)
		if current == nil || string(current.StoredHash) == string(old.StoredHash) {
			continue
		}
		for part, index := range old.PartIndexes {
			steps = append(steps, storer.Delete(partKey(old.StoredHash, part), index))
		}
	}
	if len(steps) > 0 && len(steps) <= storer.MaxOperations {
		if _, err := pu.options.Transact(ctx, steps); err != nil {
			pu.options.Logger.Warn("Replaced parts not deleted.", "error", err.Error())
		}
	}
	if pu.options.SweepAudit == nil {
		return
	}
	if err := pu.options.SweepAudit(ctx, after.Revision); err != nil {
		pu.options.Logger.Warn("Audit trail not swept.", "error", err.Error())
	}
}

// repair writes the configuration in force to a store that holds an older one, as after a restore from a backup. The
// compare-and-swap keeps it from replacing anything newer.
func (pu *Publisher) repair(ctx context.Context) error {
	ve := pu.current.Load()
	sd, err := pu.readManifest(ctx)
	if err != nil || ve == nil || sd.manifest.Revision >= ve.revision() {
		return err
	}
	copied := &version{manifest: proto.CloneOf(ve.manifest), documents: ve.documents, snapshot: ve.snapshot}
	for _, dv := range copied.manifest.Documents {
		dv.Revision = ve.revision()
	}
	checks, err := pu.upload(ctx, copied)
	if err != nil {
		return err
	}
	value, err := proto.Marshal(copied.manifest)
	if err != nil {
		return oops.In("publisher").Wrapf(err, "encode the manifest")
	}
	_, err = pu.options.Transact(ctx, append([]storer.Step{storer.Swap(manifestKey, value, sd.index)}, checks...))
	if err == nil {
		pu.options.Logger.Warn("Store was behind and is up to date again.", "was", sd.manifest.Revision, "is", ve.revision())
	}
	return err
}
