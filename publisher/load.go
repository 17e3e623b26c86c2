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

// loadAttempts is the maximum number of attempts of a load when the manifest is replaced while its parts are read.
const loadAttempts = 5

// storedManifest is the store's manifest with its index for a compare-and-swap; index 0 means that it does not exist.
type storedManifest struct {
	manifest *wire.Manifest
	index    uint64
}

// readManifest reads the current manifest. If there is none, it returns an empty one with revision 0.
func (pu *Publisher) readManifest(ctx context.Context) (storedManifest, error) {
	en, err := pu.options.Get(ctx, manifestKey)
	if errors.Is(err, storer.ErrNotFound) {
		return storedManifest{manifest: &wire.Manifest{}}, nil
	}
	if err != nil {
		return storedManifest{}, oops.In("publisher").Wrapf(err, "read the manifest")
	}
	return decodeManifest(en)
}

func decodeManifest(en storer.Entry) (storedManifest, error) {
	ma := &wire.Manifest{}
	if err := proto.Unmarshal(en.Value(), ma); err != nil {
		return storedManifest{}, oops.In("publisher").Wrapf(err, "decode the manifest")
	}
	return storedManifest{manifest: ma, index: en.Index()}, nil
}

// load puts the store's latest configuration in force and returns its manifest and version. The version is nil if the
// store holds no configuration or one older than the configuration in force.
func (pu *Publisher) load(ctx context.Context) (storedManifest, *version, error) {
	for attempt := 1; ; attempt++ {
		sd, err := pu.readManifest(ctx)
		if err != nil {
			return sd, nil, err
		}
		ve, err := pu.applyManifest(ctx, sd.manifest)
		if errors.Is(err, errPartMissing) && attempt < loadAttempts {
			continue
		}
		return sd, ve, err
	}
}

// applyManifest obtains the documents of a manifest, from patches or from the store, and puts them in force. It returns
// nil for a manifest without a revision or one older than the configuration in force.
func (pu *Publisher) applyManifest(ctx context.Context, ma *wire.Manifest) (*version, error) {
	current := pu.current.Load()
	if ma.Revision == 0 || ma.Revision < current.revision() {
		return nil, nil
	}
	if ma.Revision == current.revision() {
		return current, nil
	}
	do, ok := applyPatches(current, ma)
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

// readDocuments returns the documents of a manifest. It reads those from the store that differ from current.
func (pu *Publisher) readDocuments(ctx context.Context, current *version, ma *wire.Manifest) (configurer.Documents, error) {
	var do configurer.Documents
	for _, dv := range ma.Documents {
		if old := current.unchangedText(dv); old != nil {
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

// unchangedText returns the text of a document if the version holds it with the hash that a manifest names, or nil.
func (ve *version) unchangedText(dv *wire.DocumentVersion) *string {
	if ve == nil {
		return nil
	}
	old := findDocumentVersion(ve.manifest, dv.Name)
	if old == nil || string(old.TextHash) != string(dv.TextHash) {
		return nil
	}
	text, _ := ve.documents.Text(dv.Name)
	return &text
}

func (pu *Publisher) readDocument(ctx context.Context, dv *wire.DocumentVersion) (string, error) {
	var compressed []byte
	for part := range int(dv.Parts) {
		en, err := pu.options.Get(ctx, partKey(dv.StoredHash, part))
		if errors.Is(err, storer.ErrNotFound) {
			return "", errPartMissing
		}
		if err != nil {
			return "", oops.In("publisher").Wrapf(err, "read part %d of %s", part, dv.Name)
		}
		compressed = append(compressed, en.Value()...)
	}
	return decompress(compressed, dv.TextHash)
}
