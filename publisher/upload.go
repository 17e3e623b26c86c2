package publisher

import (
	"context"
	"errors"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"lovagebank/storer"
	"lovagebank/wire"
)

// upload writes the parts of the documents that a version changed to the store and records them in its manifest. It
// returns the checks that make the manifest's transaction fail if a part is replaced or deleted before it.
func (pu *Publisher) upload(ctx context.Context, ve *version) ([]storer.Step, error) {
	var checks []storer.Step
	for _, dv := range ve.manifest.Documents {
		if dv.Revision != ve.revision() {
			continue
		}
		text, _ := ve.documents.Text(dv.Name)
		compressed, err := compress(text)
		if err != nil {
			return nil, err
		}
		dv.StoredHash, dv.Parts, dv.PartIndexes = hashOf(string(compressed)), 0, nil
		for len(compressed) > 0 {
			size := min(len(compressed), maxPartBytes)
			key := partKey(dv.StoredHash, int(dv.Parts))
			index, err := pu.uploadPart(ctx, key, compressed[:size])
			if err != nil {
				return nil, err
			}
			compressed = compressed[size:]
			dv.Parts++
			dv.PartIndexes = append(dv.PartIndexes, index)
			checks = append(checks, storer.Check(key, index))
		}
	}
	if len(checks) > maxParts {
		return nil, oops.In("publisher").Errorf("the change has %d parts, at most %d are allowed", len(checks), maxParts)
	}
	return checks, nil
}

// uploadPart writes a part and returns its index. An existing part is written again: its new index makes any pending
// deletion fail that was issued when the same content was replaced earlier.
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

// cleanUp deletes the parts that a change replaced and sweeps the audit trail. Parts that a failed deletion leaves in
// the store are never read.
func (pu *Publisher) cleanUp(ctx context.Context, before, after *wire.Manifest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanUpTimeout)
	defer cancel()
	var steps []storer.Step
	for _, old := range before.Documents {
		current := findDocumentVersion(after, old.Name)
		if current == nil || string(current.StoredHash) == string(old.StoredHash) {
			continue
		}
		for part, index := range old.PartIndexes {
			steps = append(steps, storer.Delete(partKey(old.StoredHash, part), index))
		}
	}
	if len(steps) > 0 && len(steps) <= storer.MaxOperations {
		if _, err := pu.options.Transact(ctx, steps); err != nil {
			pu.options.Logger.Warn("deleting replaced parts failed", "error", err.Error())
		}
	}
	if pu.options.SweepAudit == nil {
		return
	}
	if err := pu.options.SweepAudit(ctx, after.Revision); err != nil {
		pu.options.Logger.Warn("sweeping the audit trail failed", "error", err.Error())
	}
}

// repairStore writes the configuration in force to a store that holds an older one, for example after a restore from a
// backup. The compare-and-swap prevents it from replacing a newer one.
func (pu *Publisher) repairStore(ctx context.Context) error {
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
		pu.options.Logger.Warn("outdated store repaired", "was", sd.manifest.Revision, "is", ve.revision())
	}
	return err
}
