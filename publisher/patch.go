package publisher

import (
	"bytes"

	"github.com/samber/oops"

	"lovagebank/configurer"
	"lovagebank/wire"
)

const (
	// maxPatchBytes is the maximum size of the patches in a manifest, because each instance that watches the manifest reads
	// them with every change.
	maxPatchBytes      = 4 << 10
	patchOverheadBytes = 32
	// maxMarks is the maximum number of accepted changes that a manifest lists; older ones are in the audit trail.
	maxMarks = 32
)

// makePatch returns a patch that replaces a single range of bytes to turn before into after.
func makePatch(document string, revision uint64, before, after string) *wire.Patch {
	start := 0
	for start < min(len(before), len(after)) && before[start] == after[start] {
		start++
	}
	end := 0
	for end < min(len(before), len(after))-start && before[len(before)-1-end] == after[len(after)-1-end] {
		end++
	}
	// A boundary inside a character moves so that the patch includes the whole character: strings in messages must be valid
	// UTF-8.
	for start > 0 && start < len(after) && isContinuation(after[start]) {
		start--
	}
	for end > 0 && isContinuation(after[len(after)-end]) {
		end--
	}
	return &wire.Patch{
		Document: document, Revision: revision, Offset: uint64(start),
		Removed: uint64(len(before) - end - start), Inserted: after[start : len(after)-end],
	}
}

func isContinuation(ch byte) bool { return ch&0xc0 == 0x80 }

func applyPatch(text string, pt *wire.Patch) (string, error) {
	if pt.Offset > uint64(len(text)) || pt.Removed > uint64(len(text))-pt.Offset {
		return "", oops.In("publisher").Errorf("patch of %s for revision %d is out of range", pt.Document, pt.Revision)
	}
	return text[:pt.Offset] + pt.Inserted + text[pt.Offset+pt.Removed:], nil
}

// applyPatches returns the documents at a manifest's revision by applying its patches to an older version. ok is false
// if the patches do not go back to that version, do not apply, or give texts that do not match the manifest's hashes.
func applyPatches(ve *version, ma *wire.Manifest) (do configurer.Documents, ok bool) {
	if ve == nil || ve.revision() < ma.PatchesFrom {
		return do, false
	}
	do = ve.documents
	for _, pt := range ma.Patches {
		if pt.Revision <= ve.revision() {
			continue
		}
		text, _ := do.Text(pt.Document)
		next, err := applyPatch(text, pt)
		if err != nil {
			return do, false
		}
		do = do.With(pt.Document, next)
	}
	return do, matchesHashes(ve, ma, do)
}

// matchesHashes reports whether documents match the hashes of a manifest. Documents that did not change since the
// version are not hashed again.
func matchesHashes(ve *version, ma *wire.Manifest, do configurer.Documents) bool {
	for _, dv := range ma.Documents {
		text, exists := do.Text(dv.Name)
		if !exists {
			continue
		}
		if old := findDocumentVersion(ve.manifest, dv.Name); old != nil && bytes.Equal(old.TextHash, dv.TextHash) {
			if before, _ := ve.documents.Text(dv.Name); before == text {
				continue
			}
		}
		if !bytes.Equal(hashOf(text), dv.TextHash) {
			return false
		}
	}
	return true
}

// appendPatches appends patches to those of a manifest and drops the oldest revisions beyond maxPatchBytes.
func appendPatches(ma *wire.Manifest, added []*wire.Patch) {
	ma.Patches = append(ma.Patches, added...)
	size := 0
	for _, pt := range ma.Patches {
		size += len(pt.Inserted) + patchOverheadBytes
	}
	for size > maxPatchBytes && len(ma.Patches) > 0 {
		oldest := ma.Patches[0].Revision
		for len(ma.Patches) > 0 && ma.Patches[0].Revision == oldest {
			size -= len(ma.Patches[0].Inserted) + patchOverheadBytes
			ma.Patches = ma.Patches[1:]
		}
		ma.PatchesFrom = oldest
	}
}

// appendMark appends a mark to those of a manifest and drops the oldest beyond maxMarks.
func appendMark(ma *wire.Manifest, added *wire.ChangeMark) {
	ma.Recent = append(ma.Recent, added)
	if excess := len(ma.Recent) - maxMarks; excess > 0 {
		ma.Recent = ma.Recent[excess:]
	}
}

func findMark(ma *wire.Manifest, changeID string) *wire.ChangeMark {
	for _, mark := range ma.GetRecent() {
		if mark.ChangeId == changeID {
			return mark
		}
	}
	return nil
}
