package publisher

import (
	"context"
	"errors"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"

	"lovagebank/configurer"
	"lovagebank/storer"
	"lovagebank/wire"
)

// loadAttempts is how often a load starts again because the manifest was replaced meanwhile.
const loadAttempts = 5

// stored is the store's manifest with the index to compare and swap by; index 0 stands for none.
type stored struct {
	manifest *wire.Manifest
	index    uint64
}

// readManifest reads the manifest as it is now. An absent one is of revision 0.
func (pu *Publisher) readManifest(ctx context.Context) (stored, error) {
	en, err := pu.options.Get(ctx, manifestKey)
	if errors.Is(err, storer.ErrNotFound) {
		return stored{manifest: &wire.Manifest{}}, nil
	}
	if err != nil {
		return stored{}, oops.In("publisher").Wrapf(err, "read the manifest")
	}
	return decodeManifest(en)
}

func decodeManifest(en storer.Entry) (stored, error) {
	ma := &wire.Manifest{}
	if err := proto.Unmarshal(en.Value(), ma); err != nil {
		return stored{}, oops.In("publisher").Wrapf(err, "decode the manifest")
	}
	return stored{manifest: ma, index: en.Index()}, nil
}

// load brings the newest configuration of the store in force. It returns what the store holds; its version is nil when
// the store holds none, or one older than that in force.
func (pu *Publisher) load(ctx context.Context) (stored, *version, error) {
	for attempt := 1; ; attempt++ {
		sd, err := pu.readManifest(ctx)
		if err != nil {
			return sd, nil, err
		}
		ve, err := pu.complete(ctx, sd.manifest)
		if errors.Is(err, errPartGone) && attempt < loadAttempts {
			continue
		}
		return sd, ve, err
	}
}

// complete finds the documents of a manifest and brings them in force. It returns nil for a manifest without revision
// or older than the configuration in force.
func (pu *Publisher) complete(ctx context.Context, ma *wire.Manifest) (*version, error) {
	current := pu.current.Load()
	if ma.Revision == 0 || ma.Revision < current.revision() {
		return nil, nil
	}
	if ma.Revision == current.revision() {
		return current, nil
	}
	do, ok := patched(current, ma)
	if !ok {
		var err error
		if do, err = pu.readDocuments(ctx, current, ma); err != nil {
			return nil, err
		}
	}
	ve, err := newVersion(current, ma, do)
	if err != nil {
		return nil, oops.In("publisher").Wrapf(err, "check revision %d", ma.Revision)
	}
	pu.adopt(ve)
	return ve, nil
}

// readDocuments reads from the store the documents that differ from those in force.
func (pu *Publisher) readDocuments(ctx context.Context, current *version, ma *wire.Manifest) (configurer.Documents, error) {
	var do configurer.Documents
	for _, dv := range ma.Documents {
		if old := current.document(dv); old != nil {
			do = do.With(dv.Name, *old)
			continue
		}
		text, err := pu.readDocument(ctx, dv)
		if err != nil {
			return do, err
		}
		do = do.With(dv.Name, text)
	}
	return do, nil
}

// document returns the text of a document that the version holds just as a manifest names it, or nil.
func (ve *version) document(dv *wire.DocumentVersion) *string {
	if ve == nil {
		return nil
	}
	old := versionOf(ve.manifest, dv.Name)
	if old == nil || string(old.TextHash) != string(dv.TextHash) {
		return nil
	}
	text, _ := ve.documents.Text(dv.Name)
	return &text
}

func (pu *Publisher) readDocument(ctx context.Context, dv *wire.DocumentVersion) (string, error) {
	var packed []byte
	for part := range int(dv.Parts) {
		en, err := pu.options.Get(ctx, partKey(dv.StoredHash, part))
		if errors.Is(err, storer.ErrNotFound) {
			return "", errPartGone
		}
		if err != nil {
			return "", oops.In("publisher").Wrapf(err, "read part %d of %s", part, dv.Name)
		}
		packed = append(packed, en.Value()...)
	}
	return decompress(packed, dv.TextHash)
}
