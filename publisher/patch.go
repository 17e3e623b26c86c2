package publisher

import (
	"bytes"

	"github.com/samber/oops"

	"lovagebank/configurer"
	"lovagebank/wire"
)

const (
	// mostPatchBytes bounds the patches that a manifest carries: each read of it by a watching instance costs as much.
	mostPatchBytes = 4 << 10
	patchOverhead  = 32
	// mostMarks bounds the accepted edits that a manifest remembers; older ones are found in the audit trail.
	mostMarks = 32
)

// makePatch returns the one replacement of bytes that turns one text into another.
func makePatch(document string, revision uint64, before, after string) *wire.Patch {
	start := 0
	for start < min(len(before), len(after)) && before[start] == after[start] {
		start++
	}
	end := 0
	for end < min(len(before), len(after))-start && before[len(before)-1-end] == after[len(after)-1-end] {
		end++
	}
	// A cut inside a character is moved to the character's start: strings in messages must be whole UTF-8.
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
		return "", oops.In("publisher").Errorf("patch of %s for revision %d does not fit", pt.Document, pt.Revision)
	}
	return text[:pt.Offset] + pt.Inserted + text[pt.Offset+pt.Removed:], nil
}

// patched returns the documents at a manifest's revision, made from an older version; ok is false when the manifest's
// patches do not reach back to it.
func patched(ve *version, ma *wire.Manifest) (do configurer.Documents, ok bool) {
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
	return do, matches(ve, ma, do)
}

// matches checks documents against the hashes of a manifest. Those that did not change since the version are skipped.
func matches(ve *version, ma *wire.Manifest, do configurer.Documents) bool {
	for _, dv := range ma.Documents {
		text, known := do.Text(dv.Name)
		if !known {
			continue
		}
		if old := versionOf(ve.manifest, dv.Name); old != nil && bytes.Equal(old.TextHash, dv.TextHash) {
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

// keepPatches appends patches to a manifest's and drops the oldest revisions beyond the bound.
func keepPatches(ma *wire.Manifest, added []*wire.Patch) {
	ma.Patches = append(ma.Patches, added...)
	size := 0
	for _, pt := range ma.Patches {
		size += len(pt.Inserted) + patchOverhead
	}
	for size > mostPatchBytes && len(ma.Patches) > 0 {
		oldest := ma.Patches[0].Revision
		for len(ma.Patches) > 0 && ma.Patches[0].Revision == oldest {
			size -= len(ma.Patches[0].Inserted) + patchOverhead
			ma.Patches = ma.Patches[1:]
		}
		ma.PatchesFrom = oldest
	}
}

// keepMark appends a mark to a manifest's and drops the oldest beyond the bound.
func keepMark(ma *wire.Manifest, added *wire.ChangeMark) {
	ma.Recent = append(ma.Recent, added)
	if excess := len(ma.Recent) - mostMarks; excess > 0 {
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
