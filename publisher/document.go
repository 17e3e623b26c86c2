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
	// partBytes bounds a stored part. A transaction carries values in base64, within the store's half megabyte.
	partBytes = 256 << 10
	// mostParts bounds a document to what one transaction can check besides the manifest and the audit entry.
	mostParts = 16
	// longestText bounds a document's text, so that a small compressed one cannot fill the memory.
	longestText = 16 << 20
)

// version is the configuration at one revision. It does not change.
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

// versionOf returns the entry of a document in a manifest, or nil.
func versionOf(ma *wire.Manifest, name string) *wire.DocumentVersion {
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
	var packed bytes.Buffer
	gz := gzip.NewWriter(&packed)
	if _, err := io.WriteString(gz, text); err != nil {
		return nil, oops.In("publisher").Wrapf(err, "compress")
	}
	if err := gz.Close(); err != nil {
		return nil, oops.In("publisher").Wrapf(err, "compress")
	}
	return packed.Bytes(), nil
}

// decompress checks a document against the hash of its text.
func decompress(packed, textHash []byte) (string, error) {
	gz, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return "", oops.In("publisher").Wrapf(err, "decompress")
	}
	text, err := io.ReadAll(io.LimitReader(gz, longestText+1))
	if err != nil {
		return "", oops.In("publisher").Wrapf(err, "decompress")
	}
	if len(text) > longestText {
		return "", oops.In("publisher").Errorf("document is longer than %d bytes", longestText)
	}
	if !bytes.Equal(hashOf(string(text)), textHash) {
		return "", oops.In("publisher").Errorf("document does not match its hash")
	}
	return string(text), nil
}

// newVersion checks documents and joins them with their manifest. previous may be nil.
func newVersion(previous *version, ma *wire.Manifest, do configurer.Documents) (*version, error) {
	base := previous.base()
	sn, err := base.Next(ma.Revision, do)
	if err != nil {
		return nil, err
	}
	return &version{manifest: ma, documents: do, snapshot: sn}, nil
}

// base returns the snapshot from which the next one takes what did not change.
func (ve *version) base() *configurer.Snapshot {
	if ve == nil {
		return configurer.EmptySnapshot()
	}
	return ve.snapshot
}
