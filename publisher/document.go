package publisher

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"

	"github.com/samber/oops"

	"lovagebank/configurer"
	"lovagebank/wire"
)

const (
	keyPrefix   = "lovagebank/config/"
	manifestKey = keyPrefix + "manifest"
	partPrefix  = keyPrefix + "parts/"
	// maxPartBytes is the maximum size of a stored part. A transaction carries values in base64, and the store limits it
	// to half a megabyte.
	maxPartBytes = 256 << 10
	// maxParts is the maximum number of parts of a change, so that one transaction can check them all in addition to
	// writing the manifest and the audit entry.
	maxParts = 16
	// maxTextBytes is the maximum size of a document's text, so that a small compressed document cannot fill the memory.
	maxTextBytes = 16 << 20
)

// version is the configuration at one revision. It is immutable.
type version struct {
	manifest  *wire.Manifest
	documents configurer.Documents
	snapshot  *configurer.Snapshot
}

func (ve *version) revision() uint64 {
	if ve == nil {
		return 0
	}
	return ve.manifest.Revision
}

// findDocumentVersion returns the entry of a document in a manifest, or nil.
func findDocumentVersion(ma *wire.Manifest, name string) *wire.DocumentVersion {
	for _, dv := range ma.GetDocuments() {
		if dv.Name == name {
			return dv
		}
	}
	return nil
}

func partKey(storedHash []byte, part int) string {
	return fmt.Sprintf("%s%s/%d", partPrefix, hex.EncodeToString(storedHash), part)
}

func hashOf(text string) []byte {
	hash := sha256.Sum256([]byte(text))
	return hash[:]
}

func compress(text string) ([]byte, error) {
	var compressed bytes.Buffer
	gz := gzip.NewWriter(&compressed)
	if _, err := io.WriteString(gz, text); err != nil {
		return nil, oops.In("publisher").Wrapf(err, "compress")
	}
	if err := gz.Close(); err != nil {
		return nil, oops.In("publisher").Wrapf(err, "compress")
	}
	return compressed.Bytes(), nil
}

// decompress returns the text of a compressed document. It returns an error if the text is too long or does not match
// textHash.
func decompress(compressed, textHash []byte) (string, error) {
	gz, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return "", oops.In("publisher").Wrapf(err, "decompress")
	}
	text, err := io.ReadAll(io.LimitReader(gz, maxTextBytes+1))
	if err != nil {
		return "", oops.In("publisher").Wrapf(err, "decompress")
	}
	if len(text) > maxTextBytes {
		return "", oops.In("publisher").Errorf("document is longer than %d bytes", maxTextBytes)
	}
	if !bytes.Equal(hashOf(string(text)), textHash) {
		return "", oops.In("publisher").Errorf("document does not match its hash")
	}
	return string(text), nil
}

// newVersion validates documents and returns them as a version with their manifest. previous may be nil.
func newVersion(previous *version, ma *wire.Manifest, do configurer.Documents) (*version, error) {
	base := previous.baseSnapshot()
	sn, err := base.Next(ma.Revision, do)
	if err != nil {
		return nil, err
	}
	return &version{manifest: ma, documents: do, snapshot: sn}, nil
}

// baseSnapshot returns the snapshot whose unchanged parts the next snapshot reuses; an empty one if there is no version.
func (ve *version) baseSnapshot() *configurer.Snapshot {
	if ve == nil {
		return configurer.EmptySnapshot()
	}
	return ve.snapshot
}
