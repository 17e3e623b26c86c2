package publisher

import (
	"errors"
	"fmt"
)

// The errors of a proposal, distinguished by errors.Is. Others are *Conflict and configurer.Faults.
var (
	// ErrNotAccepted means that the change had no effect because the store could not be reached.
	ErrNotAccepted = errors.New("the change was not accepted: the store cannot be reached")
	// ErrUnknown means that the change may have been accepted. Sending it again with the same change ID resolves this.
	ErrUnknown = errors.New("unknown whether the change was accepted; send it again with the same change id")
	// ErrChangeReused means that another change was accepted with the same change ID.
	ErrChangeReused = errors.New("another change was accepted under the same change id")
	// ErrStoreBehind means that the store holds an older revision than the one in force. The change had no effect.
	ErrStoreBehind = errors.New("the change was not accepted: the store holds an older revision than the one in force")
	// ErrNotReady means that this instance has no configuration yet.
	ErrNotReady = errors.New("no configuration is known yet")

	errPartMissing = errors.New("a stored part is gone; the manifest was replaced")
)

// Conflict means that the change had no effect because another change was accepted after its base revision.
type Conflict struct {
	base     uint64
	revision uint64
	winner   string
	changeID string
}

// Error names the base revision and the author, revision and ID of the change that was accepted.
func (cf *Conflict) Error() string {
	return fmt.Sprintf("the change was not accepted: it starts from revision %d, but %s made revision %d (change %s)",
		cf.base, cf.winner, cf.revision, cf.changeID)
}

// Base returns the revision that the rejected change was based on.
func (cf *Conflict) Base() uint64 { return cf.base }

// Revision returns the latest accepted revision.
func (cf *Conflict) Revision() uint64 { return cf.revision }

// Winner returns the author of the latest accepted revision.
func (cf *Conflict) Winner() string { return cf.winner }

// ChangeID returns the ID of the change that made the latest accepted revision.
func (cf *Conflict) ChangeID() string { return cf.changeID }
